#include <array>
#include <map>

#include <criterion/criterion.h>

#include "../dispatch/planner_fixture_test.hpp"
#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/entry/job_rows.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;
using namespace mustardwick::entry;

namespace
{

constexpr std::size_t max_rows = 96;
constexpr std::size_t max_bytes = 600'000;
/// 65,536 bytes of base64.
constexpr std::size_t max_row_bytes = 49'152;

/// The rows of a store that enforces its limits.
struct row_store
{
    void apply(std::vector<row_change> changes)
    {
        durable::transaction tx;
        std::size_t bytes = 0;
        for (auto& it : changes)
            add_change(tx, std::move(it));
        cr_assert_leq(tx.writes.size() + tx.removals.size(), max_rows);
        for (const auto& it : tx.removals)
            rows.erase(it);
        for (const auto& it : tx.writes)
        {
            cr_assert_leq(it.value.size(), max_row_bytes, "row %s has %zu",
                          it.address.key.c_str(), it.value.size());
            bytes += it.value.size();
            rows[it.address] = it.value;
        }
        cr_assert_leq(bytes, max_bytes + max_row_bytes);
    }

    /// Loads the rows as a new leader does.
    void load(planner& plan) const
    {
        stored_jobs stored;
        for (const auto& [address, value] : rows)
            cr_assert(stored.add({address, value, 1, false}));
        for (auto& [id, it] : stored.take())
            if (!it.is_orphan())
            {
                cr_assert(it.specification && it.record);
                plan.restore(*it.specification, *it.record, it.split,
                             it.blocks);
            }
    }

    std::map<durable::row_address, std::string> rows;
};

/// A cell that commits to a row store.
struct stored_cell : planner_fixture
{
    explicit stored_cell(row_store& store, int hosts)
        : planner_fixture(hosts), store_(store)
    {
    }

    bool commit_once()
    {
        auto changes = plan.next_commit(max_rows, max_bytes);
        if (changes.empty())
            return false;
        store_.apply(std::move(changes));
        plan.commit_done();
        return true;
    }

    std::vector<start_order> place()
    {
        clock.advance(milliseconds(200));
        plan.take_orders({});
        while (commit_once())
            ;
        return plan.take_orders({}).starts;
    }

    row_store& store_;
};

jobs::step small_step(int tasks)
{
    auto out = make_step(tasks, 0);
    out.size = {10, 1, 0};
    return out;
}

} // namespace

struct size_case
{
    const char* name;
    int tasks;
    std::int64_t occurrences;
    /// The account's maximum keeps every task waiting.
    bool at_maximum;
};

// Guards against a job that outgrows one row of the store, which then takes no
// transaction of any job (review/1).
Test(large_jobs, stay_within_the_limits_of_the_store)
{
    const std::array cases = {
        size_case{"falls behind", 60, 500, true},
        size_case{"many small occurrences", 1, 100'000, true},
        size_case{"wide occurrences", 9000, 20, true},
        size_case{"one wide step", 10'000, 0, false},
        size_case{"overlapping occurrences", 60, 300, false},
    };
    for (const auto& it : cases)
    {
        row_store store;
        stored_cell cell(store, 4);
        auto job = make_job("j", "plain", {small_step(it.tasks)},
                            it.at_maximum ? "capped" : "a");
        if (it.at_maximum)
            job.steps[0].size.millicpus = 9000;
        job.occurrences = it.occurrences;
        job.interval_ms = it.occurrences > 0 ? 1 : 0;
        cell.plan.submit(job, [] {});
        cell.place();
        cell.clock.advance(std::chrono::seconds(100));
        for (const auto* host : {"w0", "w1", "w2", "w3"})
            cell.report(host);
        cell.plan.submit(make_job("k", "plain", {make_step(1, 1)}), [] {});
        const auto starts = cell.place();
        const bool serves_others = std::any_of(starts.begin(), starts.end(),
                                               [](const auto& start)
                                               {
                                                   return start.task.job == "k";
                                               });
        cr_assert(serves_others, "%s", it.name);
    }
}

// Guards against tasks of a large job that are lost or run twice when the
// leader ends between two transactions of one change.
Test(large_jobs, continue_after_each_transaction)
{
    constexpr int tasks = 9000;
    for (int committed = 0; committed < 6; ++committed)
    {
        row_store store;
        std::map<jobs::task_key, int> finished;
        std::vector<start_order> running;
        {
            stored_cell cell(store, 4);
            cell.plan.submit(make_job("j", "plain", {small_step(tasks)}),
                             [] {});
            for (const auto& it : cell.place())
            {
                cell.accept(it);
                running.push_back(it);
            }
            cr_assert_eq(running.size(), tasks);
            // Half of the tasks end; the leader ends while it stores that.
            std::map<std::string, std::vector<jobs::ended_run>> ends;
            for (std::size_t it = 0; it < running.size(); it += 2)
            {
                auto& list = ends[running[it].worker];
                list.push_back({std::int64_t(list.size() + 1), running[it].task,
                                running[it].run, jobs::run_outcome::done, ""});
                finished[running[it].task] = running[it].run;
            }
            for (auto& [worker, list] : ends)
                cell.report(worker, {}, list);
            for (int it = 0; it < committed; ++it)
                cell.commit_once();
        }
        stored_cell successor(store, 0);
        store.load(successor.plan);
        std::map<std::string, std::vector<jobs::running_run>> listed;
        std::map<std::string, std::vector<jobs::ended_run>> ends;
        for (const auto& it : running)
            if (finished.contains(it.task))
                ends[it.worker].push_back(
                    {std::int64_t(ends[it.worker].size() + 1), it.task, it.run,
                     jobs::run_outcome::done, ""});
            else
                listed[it.worker].push_back({it.task, it.run, "", 0});
        for (const auto& [worker, list] : listed)
        {
            successor.list_host(worker, "z", false);
            successor.report(worker, list, ends[worker]);
        }
        cr_assert(successor.place().empty(), "%d transactions", committed);
        cr_assert_eq(successor.plan.state_of("j"), jobs::job_state::running);
        for (auto& [worker, list] : listed)
        {
            auto& done = ends[worker];
            for (const auto& it : list)
                done.push_back({std::int64_t(done.size() + 1), it.task, it.run,
                                jobs::run_outcome::done, ""});
            successor.report(worker, {}, done);
        }
        successor.place();
        cr_assert_eq(successor.plan.state_of("j"), jobs::job_state::completed);
        cr_assert_eq(store.rows.size(), 1);
    }
}
