#include "planner_fixture_test.hpp"

#include <algorithm>
#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

jobs::step make_long_running_step(int tasks, std::int64_t cores)
{
    auto out = make_step(tasks, cores);
    out.long_running = true;
    return out;
}

/// Two hosts of 32 cores with a job of one task of 20 cores on each, whose
/// account stays within its share.
struct busy_cell : planner_fixture
{
    busy_cell()
    {
        auto configuration = make_configuration();
        configuration.accounts["many"] = {"many", {}, 1000, {}};
        plan.set_configuration(configuration);
        submit(make_job("load", "plain", {make_step(2, 20)}, "many"));
        cr_assert_eq(run_round().starts.size(), 2);
    }
};

} // namespace

// Guards against a long-running task that is not restarted because its job
// arrived long ago: it was deferred like work past its late deadline while any
// other step waited for capacity, for 22 s in a day without faults.
Test(long_running, restarts_in_a_busy_cell)
{
    busy_cell cell;
    cell.submit(make_job("service", "plain", {make_long_running_step(1, 4)}));
    const auto first = cell.run_round().starts.at(0);
    cell.submit(make_job("wide", "plain", {make_step(2, 20, true)}, "many"));
    cell.clock.advance(milliseconds(20'000));
    cell.end(first, 1, jobs::run_outcome::failed);
    const auto again = cell.round().starts;
    cr_assert(std::any_of(again.begin(), again.end(),
                          [](const auto& it)
                          {
                              return it.task.job == "service";
                          }));
}

struct failure_case
{
    const char* name;
    /// Time from the start of a run to its failure.
    milliseconds run_time;
    bool quarantined;
};

// Guards against a step that runs out of hosts because its tasks failed once on
// each of them, and against quarantining hosts for tasks that fail by
// themselves after a while.
Test(long_running, returns_to_a_host_after_a_failure)
{
    const std::array cases = {
        failure_case{"ran for a while", milliseconds(5000), false},
        failure_case{"failed at once", milliseconds(100), true},
    };
    for (const auto& it : cases)
    {
        // A third of the hosts may be quarantined.
        planner_fixture cell(3);
        cell.submit(
            make_job("service", "plain", {make_long_running_step(1, 4)}));
        for (std::int64_t failure = 1; failure <= 2; ++failure)
        {
            cell.clock.advance(milliseconds(1900));
            const auto starts = cell.run_round().starts;
            cr_assert_eq(starts.size(), 1, "%s: start %d", it.name,
                         int(failure));
            cr_assert_eq(starts[0].worker, "w0");
            cell.clock.advance(it.run_time);
            cell.end(starts[0], failure, jobs::run_outcome::failed);
            cell.commit();
        }
        cell.submit(make_job("other", "plain", {make_step(3, 20)}));
        const auto starts = cell.round().starts;
        const bool usable = std::any_of(starts.begin(), starts.end(),
                                        [](const auto& start)
                                        {
                                            return start.task.job == "other" &&
                                                   start.worker == "w0";
                                        });
        cr_assert_eq(usable, !it.quarantined, "%s", it.name);
    }
}

// Guards against a latency-sensitive task that finds no host because tasks that
// use idle CPU time run on all of them: these are stopped.
Test(long_running, takes_hosts_from_idle_cpu_work)
{
    planner_fixture cell(1);
    auto batch = make_step(2, 4);
    batch.uses_idle_cpu = true;
    cell.submit(make_job("batch", "plain", {batch}));
    cr_assert_eq(cell.run_round().starts.size(), 2);
    auto serving = make_long_running_step(1, 4);
    serving.target_ms = 50;
    cell.submit(make_job("service", "urgent", {serving}));
    const auto out = cell.round();
    cr_assert_eq(out.starts.size(), 1);
    cr_assert_eq(out.starts[0].task.job, "service");
    cr_assert_eq(out.stops.size(), 2);
    for (const auto& it : out.stops)
        cr_assert_eq(it.task.job, "batch");
}

struct tail_case
{
    std::int64_t tail_ms;
    bool shares;
};

// Guards against a task that uses idle CPU time and is never started once each
// host has a latency-sensitive task (review/5), and against one that slows such
// a task past its target.
Test(long_running, shares_hosts_with_idle_cpu_work_while_targets_are_met)
{
    const std::array cases = {tail_case{0, true}, tail_case{90, true},
                              tail_case{130, false}};
    for (const auto& it : cases)
    {
        planner_fixture cell(1);
        auto serving = make_long_running_step(1, 4);
        serving.target_ms = 200;
        cell.submit(make_job("service", "plain", {serving}));
        const auto service = cell.run_round().starts.at(0);
        auto batch = make_step(3, 4);
        batch.uses_idle_cpu = true;
        cell.submit(make_job("batch", "plain", {batch}));
        std::vector<jobs::running_run> listed = {
            {service.task, service.run, "", it.tail_ms}};
        std::vector<start_order> starts;
        for (int n = 0; n < 20 && starts.empty(); ++n)
        {
            cell.report("w0", listed);
            starts = cell.run_round().starts;
        }
        cr_assert_eq(starts.size(), it.shares ? 1 : 0, "%d ms",
                     int(it.tail_ms));
        if (!it.shares)
            continue;
        listed.push_back({starts[0].task, starts[0].run, "", 0});
        cell.report("w0", listed);
        cr_assert(cell.round().stops.empty());
        listed[0].load = 170;
        cell.report("w0", listed);
        const auto stops = cell.round().stops;
        cr_assert_eq(stops.size(), 1);
        cr_assert_eq(stops[0].task.job, "batch");
        cell.report("w0", {{service.task, service.run, "", 20}},
                    {{1, starts[0].task, starts[0].run,
                      jobs::run_outcome::stopped, ""}});
        for (int n = 0; n < 20; ++n)
        {
            cell.report("w0", {{service.task, service.run, "", 20}});
            cr_assert(cell.run_round().starts.empty());
        }
    }
}
