#include "mustardwick/policy/scheduler.hpp"
#include "mustardwick/policy/usage.hpp"

#include <algorithm>
#include <array>

#include <criterion/criterion.h>

using namespace mustardwick::policy;

namespace
{

const steady_time start_time{};

job make_job(const std::string& id, work_kind kind, priority_class priority,
             std::int64_t millicpus, int tasks, milliseconds run_time = {})
{
    job it;
    it.id = id;
    it.team = "t";
    it.kind = kind;
    it.priority = priority;
    it.size = {millicpus, 1, 0};
    it.tasks = tasks;
    it.run_time = run_time;
    it.submitted = start_time;
    return it;
}

void set_host(cell& state, const std::string& name, bool accepts = true)
{
    state.set_host({name, name, "r", {4000, 4000, 0}, accepts});
}

bool removes(const plan& made, const std::string& job)
{
    return std::ranges::any_of(made.removals,
                               [&](const auto& it)
                               {
                                   return it.id.job == job;
                               });
}

bool places(const plan& made, const std::string& job)
{
    return std::ranges::any_of(made.placements,
                               [&](const auto& it)
                               {
                                   return it.id.job == job;
                               });
}

struct victim_case
{
    priority_class first_class;
    milliseconds first_checkpoint;
    priority_class second_class;
    milliseconds second_checkpoint;
    const char* victim;
};

constexpr auto best_effort = priority_class::best_effort;
constexpr auto normal = priority_class::normal;
constexpr auto urgent = priority_class::urgent;
/// Limits with which a job that does not fit gets a reservation at once.
const round_limits reserve_at_once{.reserve_after = milliseconds(0)};

constexpr auto batch = work_kind::batch;
constexpr auto gang = work_kind::gang;

} // namespace

// Guards against preempting a task that loses more work than another victim.
Test(preemption, stops_the_task_that_loses_least_work)
{
    const std::array cases = {
        victim_case{normal, milliseconds(0), best_effort, milliseconds(0), "2"},
        victim_case{normal, milliseconds(9), best_effort, milliseconds(0), "2"},
        victim_case{normal, milliseconds(9), normal, milliseconds(5), "1"},
        victim_case{normal, milliseconds(5), normal, milliseconds(9), "2"},
        victim_case{urgent, milliseconds(9), normal, milliseconds(0), "2"},
    };
    for (const auto& it : cases)
    {
        cell state;
        set_host(state, "a");
        state.add_job(make_job("1", batch, it.first_class, 2000, 1));
        state.add_job(make_job("2", batch, it.second_class, 2000, 1));
        plan_round(state, start_time);
        state.checkpoint({"1", 0}, start_time + it.first_checkpoint);
        state.checkpoint({"2", 0}, start_time + it.second_checkpoint);
        state.add_job(make_job("u", batch, urgent, 2000, 1));
        const auto made = plan_round(state, start_time + milliseconds(10));
        cr_assert_eq(made.removals.size(), 1);
        cr_assert(removes(made, it.victim));
        cr_assert(places(made, "u"));
    }
}

// Guards against starting a task before the victim's stop is confirmed.
Test(preemption, waits_for_confirmed_stops_with_await_stops)
{
    cell state;
    set_host(state, "a");
    round_limits limits;
    limits.await_stops = true;
    state.add_job(make_job("1", batch, normal, 4000, 1));
    plan_round(state, start_time, limits);
    state.add_job(make_job("u", batch, urgent, 4000, 1));
    cr_assert_eq(plan_round(state, start_time, limits).removals.size(), 1);
    const auto waiting = plan_round(state, start_time, limits);
    cr_assert(waiting.removals.empty() && waiting.placements.empty());
    state.stop({"1", 0}, false);
    cr_assert(places(plan_round(state, start_time, limits), "u"));
}

// Guards against urgent work that preempts other urgent work.
Test(preemption, never_stops_urgent_work)
{
    cell state;
    set_host(state, "a");
    state.add_job(make_job("1", batch, urgent, 4000, 1));
    plan_round(state, start_time);
    state.add_job(make_job("2", batch, urgent, 4000, 1));
    cr_assert(plan_round(state, start_time).removals.empty());
}

// Guards against small tasks that starve a gang, and against reserved hosts
// that stay idle while short tasks could use them.
Test(reservation, backfills_only_tasks_that_end_before_the_reservation)
{
    cell state;
    set_host(state, "a");
    set_host(state, "b");
    state.add_job(make_job("1", batch, normal, 4000, 1, milliseconds(10'000)));
    plan_round(state, start_time, reserve_at_once);
    state.add_job(make_job("g", gang, normal, 4000, 2));
    plan_round(state, start_time, reserve_at_once);
    state.add_job(make_job("l", batch, normal, 1000, 1, milliseconds(20'000)));
    state.add_job(make_job("n", batch, normal, 1000, 1));
    state.add_job(make_job("s", batch, normal, 1000, 1, milliseconds(5000)));
    const auto made = plan_round(state, start_time, reserve_at_once);
    cr_assert(places(made, "s") && !places(made, "l") && !places(made, "n"));
    state.stop({"s", 0}, true);
    state.stop({"1", 0}, true);
    const auto last =
        plan_round(state, start_time + milliseconds(10'000), reserve_at_once);
    cr_assert(places(last, "g"));
}

// Guards against a deadlock of two gangs that each hold half of the hosts both
// need.
Test(reservation, two_gangs_start_one_after_the_other)
{
    cell state;
    set_host(state, "a");
    set_host(state, "b");
    state.add_job(make_job("1", batch, normal, 4000, 2, milliseconds(1000)));
    plan_round(state, start_time, reserve_at_once);
    state.add_job(make_job("g", gang, normal, 3000, 2));
    state.add_job(make_job("h", gang, normal, 3000, 2));
    plan_round(state, start_time, reserve_at_once);
    state.stop({"1", 0}, true);
    cr_assert(
        plan_round(state, start_time, reserve_at_once).placements.empty());
    state.stop({"1", 1}, true);
    const auto made = plan_round(state, start_time, reserve_at_once);
    cr_assert(places(made, "g") && !places(made, "h"));
    state.remove_job("g");
    cr_assert(places(plan_round(state, start_time, reserve_at_once), "h"));
}

// Guards against moves that stop several replicas of a service at once, and
// against moves to hosts without free space.
Test(moves, claims_a_place_before_it_stops_a_replica)
{
    cell state;
    set_host(state, "a");
    state.add_job(make_job("s", work_kind::service, normal, 2000, 2));
    plan_round(state, start_time);
    set_host(state, "a", false);
    cr_assert(plan_round(state, start_time).removals.empty());
    set_host(state, "b");
    for (int i = 0; i < 2; ++i)
    {
        cr_assert_eq(plan_round(state, start_time).removals.size(), 1);
        cr_assert_eq(state.pending("s"), 1);
    }
    cr_assert(places(plan_round(state, start_time), "s"));
    cr_assert_eq(state.used("b").millicpus, 4000);
}

// Guards against a new host that inherits the claims of a removed one and is
// overcommitted.
Test(moves, claims_are_released_with_their_host)
{
    cell state;
    set_host(state, "a");
    state.add_job(make_job("s", work_kind::service, normal, 2000, 1));
    plan_round(state, start_time);
    set_host(state, "a", false);
    set_host(state, "b");
    cr_assert_eq(plan_round(state, start_time).removals.size(), 1);
    state.remove_host("b");
    set_host(state, "c");
    state.add_job(make_job("1", batch, normal, 1000, 9));
    for (int i = 0; i < 3; ++i)
        plan_round(state, start_time);
    cr_assert_eq(state.used("c").millicpus, 4000);
}

// Guards against a burst of moves that stops a whole failure domain at once,
// and against moving batch tasks before the drain timeout.
Test(moves, are_bounded_in_rate)
{
    cell state;
    for (int i = 0; i < 40; ++i)
        set_host(state, "a" + std::to_string(i));
    state.add_job(make_job("1", batch, normal, 4000, 40));
    plan_round(state, start_time);
    for (int i = 0; i < 40; ++i)
    {
        set_host(state, "a" + std::to_string(i), false);
        set_host(state, "b" + std::to_string(i));
    }
    cr_assert(plan_round(state, start_time).removals.empty());
    const auto now = start_time + milliseconds(60'000);
    cr_assert_eq(plan_round(state, now).removals.size(), 16);
    cr_assert_eq(plan_round(state, now).removals.size(), 0);
    const auto later = plan_round(state, now + milliseconds(100));
    cr_assert_eq(later.removals.size(), 5);
}

// Guards against estimates that follow too few runs, or ignore many.
Test(usage, learns_run_times_after_enough_runs)
{
    usage_history history;
    const auto work = make_job("1", batch, normal, 4000, 1, milliseconds(9));
    for (int i = 0; i < 4; ++i)
        history.record_run(work, milliseconds(1000));
    cr_assert_eq(history.expected_run_time(work).count(), 9);
    history.record_run(work, milliseconds(1000));
    cr_assert_eq(history.expected_run_time(work).count(), 1000);
    cr_assert_geq(history.run_time_bound(work).count(), 1000);
    history.record_size(work, {9000, 9, 0});
    cr_assert_eq(history.expected_size(work).millicpus, 4000);
}
