#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"
#include "testing/model/model_cell.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;

namespace
{

/// Number for the step leave_request_running that leaves 1 + left_running % 2,
/// that is two, requests running.
constexpr unsigned left_running = 1;

/// Returns how many requests start on all workers in the given steps.
int started_after(std::initializer_list<operation> steps)
{
    model_cell cell({1});
    for (const auto& it : steps)
        cell.apply(it);
    cr_expect(cell.monitor().broken().empty(), "%s",
              cell.monitor().broken().empty()
                  ? ""
                  : cell.monitor().broken().front().c_str());
    return cell.monitor().counts["request_started"];
}

} // namespace

// Guards against reusing the slot of a request with an unknown outcome, which
// its target may still be serving: a host with 2 slots would serve 3 requests.
Test(request_owner, retains_slots_of_requests_with_unknown_outcome)
{
    base::set_up_log("model", base::log_level::error);
    const operation leave{action::leave_request_running, 0, left_running};
    const operation send{action::request, 0, 2};
    cr_expect_geq(started_after({leave, send, send, send, send}), 2);
    cr_expect_eq(started_after({send, send, send, send}), 4);
}

// Guards against a slot that is never released after an unknown outcome.
Test(request_owner, frees_slots_after_the_max_request_time)
{
    base::set_up_log("model", base::log_level::error);
    const operation leave{action::leave_request_running, 0, left_running};
    const operation send{action::request, 0, 2};
    const operation half_a_minute{action::advance, 7, 0};
    const operation two_seconds{action::advance, 3, 0};
    cr_expect_eq(started_after({leave, send, send, half_a_minute, two_seconds,
                                send, send}),
                 4);
}

// Guards against a caller that is told "unknown" for as long as the lease stays
// open, although its request was lost on a dead connection and never reached
// the worker.
Test(request_owner, reports_requests_that_never_arrived_as_not_run)
{
    base::set_up_log("model", base::log_level::error);
    model_cell cell({1});
    constexpr unsigned daemons = 3;
    constexpr unsigned workers = 4;
    for (unsigned daemon = 0; daemon < daemons; ++daemon)
    {
        for (unsigned worker = 0; worker < workers; ++worker)
            cell.apply({action::cut_worker, daemon, worker});
    }
    cell.apply({action::request, 0, 0});
    cell.apply({action::heal_cuts, 0, 0});
    for (int n = 0; n < 20 && cell.monitor().counts["query_refused"] == 0; ++n)
    {
        cell.apply({action::query_request, 0, 0});
        cell.apply({action::advance, 1, 0});
    }
    cr_expect_eq(cell.monitor().counts["query_refused"], 1);
    cr_expect_eq(cell.monitor().counts["request_started"], 0);
    cr_expect(cell.monitor().broken().empty());
}
