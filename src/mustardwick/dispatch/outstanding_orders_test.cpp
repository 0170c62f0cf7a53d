#include <array>

#include <criterion/criterion.h>

#include "outstanding_cell_test.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

/// Longest delay of a call, and with the longest lease.
constexpr milliseconds max_delay{12'000};
constexpr milliseconds earliest_elsewhere{18'000};
/// With the time until a call is sent, the tolerance for slow clocks and the
/// interval of rounds.
constexpr milliseconds latest_again{16'500};
constexpr milliseconds latest_elsewhere{20'500};
constexpr milliseconds lease_life{6800};

struct lost_case
{
    const char* name;
    const char* queue;
    bool lasts;
    std::vector<event> events;
    milliseconds earliest;
    milliseconds latest;
};

} // namespace

// Guards against a second run while an incarnation that no call has reached
// carries out the order of the first one late (TWICE, issue 51).
Test(outstanding_orders, of_a_lost_worker_delay_its_tasks)
{
    const std::array cases = {
        lost_case{"answered",
                  "plain",
                  false,
                  {event::accepted},
                  seconds(5),
                  lease_life},
        lost_case{"answered, perhaps by another incarnation",
                  "plain",
                  false,
                  {event::accepted_unverified},
                  earliest_elsewhere,
                  latest_elsewhere},
        lost_case{"the same, with a ticket",
                  "asked",
                  false,
                  {event::accepted_unverified},
                  earliest_elsewhere,
                  latest_elsewhere},
        lost_case{"the same, then listed",
                  "plain",
                  false,
                  {event::accepted_unverified, event::listed},
                  seconds(5),
                  lease_life},
        lost_case{"refused",
                  "plain",
                  false,
                  {event::refused},
                  seconds(0),
                  seconds(1)},
        lost_case{"refused, perhaps by another incarnation",
                  "plain",
                  false,
                  {event::refused_unverified},
                  seconds(0),
                  seconds(1)},
        lost_case{"not answered",
                  "plain",
                  false,
                  {event::silent},
                  earliest_elsewhere,
                  latest_elsewhere},
        lost_case{"not answered, bound to one incarnation by a ticket",
                  "asked",
                  false,
                  {event::silent},
                  milliseconds(1500),
                  lease_life},
        lost_case{"expired",
                  "plain",
                  false,
                  {event::expired},
                  earliest_elsewhere,
                  latest_elsewhere},
        lost_case{"lasts, expired",
                  "plain",
                  true,
                  {event::expired},
                  earliest_elsewhere,
                  latest_elsewhere},
        lost_case{"lasts, expired, accepted again",
                  "plain",
                  true,
                  {event::expired, event::accepted_again},
                  earliest_elsewhere,
                  latest_elsewhere + seconds(3)},
    };
    for (const auto& it : cases)
    {
        outstanding_cell it_cell(it.queue, it.lasts);
        for (const auto what : it.events)
            play(it_cell, what);
        it_cell.plan.worker_unresponsive("w0");
        const auto after = it_cell.elsewhere_after(seconds(30));
        cr_assert(after.has_value(), "%s: never", it.name);
        cr_assert_geq(after->count(), it.earliest.count(), "%s", it.name);
        cr_assert_leq(after->count(), it.latest.count(), "%s", it.name);
    }
}

struct renewal_case
{
    const char* name;
    /// The order has expired before, so that no run is left on the worker.
    bool expires;
    milliseconds renewed_after;
    bool is_unlisted;
};

// Guards against a run that a late renewal of the former incarnation keeps
// alive in the next one (TWICE).
Test(outstanding_orders, count_later_renewals_that_may_lengthen_the_lease)
{
    const std::array cases = {
        renewal_case{"at once", false, milliseconds(0), false},
        renewal_case{"later", false, milliseconds(1400), false},
        renewal_case{"later, unlisted", false, milliseconds(1400), true},
        renewal_case{"expired", true, milliseconds(2000), false},
        renewal_case{"expired, unlisted", true, milliseconds(2000), true},
    };
    for (const auto& it : cases)
    {
        outstanding_cell it_cell;
        if (it.expires)
            it_cell.expire();
        else
        {
            it_cell.answer(jobs::order_result::unknown);
            it_cell.clock.advance(it.renewed_after);
        }
        cr_assert(it_cell.plan.lease_deadline("w0").has_value());
        it_cell.plan.worker_unresponsive("w0");
        if (it.is_unlisted)
            it_cell.plan.worker_unlisted("w0");
        const auto after = it_cell.elsewhere_after(seconds(30));
        cr_assert(after.has_value(), "%s", it.name);
        cr_assert_geq(after->count(),
                      (earliest_elsewhere + it.renewed_after).count(), "%s",
                      it.name);
    }
}

// Guards against a task that starts again and succeeds before its first order
// is carried out by the next incarnation of the worker (TWICE), and against one
// that waits for ever.
Test(outstanding_orders, that_have_expired_delay_tasks_until_they_are_settled)
{
    for (const bool drains : {false, true})
    {
        outstanding_cell it;
        it.expire();
        it.list_host("w0", "z", drains);
        std::optional<milliseconds> after;
        while (!after && it.clock.now() < it.ordered + seconds(30))
        {
            it.report("w0");
            it.report("w1");
            if (!it.round().starts.empty())
                after = std::chrono::duration_cast<milliseconds>(
                    it.clock.now() - it.ordered);
        }
        cr_assert(after.has_value());
        cr_assert_geq(after->count(), max_delay.count());
        cr_assert_leq(after->count(), latest_again.count());
    }
}

// Guards against a task that lasts and waits although its worker works, and
// against two orders of it that the next incarnation carries out one beside the
// other.
Test(outstanding_orders, of_lasting_tasks_are_repeated_with_one_run_number)
{
    outstanding_cell it("plain", true);
    it.expire();
    int repeated = 0;
    for (int round = 0; round < 40; ++round)
    {
        for (const auto& order : it.round().starts)
        {
            cr_assert_eq(order.worker, "w0");
            cr_assert_eq(order.run, it.order.run);
            it.plan.start_answered(order, {jobs::order_result::unknown, 0});
            ++repeated;
        }
        it.report("w0");
    }
    cr_assert_geq(repeated, 2);
    // The worker refuses the number if it has stopped the run before.
    for (int round = 0; round < 40; ++round)
    {
        const auto starts = it.round().starts;
        it.report("w0");
        if (starts.empty())
            continue;
        if (starts[0].run > it.order.run)
            return;
        it.plan.start_answered(
            starts[0], {jobs::order_result::stale_run, it.worker_clock()});
    }
    cr_assert_fail("the task is never started");
}

struct late_case
{
    const char* name;
    /// The order is carried out before the next incarnation is asked.
    bool runs;
    jobs::run_outcome how;
    bool starts_again;
};

// Guards against a second run beside one that was started late, or after it has
// ended as done (TWICE).
Test(outstanding_orders, that_were_carried_out_late_are_followed)
{
    const std::array cases = {
        late_case{"running", true, {}, false},
        late_case{"done", false, jobs::run_outcome::done, false},
        late_case{"lapsed", false, jobs::run_outcome::lease_expired, true},
    };
    for (const auto& it : cases)
    {
        outstanding_cell it_cell;
        it_cell.expire();
        const auto& order = it_cell.order;
        if (it.runs)
            it_cell.restart({{order.task, order.run, "", 0}});
        else
            it_cell.restart({}, {{1, order.task, order.run, it.how, ""}});
        bool started = false;
        for (int round = 0; round < 10; ++round)
            started = started || !it_cell.round().starts.empty();
        cr_assert_eq(started, it.starts_again, "%s", it.name);
    }
}

// Guards against members of a gang step that start again before the order of
// one of them is settled.
Test(outstanding_orders, of_a_gang_member_delay_the_gang)
{
    planner_fixture gang(1);
    gang.submit(make_job("g", "plain", {make_step(2, 20, true)}));
    gang.add_host("w1");
    const auto first = gang.round().starts;
    const auto ordered = gang.clock.now();
    cr_assert_eq(first.size(), 2);
    gang.accept(first[0]);
    gang.plan.start_answered(first[1], {jobs::order_result::unknown, 0});
    gang.clock.advance(seconds(2));
    gang.report(first[1].worker);
    gang.report(first[0].worker, {},
                {{1, first[0].task, 1, jobs::run_outcome::stopped, ""}});
    while (gang.round().starts.empty())
    {
        for (const auto& it : first)
            gang.report(it.worker);
        cr_assert_lt((gang.clock.now() - ordered).count(),
                     base::steady_time::duration(latest_again).count());
    }
    cr_assert_geq((gang.clock.now() - ordered).count(),
                  base::steady_time::duration(max_delay).count());
}

// Guards against a member of a gang that starts beside its earlier run, which
// was started late and is still being stopped (TWICE).
Test(outstanding_orders, of_a_gang_are_not_settled_while_the_run_is_stopped)
{
    planner_fixture gang(1);
    gang.submit(make_job("g", "plain", {make_step(1, 1, true)}));
    const auto first = gang.round().starts.at(0);
    gang.plan.start_answered(first, {jobs::order_result::unknown, 0});
    gang.clock.advance(seconds(2));
    gang.report("w0");
    gang.add_host("w1");
    const jobs::running_run late{first.task, first.run, "", 0};
    bool is_stopped = false;
    for (int round = 0; round < 100; ++round)
    {
        gang.report("w0", {late}, {}, incarnation_start + 1);
        const auto out = gang.round();
        cr_assert(out.starts.empty());
        is_stopped = is_stopped || !out.stops.empty();
    }
    cr_assert(is_stopped);
    gang.report("w0", {},
                {{1, first.task, first.run, jobs::run_outcome::stopped, ""}},
                incarnation_start + 1);
    cr_assert_eq(gang.round().starts.size(), 1);
}

// Guards against an account above its maximum (QUOTA) when orders that were not
// answered are carried out late.
Test(outstanding_orders, count_towards_the_maximum_of_the_account)
{
    planner_fixture cell(2);
    cell.submit(make_job("j", "plain", {make_step(4, 4)}, "capped"));
    const auto first = cell.round().starts;
    cr_assert_eq(first.size(), 2);
    cell.plan.start_answered(first[0], {jobs::order_result::unknown, 0});
    cell.plan.start_answered(
        first[1], {jobs::order_result::unhealthy, cell.worker_clock()});
    cell.clock.advance(seconds(2));
    for (const auto& it : {"w0", "w1"})
        cell.report(it);
    cr_assert_eq(cell.round().starts.size(), 1);
}

struct acknowledged_case
{
    const char* name;
    std::vector<event> events;
    /// Of a renewal that may reach another incarnation.
    std::int64_t acknowledged;
};

// Guards against a renewal that makes another incarnation than was meant forget
// ends of orders which nobody has read (TWICE).
Test(outstanding_orders, keep_ends_of_an_unverified_incarnation)
{
    const std::array cases = {
        acknowledged_case{"in flight", {}, 0},
        acknowledged_case{"answered", {event::accepted}, 7},
        acknowledged_case{"answered, perhaps by another incarnation",
                          {event::accepted_unverified},
                          0},
        acknowledged_case{"the same, then listed",
                          {event::accepted_unverified, event::listed},
                          7},
        acknowledged_case{"given up", {event::expired}, 0},
    };
    for (const auto& it : cases)
    {
        outstanding_cell it_cell;
        const jobs::ended_run end{
            7, {"gone", 0, 0, 0}, 1, jobs::run_outcome::done, ""};
        it_cell.report("w0", {}, {end});
        for (const auto what : it.events)
            play(it_cell, what);
        cr_assert_eq(it_cell.plan.acknowledged_end("w0"), 7, "%s", it.name);
        cr_assert_eq(it_cell.plan.acknowledged_unverified("w0"),
                     it.acknowledged, "%s", it.name);
    }
}

struct unverified_report_case
{
    const char* name;
    bool is_verified;
    milliseconds earliest;
    milliseconds latest;
};

// Guards against a run that a call to the former incarnation keeps alive in the
// next one, which has reported before any call has made earlier ones void
// (TWICE).
Test(outstanding_orders, of_an_unverified_incarnation_may_lengthen_its_lease)
{
    const std::array cases = {
        unverified_report_case{"verified", true, seconds(5), lease_life},
        unverified_report_case{"not verified", false, earliest_elsewhere,
                               latest_elsewhere},
    };
    for (const auto& it : cases)
    {
        outstanding_cell it_cell;
        it_cell.answer(jobs::order_result::accepted, it.is_verified);
        jobs::worker_report report;
        report.clock_ms = it_cell.worker_clock();
        report.incarnation_start_ms = incarnation_start + 1;
        report.running = {{it_cell.order.task, it_cell.order.run, "", 0}};
        report.is_verified = it.is_verified;
        it_cell.plan.worker_reported("w0", report, it_cell.clock.now());
        it_cell.plan.worker_unresponsive("w0");
        const auto after = it_cell.elsewhere_after(seconds(30));
        cr_assert(after.has_value(), "%s", it.name);
        cr_assert_geq(after->count(), it.earliest.count(), "%s", it.name);
        cr_assert_leq(after->count(), it.latest.count(), "%s", it.name);
    }
}
