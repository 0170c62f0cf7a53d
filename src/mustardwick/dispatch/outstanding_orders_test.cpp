#include <array>

#include <criterion/criterion.h>

#include "planner_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

using std::chrono::seconds;

/// Longest delay of a call plus the longest lease, without and with the
/// tolerance for slow clocks and for the interval of rounds.
constexpr milliseconds earliest_elsewhere{18'000};
constexpr milliseconds latest_elsewhere{19'500};
constexpr milliseconds lease_life{6800};

/// One task on the first of two workers.
struct cell : planner_fixture
{
    explicit cell(const std::string& queue = "plain") : planner_fixture(1)
    {
        submit(make_job("j", queue, {make_step(1, 1)}));
        if (queue == "asked")
        {
            const auto query = round(1).queries.at(0);
            plan.advice_answered(query, allow_all(query), clock.now());
        }
        order = round().starts.at(0);
        cr_assert_eq(order.worker, "w0");
        add_host("w1");
    }

    void answer(jobs::order_result result, bool is_verified = true)
    {
        plan.start_answered(order, {result, worker_clock(), is_verified});
    }

    /// The order has expired by the clock of the incarnation that it was meant
    /// for, which does not list its run.
    void expire()
    {
        answer(jobs::order_result::unknown);
        clock.advance(seconds(2));
        report("w0");
    }

    void restart(std::vector<jobs::running_run> running = {},
                 std::vector<jobs::ended_run> ended = {})
    {
        report("w0", std::move(running), std::move(ended),
               incarnation_start + 1);
    }

    /// Returns after which time, counted from the order, the task is started on
    /// another worker; std::nullopt if not within the given time.
    std::optional<milliseconds> elsewhere_after(milliseconds most)
    {
        for (const auto until = clock.now() + most; clock.now() < until;)
        {
            report("w1");
            const auto out = round(1);
            for (const auto& it : out.queries)
                plan.advice_answered(it, allow_all(it), clock.now());
            for (const auto& it : out.starts)
                if (it.worker != "w0")
                    return std::chrono::duration_cast<milliseconds>(
                        clock.now() - ordered);
        }
        return std::nullopt;
    }

    start_order order;
    base::steady_time ordered = clock.now();
};

enum class event
{
    accepted,
    accepted_unverified,
    refused,
    refused_unverified,
    listed,
    silent,
    expired,
    accepted_again
};

struct lost_case
{
    const char* name;
    const char* queue;
    std::vector<event> events;
    milliseconds earliest;
    milliseconds latest;
};

void play(cell& it, event what)
{
    switch (what)
    {
    case event::accepted:
        return it.answer(jobs::order_result::accepted);
    case event::accepted_unverified:
        return it.answer(jobs::order_result::accepted, false);
    case event::refused:
        return it.answer(jobs::order_result::insufficient_capacity);
    case event::refused_unverified:
        return it.answer(jobs::order_result::insufficient_capacity, false);
    case event::listed:
        return it.report("w0", {{{"j", 0, 0, 0}, 1, "", 0}});
    case event::silent:
        return it.answer(jobs::order_result::unknown);
    case event::expired:
        return it.expire();
    case event::accepted_again:
        for (const auto& order : it.run_round().starts)
            cr_assert_eq(order.worker, "w0");
        it.report("w0", {{{"j", 0, 0, 0}, 2, "", 0}});
        return;
    }
}

} // namespace

// Guards against a second run while an incarnation that no call has reached
// carries out the order of the first one late (TWICE, issue 51).
Test(outstanding_orders, of_a_lost_worker_delay_its_tasks)
{
    const std::array cases = {
        lost_case{
            "answered", "plain", {event::accepted}, seconds(5), lease_life},
        lost_case{"answered, perhaps by another incarnation",
                  "plain",
                  {event::accepted_unverified},
                  earliest_elsewhere,
                  latest_elsewhere},
        lost_case{"the same, then listed",
                  "plain",
                  {event::accepted_unverified, event::listed},
                  seconds(5),
                  lease_life},
        lost_case{"refused", "plain", {event::refused}, seconds(0), seconds(1)},
        lost_case{"refused, perhaps by another incarnation",
                  "plain",
                  {event::refused_unverified},
                  seconds(0),
                  seconds(1)},
        lost_case{"not answered",
                  "plain",
                  {event::silent},
                  earliest_elsewhere,
                  latest_elsewhere},
        lost_case{"not answered, bound to one incarnation by a ticket",
                  "asked",
                  {event::silent},
                  milliseconds(1500),
                  lease_life},
        lost_case{"expired",
                  "plain",
                  {event::expired},
                  earliest_elsewhere,
                  latest_elsewhere + seconds(3)},
        lost_case{"expired, then accepted",
                  "plain",
                  {event::expired, event::accepted_again},
                  earliest_elsewhere,
                  latest_elsewhere + seconds(3)},
    };
    for (const auto& it : cases)
    {
        cell it_cell(it.queue);
        for (const auto what : it.events)
            play(it_cell, what);
        it_cell.plan.worker_unresponsive("w0");
        const auto after = it_cell.elsewhere_after(seconds(30));
        cr_assert(after.has_value(), "%s: never", it.name);
        cr_assert_geq(after->count(), it.earliest.count(), "%s", it.name);
        cr_assert_leq(after->count(), it.latest.count(), "%s", it.name);
    }
}

struct successor_case
{
    const char* name;
    const char* queue;
    std::vector<event> events;
    /// The successor reads which orders are settled.
    bool reads_settled;
    bool waits;
};

// Guards against a successor that starts a task elsewhere while an order of its
// predecessor may still be carried out (TWICE), and against one that lets all
// tasks of a lost worker wait (LOST).
Test(outstanding_orders, of_a_former_leader_delay_tasks_of_a_lost_worker)
{
    const std::array cases = {
        successor_case{"answered", "plain", {event::accepted}, true, false},
        successor_case{
            "answered, not read", "plain", {event::accepted}, false, true},
        successor_case{"not answered", "plain", {event::silent}, true, true},
        successor_case{"expired", "plain", {event::expired}, true, true},
        successor_case{"expired, then accepted",
                       "plain",
                       {event::expired, event::accepted_again},
                       true,
                       true},
        successor_case{"with tickets", "asked", {event::silent}, false, false},
    };
    for (const auto& it : cases)
    {
        cell first(it.queue);
        for (const auto what : it.events)
            play(first, what);
        first.commit();
        planner_fixture second(0);
        second.plan.restore(make_job("j", it.queue, {make_step(1, 1)}),
                            first.stored_record("j"), false, {}, first.version);
        if (it.reads_settled)
            second.plan.settle_inherited_orders(first.plan.settled_version());
        second.add_host("w1");
        const auto starts_within = [&](milliseconds time)
        {
            bool started = false;
            for (const auto until = second.clock.now() + time;
                 second.clock.now() < until;)
            {
                second.report("w1");
                const auto out = second.round(1);
                for (const auto& query : out.queries)
                    second.plan.advice_answered(query, allow_all(query),
                                                second.clock.now());
                started = started || !out.starts.empty();
            }
            return started;
        };
        cr_assert_eq(starts_within(seconds(10)), !it.waits, "%s", it.name);
        if (it.waits)
        {
            cr_assert_not(starts_within(seconds(10)), "%s", it.name);
            cr_assert(starts_within(seconds(3)), "%s", it.name);
        }
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
        cell it_cell;
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

// Guards against a task that waits although its worker works: its order can
// take effect nowhere else.
Test(outstanding_orders, let_tasks_start_again_on_the_same_worker)
{
    cell it;
    it.expire();
    const auto starts = it.run_round().starts;
    cr_assert_eq(starts.size(), 1);
    cr_assert_eq(starts[0].worker, "w0");
    cr_assert_eq(starts[0].run, 2);
}

// Guards against a task that is tied to its worker for ever.
Test(outstanding_orders, do_not_outlast_the_longest_delay)
{
    cell it;
    it.expire();
    it.list_host("w0", "z", true);
    for (int round = 0; round < 40; ++round)
    {
        it.report("w0");
        const auto after = it.elsewhere_after(milliseconds(200));
        cr_assert_not(after && *after < seconds(12));
    }
    for (int round = 0; round < 40; ++round)
    {
        it.report("w0");
        if (it.elsewhere_after(milliseconds(200)))
            return;
    }
    cr_assert_fail("the task has not started elsewhere");
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
        cell it_cell;
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

// Guards against members of a gang step that start elsewhere beside one whose
// order is carried out late.
Test(outstanding_orders, of_a_gang_member_tie_it_to_its_worker)
{
    planner_fixture gang(1);
    gang.submit(make_job("g", "plain", {make_step(2, 20, true)}));
    gang.add_host("w1");
    const auto first = gang.round().starts;
    cr_assert_eq(first.size(), 2);
    const auto& tied = first[1];
    cr_assert_neq(first[0].worker, tied.worker);
    gang.accept(first[0]);
    gang.plan.start_answered(tied, {jobs::order_result::unknown, 0});
    gang.clock.advance(seconds(2));
    gang.report(tied.worker);
    gang.report(first[0].worker, {},
                {{1, first[0].task, 1, jobs::run_outcome::stopped, ""}});
    gang.list_host(first[0].worker, "z", true);
    gang.add_host("w2");
    const auto second = gang.round().starts;
    cr_assert_eq(second.size(), 2);
    for (const auto& it : second)
        cr_assert_eq(it.task == tied.task, it.worker == tied.worker);
}

namespace
{

struct acknowledged_case
{
    const char* name;
    std::vector<event> events;
    /// Of a renewal that may reach another incarnation.
    std::int64_t acknowledged;
};

} // namespace

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
        cell it_cell;
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
        cell it_cell;
        it_cell.answer(jobs::order_result::accepted, it.is_verified);
        jobs::worker_report report;
        report.clock_ms = it_cell.worker_clock();
        report.incarnation_start_ms = incarnation_start + 1;
        report.running = {{it_cell.order.task, it_cell.order.run, "", 0}};
        report.is_verified = it.is_verified;
        it_cell.plan.worker_reported("w0", report);
        it_cell.plan.worker_unresponsive("w0");
        const auto after = it_cell.elsewhere_after(seconds(30));
        cr_assert(after.has_value(), "%s", it.name);
        cr_assert_geq(after->count(), it.earliest.count(), "%s", it.name);
        cr_assert_leq(after->count(), it.latest.count(), "%s", it.name);
    }
}
