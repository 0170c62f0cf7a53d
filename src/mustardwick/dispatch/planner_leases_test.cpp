#include <array>

#include <criterion/criterion.h>

#include "mustardwick/durable/store_clock.hpp"
#include "planner_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

/// Longest life of a lease, and by how much conversions may exceed it.
constexpr milliseconds lease_life{6500};

jobs::job_record running_record(const std::string& worker)
{
    jobs::job_record out;
    out.state = jobs::job_state::running;
    out.occurrences_opened = 1;
    jobs::task_record task;
    task.state = jobs::task_state::assigned;
    task.run = 1;
    task.worker = worker;
    task.worker_incarnation_start_ms = incarnation_start;
    out.open.push_back({0, {{task}}});
    return out;
}

/// A leader of a chain of leaders, with the store's clock.
struct leader
{
    /// `elapsed` is the time since the first leader began.
    explicit leader(milliseconds elapsed)
        : plan(clock, {}, metrics), store_start(elapsed)
    {
        base::set_up_log("test", base::log_level::error);
        began = clock.now();
        plan.set_configuration(make_configuration());
    }

    void list(const std::string& id)
    {
        jobs::worker_info info;
        info.id = id;
        info.service = "s";
        info.capacity = {host_cores * 1000, 64'000, 0};
        plan.worker_listed(info);
    }

    void report(const std::string& id,
                std::vector<jobs::running_run> running = {})
    {
        plan.worker_reported(id,
                             {1000 + elapsed().count(),
                              incarnation_start,
                              std::move(running),
                              {}},
                             clock.now());
    }

    milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(clock.now() - began);
    }

    lease_storing storing(bool hands_over = false)
    {
        store.read(clock.now(), clock.now(),
                   (store_start + elapsed()).count() + 1'000'000);
        return {[this](base::steady_time time)
                {
                    return *store.to_store(time);
                },
                clock.now(), hands_over};
    }

    settled_orders settled() const
    {
        const auto convert = [this](base::steady_time time)
        {
            return *store.to_store(time);
        };
        return plan.settled(to_store_clock{convert, clock.now()});
    }

    void settle(const settled_orders& settled)
    {
        plan.settle_inherited_orders(settled,
                                     [this](std::int64_t time_ms)
                                     {
                                         return store.from_store(time_ms);
                                     });
    }

    /// Stores the lapsing leases if they have changed.
    void commit(bool hands_over = false)
    {
        while (!plan.next_commit(96, 600'000).empty())
            plan.commit_done();
        const auto how = storing(hands_over);
        if (!plan.has_lease_changes(how))
            return;
        stored = plan.store_lapsing_leases(how);
        plan.lapsing_leases_stored();
    }

    void restore(const std::vector<lapsing_lease>& leases)
    {
        for (const auto& it : leases)
            plan.restore_lapsing_lease(it, *store.from_store(it.end_ms),
                                       *store.from_store(it.calls_end_ms));
    }

    /// The order of the job has been answered.
    void take_over(const std::vector<lapsing_lease>& leases)
    {
        plan.restore(make_job("j", "plain", {make_step(1, 1)}),
                     running_record("w0"));
        settle({0, 1, {}});
        storing();
        restore(leases);
    }

    /// Lets time pass and returns whether a task of the job is started.
    bool starts_within(milliseconds time)
    {
        for (const auto until = clock.now() + time; clock.now() < until;)
        {
            clock.advance(milliseconds(50));
            report("w1");
            auto out = plan.take_orders({});
            commit();
            const auto released = plan.take_orders({});
            if (!out.starts.empty() || !released.starts.empty())
                return true;
        }
        return false;
    }

    base::manual_clock clock;
    base::metrics metrics;
    planner plan;
    base::steady_time began;
    durable::store_clock store;
    milliseconds store_start;
    std::vector<lapsing_lease> stored;
};

} // namespace

struct chain_case
{
    const char* name;
    /// How long each leader leads before the next one takes over.
    std::vector<milliseconds> terms;
    /// Each of them hands over as planned.
    bool hands_over;
};

// Guards against tasks of a lost worker that wait anew after each change of
// leaders (review/6): they start elsewhere once one lease has ended since the
// last leader that could renew it.
Test(planner_leases, of_lost_workers_end_however_often_leaders_change)
{
    using std::chrono::seconds;
    const std::array cases = {
        chain_case{"one leader", {}, false},
        chain_case{"killed after 3 s", {seconds(3)}, false},
        chain_case{"killed often",
                   {milliseconds(1500), milliseconds(1500), milliseconds(1500)},
                   false},
        chain_case{"handed over at once",
                   {milliseconds(200), milliseconds(200), milliseconds(200)},
                   true},
    };
    for (const auto& it : cases)
    {
        leader first(milliseconds(0));
        first.list("w0");
        first.list("w1");
        first.report("w1");
        first.report("w0");
        first.plan.submit(make_job("j", "plain", {make_step(1, 1)}), [] {});
        first.clock.advance(milliseconds(200));
        first.plan.take_orders({});
        first.commit();
        auto order = first.plan.take_orders({}).starts.at(0);
        // The host is chosen by the planner.
        const auto lost = order.worker;
        first.plan.start_answered(order, {jobs::order_result::accepted, 1200});
        first.plan.lease_deadline(lost);
        const auto renewed = first.elapsed();
        first.plan.worker_unresponsive(lost);
        auto stored = first.stored;
        auto passed = renewed;
        auto* current = &first;
        std::vector<std::unique_ptr<leader>> successors;
        for (const auto term : it.terms)
        {
            cr_assert_not(current->starts_within(term), "%s", it.name);
            current->commit(it.hands_over);
            stored = current->stored;
            const auto settled = current->settled();
            passed += term;
            successors.push_back(std::make_unique<leader>(passed));
            current = successors.back().get();
            current->list("w1");
            current->report("w1");
            auto record = running_record(lost);
            current->plan.restore(make_job("j", "plain", {make_step(1, 1)}),
                                  record);
            current->settle(settled);
            current->storing();
            current->restore(stored);
        }
        const auto left = lease_life - (passed - renewed);
        cr_assert_not(current->starts_within(left - milliseconds(600)),
                      "%s: too early", it.name);
        cr_assert(current->starts_within(milliseconds(600)), "%s: too late",
                  it.name);
    }
}

struct stored_case
{
    const char* name;
    bool answers_first_leader;
    bool is_stored_again;
    bool answers_successor_first;
    bool lapses;
};

// Guards against giving up runs on a worker whose lease was renewed after its
// end had been stored (TWICE).
Test(planner_leases, are_not_renewed_while_a_successor_may_rely_on_their_end)
{
    const std::array cases = {
        stored_case{"silent", false, false, false, true},
        stored_case{"answers, not stored yet", true, false, false, true},
        stored_case{"answers, and that is stored", true, true, false, false},
        stored_case{"answers the successor", false, false, true, false},
    };
    for (const auto& it : cases)
    {
        leader first(milliseconds(0));
        first.take_over({});
        first.list("w0");
        const jobs::running_run run{{"j", 0, 0, 0}, 1, "", 0};
        first.report("w0", {run});
        cr_assert(first.plan.lease_deadline("w0").has_value());
        first.plan.worker_unresponsive("w0");
        first.list("w1");
        cr_assert_not(first.starts_within(milliseconds(1500)));
        cr_assert_eq(first.stored.size(), 1);
        if (it.answers_first_leader)
        {
            first.report("w0", {run});
            cr_assert_not(first.plan.lease_deadline("w0").has_value(), "%s",
                          it.name);
        }
        if (it.is_stored_again)
        {
            first.commit();
            cr_assert(first.stored.empty());
            cr_assert(first.plan.lease_deadline("w0").has_value());
        }
        leader second(first.elapsed());
        second.list("w0");
        second.list("w1");
        if (it.answers_successor_first)
        {
            second.plan.restore(make_job("j", "plain", {make_step(1, 1)}),
                                running_record("w0"));
            second.settle(first.settled());
            second.report("w0", {run});
            cr_assert(second.plan.lease_deadline("w0").has_value());
            second.storing();
            second.restore(first.stored);
        }
        else
            second.take_over(first.stored);
        // Less than a successor waits that knows no end.
        cr_assert_eq(second.starts_within(milliseconds(7800)), it.lapses, "%s",
                     it.name);
    }
}

// Guards against giving up runs of a worker's new incarnation too early
// (TWICE): calls that were meant for the former one have given it a lease that
// the leader did not count (issue 48).
Test(planner_leases, of_a_new_incarnation_count_calls_to_the_former_one)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.run_round().starts.at(0);
    cell.plan.lease_deadline(order.worker);
    cell.add_host("w1");
    cell.clock.advance(milliseconds(4000));
    // The order has reached the new incarnation.
    cell.report(order.worker, {{order.task, order.run, "", 0}}, {},
                incarnation_start + 1);
    cell.plan.worker_unresponsive(order.worker);
    for (int it = 0; it < 30; ++it)
        cr_assert(cell.round().starts.empty(), "%d", it);
    cell.clock.advance(milliseconds(500));
    cr_assert_eq(cell.round().starts.size(), 1);
}

// Guards against a successor that relies on the end of a lease of a worker's
// former incarnation (TWICE).
Test(planner_leases, of_a_new_incarnation_are_stored_with_an_end_of_their_own)
{
    leader first(milliseconds(0));
    first.take_over({});
    first.list("w0");
    const jobs::running_run run{{"j", 0, 0, 0}, 1, "", 0};
    first.report("w0", {run});
    // The bound of the former leader has passed by then.
    first.clock.advance(milliseconds(4000));
    cr_assert(first.plan.lease_deadline("w0").has_value());
    first.plan.worker_unresponsive("w0");
    first.list("w1");
    cr_assert_not(first.starts_within(milliseconds(1500)));
    cr_assert_eq(first.stored.size(), 1);
    const auto former = first.stored[0];
    // It answers and is silent again before its removal is stored.
    first.plan.worker_reported("w0", {5, incarnation_start + 1, {run}, {}},
                               first.clock.now());
    first.plan.worker_unresponsive("w0");
    const auto stored = first.plan.store_lapsing_leases(first.storing(true));
    cr_assert_eq(stored.size(), 1);
    cr_assert_eq(stored[0].incarnation_start_ms, incarnation_start + 1);
    cr_assert_gt(stored[0].end_ms, former.end_ms + 1000);
}

struct reply_case
{
    const char* name;
    jobs::order_result result;
    /// How far the order's deadline is ahead on the clock that answers.
    milliseconds ahead;
    milliseconds earliest;
};

// Guards against giving up a run too early (TWICE): its order was answered by
// another incarnation than it was meant for, on whose clock the lease is longer
// (issue 51).
Test(planner_leases, count_by_the_clock_that_has_granted_them)
{
    using std::chrono::seconds;
    const std::array cases = {
        reply_case{"as meant", jobs::order_result::accepted, milliseconds(1500),
                   milliseconds(1500)},
        reply_case{"behind", jobs::order_result::accepted, seconds(4),
                   seconds(4)},
        reply_case{"far behind", jobs::order_result::accepted, seconds(1000),
                   seconds(6)},
        reply_case{"ahead", jobs::order_result::accepted, seconds(-4),
                   seconds(1)},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell(1);
        // The lease that the first report counts has ended.
        cell.clock.advance(seconds(7));
        cell.report("w0");
        cell.submit(make_job("j", "plain", {make_step(1, 1)}));
        const auto order = cell.round().starts.at(0);
        cell.plan.start_answered(
            order, {it.result, order.deadline_ms - it.ahead.count()});
        cell.add_host("w1");
        cell.plan.worker_unresponsive(order.worker);
        const auto began = cell.clock.now();
        while (cell.round().starts.empty())
            cr_assert_lt((cell.clock.now() - began).count(),
                         base::steady_time::duration(seconds(8)).count(), "%s",
                         it.name);
        cr_assert_geq((cell.clock.now() - began).count(),
                      base::steady_time::duration(it.earliest).count(), "%s",
                      it.name);
    }
}
