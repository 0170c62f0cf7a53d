#include "planner_fixture_test.hpp"

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

/// Returns whether a transaction removes the row of a kind of a job.
bool removes(const std::vector<row_change>& changes, row_kind kind,
             std::string_view key)
{
    return std::any_of(changes.begin(), changes.end(),
                       [&](const auto& it)
                       {
                           return it.kind == kind && it.key == key && !it.value;
                       });
}

} // namespace

// Guards against starting a run that a successor would not know of.
Test(planner, releases_starts_only_when_durable)
{
    planner_fixture cell;
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    cell.clock.advance(milliseconds(200));
    cr_assert(cell.plan.take_orders({}).starts.empty());
    cr_assert_not(cell.plan.next_commit(96, 600'000).empty());
    cr_assert(cell.plan.take_orders({}).starts.empty());
    cell.plan.commit_done();
    cr_assert_eq(cell.plan.take_orders({}).starts.size(), 1);
}

// Guards against half-empty transactions: with a slow store each transaction
// takes 0.4 s, and callers wait for at most 3 s.
Test(planner, fills_transactions_with_rows)
{
    planner_fixture cell(1);
    for (int it = 0; it < 200; ++it)
        cell.plan.submit(
            make_job("j" + std::to_string(it), "plain", {make_step(1, 1)}),
            [] {});
    cr_assert_eq(cell.plan.next_commit(96, 600'000).size(), 95);
}

// Guards against answering a repeated call while the commit of the first one is
// in flight: a cancelled job ran again after a change of leaders.
Test(planner, answers_repeated_calls_only_when_durable)
{
    for (const bool cancels : {false, true})
    {
        planner_fixture cell;
        const auto job = make_job("j", "plain", {make_step(1, 1)});
        if (cancels)
            cell.submit(job);
        int answers = 0;
        const auto call = [&]
        {
            if (cancels)
                cell.plan.cancel("j",
                                 [&](cancel_result)
                                 {
                                     ++answers;
                                 });
            else
                cell.plan.submit(job,
                                 [&]
                                 {
                                     ++answers;
                                 });
        };
        call();
        cr_assert_not(cell.plan.next_commit(96, 600'000).empty());
        call();
        cr_assert_eq(answers, 0);
        cell.plan.commit_done();
        cell.commit();
        cr_assert_eq(answers, 2);
    }
}

// Guards against callers that wait until their deadline while the store is
// unavailable, and against refusing a job that a transaction in flight may
// persist.
Test(planner, rejects_jobs_not_in_a_transaction)
{
    planner_fixture cell;
    int accepted = 0;
    int refused = 0;
    const auto submit = [&](const std::string& id)
    {
        cell.plan.submit(
            make_job(id, "plain", {make_step(1, 1)}),
            [&]
            {
                ++accepted;
            },
            [&]
            {
                ++refused;
            });
    };
    submit("sent");
    cr_assert_not(cell.plan.next_commit(96, 600'000).empty());
    submit("unsent");
    submit("sent");
    cell.clock.advance(milliseconds(200));
    cell.plan.take_orders({});
    cr_assert_eq(cell.plan.reject_unsent_jobs(), 1);
    cr_assert_eq(refused, 1);
    cr_assert_not(cell.plan.state_of("unsent").has_value());
    cell.plan.commit_done();
    cell.commit();
    cr_assert_eq(accepted, 2);
    const auto starts = cell.round().starts;
    for (const auto& it : starts)
        cr_assert_eq(it.task.job, "sent");
}

struct cancelled_job_case
{
    const char* name;
    /// The submission is in the transaction in flight already.
    bool is_sent;
    /// The transaction with the cancellation is rejected and not sent again.
    bool is_rejected;
    std::size_t dropped;
};

// Guards against forgetting a cancelled job while its transaction is in flight,
// because it is cancelled once more: a repeated submission then ran.
Test(planner, keeps_a_job_that_is_cancelled_again_while_in_flight)
{
    const cancelled_job_case cases[] = {
        {"cancelled before it was sent", false, false, 0},
        {"cancelled after it was sent", true, false, 0},
        {"nothing was carried out", false, true, 2},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell;
        int answers = 0;
        const auto cancel = [&]
        {
            cell.plan.cancel("j",
                             [&](cancel_result)
                             {
                                 ++answers;
                             });
        };
        // Of a rejected transaction with several jobs, none is blamed.
        for (const auto* id : {"j", "k"})
            cell.plan.submit(make_job(id, "plain", {make_step(1, 1)}), [] {});
        if (it.is_sent)
            cr_assert_not(cell.plan.next_commit(96, 600'000).empty());
        cancel();
        if (!it.is_sent)
            cr_assert_not(cell.plan.next_commit(96, 600'000).empty());
        cancel();
        if (it.is_rejected)
            cell.plan.commit_rejected();
        cr_assert_eq(cell.plan.reject_unsent_jobs(), it.dropped, "%s", it.name);
        if (it.is_rejected)
            continue;
        cell.plan.commit_done();
        cell.commit();
        cr_assert_eq(answers, 2, "%s", it.name);
        cr_assert_eq(cell.plan.state_of("j"), jobs::job_state::cancelled, "%s",
                     it.name);
    }
}

// Guards against acknowledging an end before it is durable: the worker discards
// an acknowledged end.
Test(planner, acknowledges_ends_only_when_durable)
{
    planner_fixture cell;
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.run_round().starts.at(0);
    cell.end(order, 1, jobs::run_outcome::done);
    cr_assert_eq(cell.plan.acknowledged_end(order.worker), 0);
    cr_assert_eq(cell.plan.state_of("j"), jobs::job_state::running);
    cell.commit();
    cr_assert_eq(cell.plan.acknowledged_end(order.worker), 1);
    cr_assert_eq(cell.plan.state_of("j"), jobs::job_state::completed);
}

enum class end_cause
{
    /// Another member of a gang step ended first.
    member,
    /// The job has failed, and its failure is not durable yet.
    failed_job,
    cancelled_job
};

// Guards against acknowledging an end while the state that it led to is not
// durable: a successor would start the task again.
Test(planner, acknowledges_ends_of_changed_jobs_only_when_durable)
{
    for (const auto how :
         {end_cause::member, end_cause::failed_job, end_cause::cancelled_job})
    {
        planner_fixture cell(2);
        const bool together = how == end_cause::member;
        cell.submit(make_job("j", "plain", {make_step(2, 20, together)}));
        const auto starts = cell.run_round().starts;
        cr_assert_eq(starts.size(), 2);
        if (how == end_cause::member)
            cell.end(starts[0], 1, jobs::run_outcome::done);
        if (how == end_cause::cancelled_job)
            cell.plan.cancel("j", [](cancel_result) {});
        if (how == end_cause::failed_job)
        {
            auto configuration = make_configuration();
            configuration.queues["plain"].attempts = 1;
            cell.plan.set_configuration(configuration);
            cell.end(starts[0], 1, jobs::run_outcome::failed);
        }
        cell.end(starts[1], 1, jobs::run_outcome::done);
        cr_assert_eq(cell.plan.acknowledged_end(starts[1].worker), 0);
        cell.commit();
        cr_assert_eq(cell.plan.acknowledged_end(starts[1].worker), 1);
    }
}

// Guards against losing tasks or running them twice after a change of leaders.
Test(planner, adopts_runs_of_a_former_leader)
{
    for (const bool still_runs : {false, true})
    {
        planner_fixture cell(2);
        jobs::job_record record;
        record.state = jobs::job_state::running;
        record.occurrences_opened = 1;
        jobs::task_record task;
        task.state = jobs::task_state::assigned;
        task.run = 3;
        task.worker = "w9";
        task.worker_incarnation_start_ms = incarnation_start;
        record.open.push_back({0, {{task}}});
        cell.plan.restore(make_job("j", "plain", {make_step(1, 1)}), record);
        cell.settle({0, 1, {}});
        cr_assert(cell.round().starts.empty());
        cell.list_host("w9", "z", false);
        const jobs::task_key key{"j", 0, 0, 0};
        if (still_runs)
            cell.report("w9", {{key, 3, "", 0}});
        else
            cell.report("w9");
        const auto starts = cell.round().starts;
        cr_assert_eq(starts.empty(), still_runs);
        if (!still_runs)
            cr_assert_eq(starts[0].run, 4);
    }
}

// Guards against applying an end again after a change of leaders: the former
// leader has committed it, and the worker still lists it. A job then failed
// after a single failure.
Test(planner, applies_an_end_once_across_leaders)
{
    for (const auto how : {jobs::run_outcome::failed, jobs::run_outcome::done})
    {
        planner_fixture cell(1);
        jobs::job_record record;
        record.state = jobs::job_state::running;
        record.occurrences_opened = 1;
        jobs::task_record task;
        task.run = 1;
        task.failures = 1;
        record.open.push_back({0, {{task}}});
        cell.plan.restore(make_job("j", "plain", {make_step(1, 1)}), record);
        cell.report("w0", {}, {{1, {"j", 0, 0, 0}, 1, how, ""}});
        cell.commit();
        const bool done = how == jobs::run_outcome::done;
        cr_assert_eq(cell.plan.state_of("j"), done ? jobs::job_state::completed
                                                   : jobs::job_state::running);
        cr_assert_eq(cell.round().starts.empty(), done);
    }
}

// Guards against a successor that loads the specifications of all ended jobs,
// and against running an ended job again when it is resubmitted.
Test(planner, drops_the_specification_of_ended_jobs)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.run_round().starts.at(0);
    cell.end(order, 1, jobs::run_outcome::done);
    const auto changes = cell.plan.next_commit(96, 600'000);
    cell.plan.commit_done();
    cr_assert_eq(changes.size(), 2);
    cr_assert(removes(changes, row_kind::job, "j"));
    cr_assert_eq(changes[0].kind, row_kind::progress);

    planner_fixture successor(1);
    jobs::job_record record;
    record.state = jobs::job_state::completed;
    jobs::job known;
    known.id = "j";
    successor.plan.restore(known, record);
    cr_assert(successor.submit(make_job("j", "plain", {make_step(1, 1)})));
    cr_assert(successor.round().starts.empty());
    cr_assert_eq(successor.plan.state_of("j"), jobs::job_state::completed);
}

// Guards against a successor that does not know the size of runs that are still
// being stopped and overcommits their host.
Test(planner, keeps_the_specification_while_runs_are_stopping)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 32)}));
    const auto order = cell.run_round().starts.at(0);
    cell.plan.cancel("j", [](cancel_result) {});
    const auto changes = cell.plan.next_commit(96, 600'000);
    cell.plan.commit_done();
    cr_assert_eq(changes.size(), 1);
    cr_assert_not(removes(changes, row_kind::job, "j"));
    cell.end(order, 1, jobs::run_outcome::stopped);
    const auto later = cell.plan.next_commit(96, 600'000);
    cell.plan.commit_done();
    cr_assert_eq(later.size(), 2);
    cr_assert(removes(later, row_kind::job, "j"));

    // The successor charges the host for the run that the worker still lists.
    planner_fixture successor(1);
    jobs::job_record record;
    record.state = jobs::job_state::cancelled;
    successor.plan.restore(make_job("j", "plain", {make_step(1, 32)}), record);
    successor.report("w0", {{order.task, order.run, "", 1}});
    successor.submit(make_job("k", "plain", {make_step(1, 1)}));
    cr_assert(successor.round().starts.empty());
}

// Guards against a gang step that never runs again because a member's worker
// was unreachable when the step was stopped.
Test(planner, releases_unconfirmed_runs_of_a_former_leader)
{
    planner_fixture cell(2);
    jobs::job_record record;
    record.state = jobs::job_state::running;
    record.occurrences_opened = 1;
    jobs::task_record task;
    task.state = jobs::task_state::assigned;
    task.run = 1;
    task.worker_incarnation_start_ms = incarnation_start;
    task.worker = "w8";
    auto other = task;
    other.worker = "w9";
    record.open.push_back({0, {{task, other}}});
    cell.plan.restore(make_job("j", "plain", {make_step(2, 1, true)}), record);
    cell.settle({0, 1, {}});
    cell.list_host("w8", "z", false);
    cell.report(
        "w8", {},
        {{1, {"j", 0, 0, 0}, 1, jobs::run_outcome::gang_incomplete, ""}});
    cr_assert(cell.round().starts.empty());
    cell.list_host("w9", "z", false);
    cell.report("w9");
    cr_assert_eq(cell.round().starts.size(), 2);
}
