#include "planner_fixture_test.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

/// Two hosts, each with a task of 20 of its 32 cores. The account "many" stays
/// within its share.
struct full_cell : planner_fixture
{
    full_cell()
    {
        auto configuration = make_configuration();
        configuration.accounts["many"] = {"many", {}, 1000, {}};
        plan.set_configuration(configuration);
        submit(make_job("filler", "plain", {make_step(2, 20)}, "many"));
        fillers = run_round().starts;
        cr_assert_eq(fillers.size(), 2);
    }

    /// Reports the fillers from the given index on as running.
    void report_fillers(std::size_t from)
    {
        for (std::size_t it = from; it < fillers.size(); ++it)
            report(fillers[it].worker,
                   {{fillers[it].task, fillers[it].run, "", 1}});
    }

    std::vector<start_order> fillers;
};

} // namespace

// Guards against small tasks beyond an account's share that keep a gang step
// from ever finding capacity. Under such a load wide jobs reached only 0.28 of
// their possible value.
Test(placement, defers_over_share_work_while_a_gang_waits)
{
    for (const bool wide_waits : {true, false})
    {
        full_cell cell;
        if (wide_waits)
            cell.submit(
                make_job("wide", "plain", {make_step(2, 20, true)}, "many"));
        // The account's weight is one job a second.
        cell.submit(make_job("share", "plain", {make_step(1, 1)}));
        cell.submit(make_job("surplus", "plain", {make_step(1, 1)}));
        const auto starts = cell.round().starts;
        cr_assert_eq(starts.size(), wide_waits ? 1 : 2);
        cr_assert_eq(starts[0].task.job, "share");
    }
}

// Guards against deferring work because of runs on workers that are gone: their
// leases last longer than their registry entries, whose capacity then is no
// longer counted.
Test(placement, counts_only_runs_on_listed_hosts_as_load)
{
    full_cell cell;
    cell.add_host("w2");
    // Of the listed 64 cores 20 are in use, of those of all hosts 40.
    cell.plan.worker_unlisted("w0");
    cell.submit(make_job("wide", "plain", {make_step(9, 20, true)}, "many"));
    cell.submit(make_job("share", "plain", {make_step(1, 1)}));
    cell.submit(make_job("surplus", "plain", {make_step(1, 1)}));
    cr_assert_eq(cell.round().starts.size(), 2);
}

// Guards against a service without room that defers the work of another.
Test(placement, defers_only_work_of_the_service_without_room)
{
    full_cell cell;
    auto configuration = make_configuration();
    configuration.accounts["many"] = {"many", {}, 1000, {}};
    configuration.services["t"] = {"t", false, false};
    configuration.queues["other"] = make_queue("other", 2);
    configuration.queues["other"].service = "t";
    cell.plan.set_configuration(configuration);
    jobs::worker_info info;
    info.id = "t0";
    info.service = "t";
    info.failure_domain = "z";
    info.capacity = {host_cores * 1000, 64'000, 0};
    cell.plan.worker_listed(info);
    cell.report("t0");
    cell.submit(make_job("wide", "plain", {make_step(2, 20, true)}, "many"));
    cell.submit(make_job("share", "other", {make_step(1, 1)}));
    cell.submit(make_job("surplus", "other", {make_step(1, 1)}));
    cr_assert_eq(cell.round().starts.size(), 2);
}

// Guards against deferring work although most of the cell is free, as happened
// while a failure domain was out of service.
Test(placement, starts_everything_in_an_idle_cell)
{
    full_cell cell;
    cell.add_host("w2");
    cell.add_host("w3");
    cell.submit(make_job("wide", "plain", {make_step(9, 20, true)}, "many"));
    cell.submit(make_job("share", "plain", {make_step(1, 1)}));
    cell.submit(make_job("surplus", "plain", {make_step(1, 1)}));
    cr_assert_eq(cell.round().starts.size(), 2);
}

// Guards against a gang step that cannot run and keeps all less urgent ones
// from being placed in an empty cell.
Test(placement, places_gang_steps_behind_one_that_cannot_run)
{
    planner_fixture cell(6);
    cell.submit(make_job("too-wide", "asked", {make_step(40, 32, true)}));
    cell.submit(make_job("fits", "asked", {make_step(2, 8, true)}));
    std::size_t starts = 0;
    for (int round = 0; round < 3; ++round)
    {
        const auto out = cell.round(4);
        for (const auto& it : out.queries)
            cell.plan.advice_answered(it, allow_all(it), cell.clock.now());
        starts += out.starts.size();
    }
    cr_assert_eq(starts, 2);
}

// Guards against small tasks that take the capacity which a gang step collects
// host by host.
Test(placement, reserves_capacity_for_gang_steps)
{
    full_cell cell;
    cell.submit(make_job("wide", "asked", {make_step(2, 20, true)}, "many"));
    const auto queries = cell.round(1).queries;
    cr_assert_eq(queries.size(), 1);
    cr_assert_eq(queries[0].workers.size(), 2);
    cell.plan.advice_answered(queries[0], allow_all(queries[0]),
                              cell.clock.now());
    cell.submit(make_job("small", "plain", {make_step(2, 10)}, "many"));
    cr_assert(cell.round().starts.empty());
    // Beside the reserved 20 cores, the first host has capacity for one small
    // task.
    cell.end(cell.fillers[0], 1, jobs::run_outcome::done);
    const auto beside = cell.run_round().starts;
    cr_assert_eq(beside.size(), 1);
    cr_assert_eq(beside[0].task.job, "small");
    cell.end(cell.fillers[1], 1, jobs::run_outcome::done);
    const auto starts = cell.round().starts;
    cr_assert_eq(starts.size(), 3);
    cr_assert_eq(starts[0].task.job, "wide");
    cr_assert_eq(starts[1].task.job, "wide");
}

// Guards against tasks that use idle CPU time and wait for processors: these
// are reserved on every host, beyond what is free.
Test(placement, starts_idle_cpu_work_on_reserved_hosts)
{
    full_cell cell;
    cell.submit(make_job("wide", "asked", {make_step(2, 20, true)}, "many"));
    const auto queries = cell.round(1).queries;
    cr_assert_eq(queries.size(), 1);
    cell.plan.advice_answered(queries[0], allow_all(queries[0]),
                              cell.clock.now());
    auto idle_cpu = make_step(2, 4);
    idle_cpu.uses_idle_cpu = true;
    cell.submit(make_job("batch", "plain", {idle_cpu}, "many"));
    cr_assert_eq(cell.round().starts.size(), 2);
}

// Guards against spreading small tasks over the emptiest hosts, which leaves no
// host with capacity for a large one.
Test(placement, packs_small_tasks_onto_used_hosts)
{
    full_cell cell;
    cell.add_host("w0-empty");
    cell.submit(make_job("small", "asked", {make_step(1, 2)}, "many"));
    const auto queries = cell.round(1).queries;
    cr_assert_eq(queries.size(), 1);
    cr_assert_neq(queries[0].workers.at(0), "w0-empty");
}

struct stop_case
{
    const char* name;
    bool checkpointing;
    std::int64_t wide_run_ms;
    std::size_t stops;
};

// Guards against a gang step that waits for small tasks which could be resumed
// elsewhere, and against preemption that loses work or costs more than it
// gains.
Test(placement, preempts_checkpointed_tasks_for_gang_steps)
{
    const std::array cases = {
        stop_case{"tasks with checkpoints", true, 20'000, 2},
        stop_case{"tasks without checkpoints", false, 20'000, 0},
        stop_case{"short wide step", true, 2'000, 0},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell(2);
        auto configuration = make_configuration();
        configuration.accounts["many"] = {"many", {}, 1000, {}};
        configuration.queues["plain"].target_latency_ms = 60'000;
        cell.plan.set_configuration(configuration);
        auto small = make_step(2, 20);
        small.checkpointing = it.checkpointing;
        cell.submit(make_job("small", "plain", {small}, "many"));
        const auto fillers = cell.run_round().starts;
        auto wide = make_step(2, 20, true);
        wide.estimate_ms = it.wide_run_ms;
        cell.submit(make_job("wide", "asked", {wide}, "many"));
        const auto query = cell.round(1).queries.at(0);
        cell.plan.advice_answered(query, allow_all(query), cell.clock.now());
        cr_assert_eq(cell.round().stops.size(), it.stops, "%s", it.name);
        if (it.stops == 0)
            continue;
        // The preempted job waits until the wide one has started.
        for (const auto& filler : fillers)
            cell.end(filler, 1, jobs::run_outcome::stopped);
        const auto starts = cell.round().starts;
        cr_assert_eq(starts.size(), 2);
        for (const auto& order : starts)
            cr_assert_eq(order.task.job, "wide");
    }
}
