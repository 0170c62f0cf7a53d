#include "planner_fixture_test.hpp"

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

// Guards against idle hosts: an order that a worker rejects as malformed says
// nothing about the worker, which used to get no work at all for 0.3 s.
Test(order_reply, keeps_hosts_usable_after_a_rejected_order)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.round().starts.at(0);
    cell.plan.start_answered(
        order, {jobs::order_result::invalid, cell.worker_clock()});
    cell.submit(make_job("k", "plain", {make_step(1, 1)}));
    const auto starts = cell.run_round().starts;
    cr_assert_eq(starts.size(), 1);
    cr_assert_eq(starts[0].task.job, "k");
    // The step itself returns to the host after a while.
    cell.clock.advance(milliseconds(2000));
    cell.report("w0", {{starts[0].task, starts[0].run, "", 0}});
    const auto again = cell.round().starts;
    cr_assert_eq(again.size(), 1);
    cr_assert_eq(again[0].task.job, "j");
}

// Guards against taking the clock of another worker, to which the address was
// given, for that of the worker an order named: later orders would stay valid
// for that long, and unanswered ones would block their tasks.
Test(order_reply, keeps_the_clock_of_the_named_worker)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.round().starts.at(0);
    cell.plan.start_answered(order, {jobs::order_result::other_incarnation,
                                     cell.worker_clock() + 1'000'000});
    cell.clock.advance(milliseconds(400));
    cell.report("w0");
    const auto again = cell.round().starts.at(0);
    cr_assert_leq(again.deadline_ms, cell.worker_clock() + 1'500);
}

// Guards against running a task twice: the reply to its start carried no clock,
// so that a report made before the start seemed to show that the run was over.
Test(order_reply, keeps_a_run_that_was_accepted_without_a_clock)
{
    planner_fixture cell(2);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.round().starts.at(0);
    cell.plan.start_answered(order, {jobs::order_result::accepted, 0});
    cell.report(order.worker);
    cr_assert(cell.round().starts.empty());
    cell.report(order.worker, {{order.task, order.run, "", 0}});
    cr_assert(cell.round().starts.empty());
    cr_assert_eq(cell.plan.state_of("j"), jobs::job_state::running);
}

// Guards against a task that never runs again: a reply of its worker's former
// incarnation arrived after the report of the next one.
Test(order_reply, ignores_replies_of_a_former_incarnation)
{
    constexpr std::int64_t former_clock = 1'000'000;
    for (const auto late : {jobs::order_result::accepted,
                            jobs::order_result::insufficient_capacity})
    {
        planner_fixture cell(1);
        cell.submit(make_job("j", "plain", {make_step(1, 1)}));
        const auto order = cell.round().starts.at(0);
        cell.report("w0", {}, {}, incarnation_start + 1);
        cell.plan.start_answered(order,
                                 {late, cell.worker_clock() + former_clock});
        const auto out = cell.round();
        cr_assert(out.starts.empty());
        cr_assert_eq(out.stops.size(), 1);
        cell.plan.stop_answered(
            out.stops[0], {jobs::order_result::accepted, cell.worker_clock()});
        cell.clock.advance(milliseconds(500));
        cell.report("w0", {}, {}, incarnation_start + 1);
        const auto again = cell.round().starts;
        cr_assert_eq(again.size(), 1);
        cr_assert_leq(again[0].deadline_ms, cell.worker_clock() + 1'500);
    }
}

// Guards against a reply to a stop that says so of the worker's former
// incarnation only: the order to start may still reach the next one.
Test(order_reply, awaits_the_stop_of_the_present_incarnation)
{
    planner_fixture cell(2);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    cell.run_round();
    cell.plan.cancel("j", [](cancel_result) {});
    const auto former = cell.round().stops.at(0);
    cell.report(former.worker, {}, {}, incarnation_start + 1);
    cell.submit(make_job("k", "plain", {make_step(1, 32)}));
    cell.submit(make_job("l", "plain", {make_step(1, 32)}));
    cell.plan.stop_answered(former, {jobs::order_result::accepted, 1});
    cell.report(former.worker, {}, {}, incarnation_start + 1);
    cr_assert_eq(cell.round().starts.size(), 1);
}
