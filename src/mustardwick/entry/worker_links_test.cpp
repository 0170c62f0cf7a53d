#include "mustardwick/entry/worker_links.hpp"

#include <criterion/criterion.h>

#include "mustardwick/aio/http_listener.hpp"
#include "mustardwick/base/error.hpp"
#include "src/mustardwick/dispatch/planner_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch::test;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

namespace
{

/// A worker that answers each renewal at once with the same end.
std::string report_of_an_end(const planner_fixture& cell)
{
    return R"({"clock_ms":)" + std::to_string(cell.worker_clock()) +
           R"(,"born":)" + std::to_string(incarnation_start) +
           R"(,"running":[],"finished":[[1,"j.0.0.0",1,"done",""]]})";
}

} // namespace

// Guards against repeated renewals while the effect of a reported end is not
// yet committed: the worker answers each at once with the same end, and every
// renewal is charged (22,401 renewals for 13,000 ends).
Test(worker_links, renews_rarely_until_an_end_is_persisted)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    cell.run_round();
    boost::asio::io_context io;
    const wire::endpoint address{"127.0.0.1", 27431};
    int renewals = 0;
    aio::http_listener listener(
        io, address, "Deadline-Ms",
        [&](const auto&, auto respond)
        {
            ++renewals;
            respond({200, report_of_an_end(cell), "application/json", {}});
        });
    cr_assert(listener.start(), "%s", base::last_error().text().c_str());
    const auto links = std::make_shared<worker_links>(
        io, cell.clock, cell.metrics, cell.plan, 1,
        worker_links::events{[] {}, [] {},
                             []
                             {
                                 return true;
                             }});
    jobs::worker_info info;
    info.id = "w0";
    info.address = address;
    links->listed(info);
    io.run_for(milliseconds(450));
    cr_assert_geq(renewals, 2);
    cr_assert_leq(renewals, 6);
    // Once the effect is committed, the end is acknowledged without delay.
    cell.commit();
    cr_assert_eq(cell.plan.acknowledged_end("w0"), 1);
    renewals = 0;
    io.run_for(milliseconds(60));
    cr_assert_geq(renewals, 1);
    links->stop();
    io.run_for(milliseconds(10));
}
