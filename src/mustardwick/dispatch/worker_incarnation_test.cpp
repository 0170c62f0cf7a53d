#include "planner_fixture_test.hpp"

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

// Guards against waiting forever for runs of a worker's former incarnation, and
// against running a task twice because the new incarnation carried out the
// order after its first report. The task must therefore not be started again
// right after that report.
Test(planner, requeues_runs_of_a_former_incarnation)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    cell.run_round();
    cell.report("w0", {}, {}, incarnation_start + 1);
    const auto out = cell.round();
    cr_assert(out.starts.empty());
    cr_assert_eq(out.stops.size(), 1);
    cell.plan.stop_answered(
        out.stops[0], {jobs::order_result::accepted, cell.worker_clock()});
    cell.clock.advance(milliseconds(20));
    cell.report("w0", {}, {}, incarnation_start + 1);
    cr_assert_eq(cell.round().starts.size(), 1);
}

// Guards against a start on a worker that came back with less capacity while
// the assignment was being committed.
Test(planner, assigns_again_when_a_worker_restarts_during_the_commit)
{
    for (const std::int64_t cores : {host_cores, std::int64_t(4)})
    {
        planner_fixture cell(1);
        cell.submit(make_job("j", "plain", {make_step(1, 8)}));
        cell.clock.advance(milliseconds(200));
        cell.plan.take_orders({});
        cr_assert_not(cell.plan.next_commit(96, 600'000).empty());
        jobs::worker_info info;
        info.id = "w0";
        info.service = "s";
        info.failure_domain = "z";
        info.capacity = {cores * 1000, 64'000, 0};
        info.incarnation_start_ms = incarnation_start + 1;
        cell.plan.worker_listed(info);
        cell.report("w0", {}, {}, incarnation_start + 1);
        cell.plan.commit_done();
        cr_assert(cell.plan.take_orders({}).starts.empty());
        const auto starts = cell.round().starts;
        cr_assert_eq(starts.size(), cores == host_cores ? 1 : 0);
        for (const auto& it : starts)
            cr_assert_eq(it.worker_incarnation_start_ms, incarnation_start + 1);
    }
}

// Guards against a task that never runs again because the reply to the stop of
// its former run was lost (hosted-soak seed 55).
Test(planner, repeats_stops_that_were_not_answered)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    cell.run_round();
    cell.report("w0", {}, {}, incarnation_start + 1);
    const auto first = cell.round().stops.at(0);
    cell.plan.stop_answered(first, {jobs::order_result::unknown, 0});
    cell.clock.advance(milliseconds(600));
    cell.report("w0", {}, {}, incarnation_start + 1);
    const auto stops = cell.round().stops;
    cr_assert_eq(stops.size(), 1);
    cell.plan.stop_answered(
        stops[0], {jobs::order_result::accepted, cell.worker_clock()});
    cell.clock.advance(milliseconds(20));
    cell.report("w0", {}, {}, incarnation_start + 1);
    cr_assert_eq(cell.round().starts.size(), 1);
}

enum class run_report
{
    listed_as_running,
    listed_as_done
};

// Guards against running a task twice after its worker restarted under the same
// id: the order reached the new incarnation before its first report
// (hosted-soak seed 3).
Test(planner, keeps_runs_listed_by_the_new_incarnation)
{
    for (const auto how :
         {run_report::listed_as_running, run_report::listed_as_done})
    {
        planner_fixture cell(2);
        cell.submit(make_job("j", "plain", {make_step(1, 1)}));
        const auto order = cell.run_round().starts.at(0);
        const jobs::running_run running{order.task, order.run, "", 1};
        if (how == run_report::listed_as_running)
            cell.report(order.worker, {running}, {}, incarnation_start + 1);
        else
            cell.report(
                order.worker, {},
                {{1, order.task, order.run, jobs::run_outcome::done, ""}},
                incarnation_start + 1);
        const auto out = cell.round();
        cr_assert(out.starts.empty());
        cr_assert(out.stops.empty());
        const bool done = how == run_report::listed_as_done;
        cr_assert_eq(cell.plan.state_of("j"), done ? jobs::job_state::completed
                                                   : jobs::job_state::running);
    }
}

// Guards against orders to a restarted worker that has not reported yet.
Test(planner, starts_nothing_on_an_unreported_incarnation)
{
    planner_fixture cell(1);
    jobs::worker_info info;
    info.id = "w0";
    info.service = "s";
    info.failure_domain = "z";
    info.capacity = {host_cores * 1000, 64'000, 0};
    info.incarnation_start_ms = incarnation_start + 1;
    cell.plan.worker_listed(info);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    cr_assert(cell.round().starts.empty());
    cell.report("w0", {}, {}, incarnation_start + 1);
    cr_assert_eq(cell.round().starts.size(), 1);
}

// Guards against ends of a restarted worker that are taken for ends of its
// former incarnation, whose numbers were higher: they would be acknowledged
// unread, and their tasks started again.
Test(planner, acknowledges_no_end_of_an_incarnation_by_the_numbers_of_another)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    cell.end(cell.run_round().starts.at(0), 5, jobs::run_outcome::done);
    cell.commit();
    cr_assert_eq(cell.plan.acknowledged_end("w0"), 5);

    cell.report("w0", {}, {}, incarnation_start + 1);
    cr_assert_eq(cell.plan.acknowledged_end("w0"), 0);
    cell.submit(make_job("k", "plain", {make_step(1, 1)}));
    const auto order = cell.run_round().starts.at(0);
    cell.report("w0", {},
                {{1, order.task, order.run, jobs::run_outcome::done, ""}},
                incarnation_start + 1);
    cell.commit();
    cr_assert_eq(cell.plan.acknowledged_end("w0"), 1);
    cr_assert_eq(cell.plan.state_of("k"), jobs::job_state::completed);
}
