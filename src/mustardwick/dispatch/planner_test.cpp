#include "planner_fixture_test.hpp"

#include <array>
#include <set>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

struct start_case
{
    const char* name;
    std::vector<jobs::step> steps;
    const char* account;
    /// Tasks that start in the first round.
    std::size_t starts;
};

// Guards against overcommitted hosts and accounts, partially started gang
// steps, and steps that start before their dependencies are done.
Test(planner, starts_only_runnable_tasks)
{
    auto second = make_step(1, 1);
    second.after = {0};
    auto spread = make_step(6, 1);
    spread.max_per_host = 2;
    auto labelled = make_step(1, 1);
    labelled.required_label = "gpu";
    const std::array cases = {
        start_case{"fits", {make_step(3, 10)}, "a", 3},
        start_case{"more than two hosts hold", {make_step(9, 10)}, "a", 6},
        start_case{"whole step fits", {make_step(6, 10, true)}, "a", 6},
        start_case{"part of a step fits", {make_step(7, 10, true)}, "a", 0},
        start_case{"account's maximum", {make_step(9, 3)}, "capped", 2},
        start_case{"whole step over the maximum",
                   {make_step(3, 3, true)},
                   "capped",
                   0},
        start_case{"second step waits", {make_step(1, 1), second}, "a", 1},
        start_case{"tasks per host", {spread}, "a", 4},
        start_case{"no host has the label", {labelled}, "a", 0},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell;
        cell.submit(make_job("j", "plain", it.steps, it.account));
        cr_assert_eq(cell.round().starts.size(), it.starts, "%s", it.name);
    }
}

// Guards against a gang step whose members have different run numbers.
Test(planner, gives_members_one_run_number)
{
    planner_fixture cell;
    cell.submit(make_job("j", "plain", {make_step(4, 8, true)}));
    const auto first = cell.run_round().starts;
    cr_assert_eq(first.size(), 4);
    std::set<int> runs;
    for (const auto& it : first)
        runs.insert(it.run);
    cr_assert_eq(runs.size(), 1);
    // One member is lost: the others are stopped, and all run again together.
    cell.plan.start_answered(first[0], {jobs::order_result::expired, 0});
    cr_assert(cell.round().starts.empty());
    std::int64_t number = 0;
    for (const auto& it : first)
        if (it.worker == "w0")
            cell.report(
                "w0", {},
                {{++number, it.task, it.run, jobs::run_outcome::stopped, ""}});
    number = 0;
    for (const auto& it : first)
        if (it.worker == "w1")
            cell.report(
                "w1", {},
                {{++number, it.task, it.run, jobs::run_outcome::stopped, ""}});
}

// Guards against reusing the capacity of a run that is being stopped, which
// overcommits the host: the worker may list the run neither as running nor as
// ended for a while.
Test(planner, keeps_the_capacity_of_stopping_runs)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 32)}));
    const auto order = cell.run_round().starts.at(0);
    cell.plan.cancel("j", [](cancel_result) {});
    const auto stop = cell.round().stops.at(0);
    cell.plan.stop_answered(
        stop, {jobs::order_result::accepted, cell.worker_clock()});
    cell.submit(make_job("k", "plain", {make_step(1, 1)}));
    cell.clock.advance(milliseconds(2000));
    cell.report("w0");
    cr_assert(cell.round().starts.empty());
    cell.end(order, 1, jobs::run_outcome::stopped);
    cr_assert_eq(cell.round().starts.size(), 1);
}

struct end_case
{
    jobs::run_outcome how;
    /// State that callers see, and whether the task is started again.
    jobs::job_state state;
    bool again;
};

// Guards against ends that are applied wrongly: a success completes the task,
// after any other end it runs again from its checkpoint, and only its own
// failures use up attempts.
Test(planner, applies_ends)
{
    const std::array cases = {
        end_case{jobs::run_outcome::done, jobs::job_state::completed, false},
        end_case{jobs::run_outcome::failed, jobs::job_state::running, true},
        end_case{jobs::run_outcome::lease_expired, jobs::job_state::running,
                 true},
        end_case{jobs::run_outcome::stopped, jobs::job_state::running, true},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell;
        cell.submit(make_job("j", "plain", {make_step(1, 1)}));
        const auto first = cell.run_round().starts.at(0);
        cell.end(first, 1, it.how);
        cell.commit();
        cr_assert_eq(cell.plan.state_of("j"), it.state);
        const auto next = cell.round().starts;
        cr_assert_eq(!next.empty(), it.again);
        if (it.again)
        {
            cr_assert_gt(next[0].run, first.run);
            cr_assert_eq(next[0].checkpoint, "saved");
        }
    }
}

// Guards against a job that fails before its attempts are used up, or continues
// after them.
Test(planner, fails_a_job_after_its_attempts)
{
    planner_fixture cell(3);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    for (int attempt = 1; attempt <= 2; ++attempt)
    {
        const auto order = cell.run_round().starts.at(0);
        cell.end(order, attempt, jobs::run_outcome::failed);
        cell.commit();
    }
    cr_assert_eq(cell.plan.state_of("j"), jobs::job_state::failed);
    cr_assert(cell.round().starts.empty());
}

enum class leaving
{
    draining,
    unlisted,
    evacuated,
    unresponsive
};

// Guards against a start on a host that left service while the assignment was
// being committed.
Test(planner, checks_hosts_again_when_an_order_is_released)
{
    for (const auto how : {leaving::draining, leaving::unlisted,
                           leaving::evacuated, leaving::unresponsive})
    {
        planner_fixture cell(1);
        cell.submit(make_job("j", "plain", {make_step(1, 1)}));
        cell.clock.advance(milliseconds(200));
        cell.plan.take_orders({});
        cell.plan.next_commit(96, 600'000);
        if (how == leaving::draining)
            cell.list_host("w0", "z", true);
        if (how == leaving::unlisted)
            cell.plan.worker_unlisted("w0");
        if (how == leaving::evacuated)
            cell.plan.set_evacuated({"z"});
        if (how == leaving::unresponsive)
            cell.plan.worker_unresponsive("w0");
        cell.plan.commit_done();
        cr_assert(cell.round().starts.empty());
    }
}

// Guards against running a task twice after the reply to its order was lost:
// its capacity stays occupied until the worker's clock has passed the order's
// deadline, and the task waits until no incarnation can carry the order out.
Test(planner, waits_for_an_unanswered_order)
{
    planner_fixture cell(2);
    cell.submit(make_job("j", "plain", {make_step(1, 32)}));
    const auto order = cell.round().starts.at(0);
    cell.plan.start_answered(order, {jobs::order_result::unknown, 0});
    cell.report(order.worker);
    cr_assert(cell.round().starts.empty());
    cell.clock.advance(milliseconds(2000));
    cr_assert(cell.round().starts.empty());
    cell.report(order.worker);
    for (const auto& it : {"k", "l"})
        cell.submit(make_job(it, "plain", {make_step(1, 32)}));
    const auto others = cell.round().starts;
    cr_assert_eq(others.size(), 2);
    for (const auto& it : others)
    {
        cr_assert_neq(it.task.job, "j");
        cell.accept(it);
        cell.report(it.worker, {{it.task, it.run, "", 0}});
    }
    cell.clock.advance(milliseconds(9000));
    for (const auto& it : others)
        cell.end(it, 1, jobs::run_outcome::done);
    cr_assert(cell.round().starts.empty());
    cell.clock.advance(milliseconds(5000));
    cell.report(order.worker);
    cr_assert_eq(cell.round().starts.size(), 1);
}

// Guards against running a task twice because its worker was unresponsive for a
// while.
Test(planner, restarts_tasks_after_the_lease_expires)
{
    planner_fixture cell(2);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.run_round().starts.at(0);
    cr_assert(cell.plan.lease_deadline(order.worker).has_value());
    cell.plan.worker_unresponsive(order.worker);
    cell.clock.advance(milliseconds(5800));
    cr_assert(cell.round().starts.empty());
    cell.clock.advance(milliseconds(400));
    const auto again = cell.round().starts;
    cr_assert_eq(again.size(), 1);
    cr_assert_neq(again[0].worker, order.worker);
    cr_assert_gt(again[0].run, order.run);
}

// Guards against a count of waiting jobs that omits those whose orders were
// refused: one of seven was counted.
Test(planner, counts_jobs_as_waiting_until_a_task_has_started)
{
    for (const bool accepted : {false, true})
    {
        planner_fixture cell(1);
        cell.submit(make_job("j", "plain", {make_step(1, 1)}));
        const auto order = cell.round().starts.at(0);
        cr_assert_eq(cell.plan.waiting_jobs("plain"), 1);
        const auto result = accepted ? jobs::order_result::accepted
                                     : jobs::order_result::bad_ticket;
        cell.plan.start_answered(order, {result, cell.worker_clock()});
        cr_assert_eq(cell.plan.waiting_jobs("plain"), accepted ? 0 : 1);
    }
}

// Guards against a step that spends its attempts on one failing worker.
Test(planner, retries_on_another_worker)
{
    planner_fixture cell(2);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.run_round().starts.at(0);
    cell.end(order, 1, jobs::run_outcome::failed);
    cr_assert_neq(cell.round().starts.at(0).worker, order.worker);
}

// Guards against tasks of a cancelled job that start or continue to run.
Test(planner, stops_cancelled_jobs)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.run_round().starts.at(0);
    cell.plan.cancel("j", [](cancel_result) {});
    const auto stops = cell.round().stops;
    cr_assert_eq(stops.size(), 1);
    cr_assert_eq(stops[0].task, order.task);
    // Its capacity stays occupied until the worker lists the end.
    cell.submit(make_job("k", "plain", {make_step(1, 32)}));
    cr_assert(cell.round().starts.empty());
    cell.end(order, 1, jobs::run_outcome::stopped);
    cr_assert_eq(cell.round().starts.size(), 1);
}
