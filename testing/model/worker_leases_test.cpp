#include <set>

#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"
#include "testing/model/lease_fixture.hpp"
#include "testing/model/model_cell.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;

// Guards against a fenced daemon that continues to report the hosts it held:
// its outdated report of a lease or of an empty host would replace that of the
// host's current holder.
Test(worker_leases, releases_all_dropped_hosts)
{
    base::set_up_log("model", base::log_level::error);
    model_cell cell({1});
    cell.run(base::milliseconds{5000});
    std::set<std::string> released;
    auto& leases = cell.daemon(0).leases;
    leases.on_release(
        [&released](const std::string& host)
        {
            released.insert(host);
        });
    const auto held = leases.held();
    cr_assert_not(held.empty());
    leases.drop_all();
    cr_expect_eq(released, std::set(held.begin(), held.end()));
}

// Guards against tasks that stay assigned to a worker that never answers again.
Test(worker_leases, restarts_tasks_of_an_unresponsive_worker)
{
    base::set_up_log("model", base::log_level::error);
    model_cell cell({1});
    constexpr operation half_a_minute{action::advance, 7, 0};
    // A service of one task of 1,500 millicpus.
    cell.apply({action::submit, 0, 2});
    cell.run(base::milliseconds{3000});
    cr_assert_eq(cell.monitor().counts["task_started"], 1);
    for (unsigned n = 0; n < 4; ++n)
    {
        if (cell.monitor().has_tasks("w" + std::to_string(n)))
            cell.apply({action::silence_worker, 0, n});
    }
    cell.apply(half_a_minute);
    cell.apply(half_a_minute);
    cr_expect_eq(cell.monitor().counts["task_started"], 2);
    cr_expect(cell.monitor().broken().empty());
}

// Guards against running a task twice: a host was given another address, and
// the worker found there, which runs nothing, was taken for the former one,
// whose lease had not expired.
Test(worker_leases, awaits_the_lease_at_the_former_address)
{
    const auto& timing = coordination::timing_settings{};
    const auto lease = timing.worker_lease + timing.worker_lease / 100;
    lease_fixture cell({"w0"});
    cell.run(base::milliseconds{3000});
    cr_assert_eq(cell.workers.opened.size(), 1);
    cell.declare("w0", lease_fixture::second_address);
    cell.run(base::milliseconds{1000});
    const auto renewals = cell.workers.renewed.size();
    cr_assert_not(cell.leases.lease_of("w0").has_value());
    cell.run(lease);
    cr_assert_eq(cell.workers.opened.size(), 1);
    cr_assert_eq(cell.workers.renewed.size(), renewals);
    cell.run(base::milliseconds{8000});
    cr_assert_eq(cell.workers.opened.size(), 2);
    cr_assert_eq(cell.workers.opened[1].address, lease_fixture::second_address);
    // The planner learns that the former worker runs nothing any more before it
    // sends orders to the next one.
    cr_assert_geq(cell.reports.size(), 2);
    cr_assert(cell.reports[cell.reports.size() - 2].emptied);
    cr_assert(cell.reports.back().accepts_work);
}
