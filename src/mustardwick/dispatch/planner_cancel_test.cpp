#include <array>

#include <criterion/criterion.h>

#include "planner_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

/// A planner with what its callers were told last.
struct cancelling_fixture : planner_fixture
{
    void cancel(const std::string& id, const std::string& account = "a")
    {
        plan.cancel(
            id,
            [this](cancel_result out)
            {
                result = out;
            },
            account);
    }

    /// Returns whether the job is accepted once all changes are durable.
    bool accepts(const std::string& id)
    {
        return submit(make_job(id, "plain", {make_step(1, 1)}));
    }

    /// Returns the withdrawn job as a successor reads it.
    static jobs::job_record record_in(const std::vector<row_change>& rows)
    {
        cr_assert_eq(rows.size(), 1);
        cr_assert_eq(rows[0].kind, row_kind::progress);
        const auto head = decode_progress_head(rows[0].value.value());
        cr_assert(head.has_value());
        return head->record;
    }

    std::optional<cancel_result> result;
};

enum class event
{
    /// The transaction that withdraws the job is carried out.
    stored,
    /// The store fails before the job is part of a transaction.
    store_fails,
    /// Another leader takes over once the job is stored.
    successor,
    retention_passes
};

struct withdrawn_case
{
    event what;
    std::optional<cancel_result> answer;
    bool is_accepted;
};

} // namespace

// Guards against running a job that was cancelled before its submission
// arrived, and against answering a cancellation that the store does not hold.
Test(planner_cancel, withdrawn_jobs_are_not_accepted_later)
{
    const std::array cases = {
        withdrawn_case{event::stored, cancel_result::unknown_job, false},
        withdrawn_case{event::successor, cancel_result::unknown_job, false},
        withdrawn_case{event::store_fails, cancel_result::not_stored, true},
        withdrawn_case{event::retention_passes, cancel_result::unknown_job,
                       true},
    };
    for (const auto& it : cases)
    {
        cancelling_fixture first;
        cancelling_fixture second;
        auto* cell = &first;
        first.cancel("j");
        cr_assert_not(first.result.has_value());
        if (it.what == event::store_fails)
            first.plan.reject_unsent_jobs();
        else
        {
            const auto rows = first.plan.next_commit(96, 600'000);
            cr_assert_not(first.result.has_value());
            cr_assert_not(first.accepts("j"));
            first.plan.commit_done();
            if (it.what == event::successor)
            {
                jobs::job known;
                known.id = "j";
                second.plan.restore(known, cancelling_fixture::record_in(rows));
                cell = &second;
            }
        }
        cr_assert(first.result == it.answer);
        if (it.what == event::retention_passes)
        {
            first.clock.advance(milliseconds(130'000));
            first.plan.take_orders({});
            first.commit();
        }
        cr_assert_not(cell->plan.state_of("j").has_value());
        cr_assert_eq(cell->accepts("j"), it.is_accepted);
        cr_assert_eq(cell->round().starts.size(), it.is_accepted ? 1 : 0);
    }
}

struct bound_case
{
    const char* name;
    /// Accounts that cancel ids at random, each beyond its limit.
    int accounts;
    /// Another account may still cancel an id that is not known.
    bool is_left;
};

// Guards against rows without bound when somebody cancels ids at random, and
// against a bound that keeps the jobs of others from being cancelled.
Test(planner_cancel, bounds_withdrawn_jobs)
{
    const std::array cases = {
        bound_case{"one account", 1, true},
        bound_case{"many accounts", 8, false},
    };
    const planner_options limits;
    for (const auto& it : cases)
    {
        cancelling_fixture cell;
        cr_assert(cell.accepts("known"));
        std::size_t stored = 0;
        for (int account = 0; account < it.accounts; ++account)
        {
            const auto name = std::to_string(account);
            const auto n = limits.max_withdrawn_jobs_of_account + 1;
            for (std::size_t id = 0; id < n; ++id)
                cell.cancel(name + "-" + std::to_string(id), name);
            stored += limits.max_withdrawn_jobs_of_account;
        }
        cell.commit();
        cr_assert_eq(cell.plan.withdrawn_jobs(),
                     std::min(stored, limits.max_withdrawn_jobs), "%s",
                     it.name);
        cell.cancel("one more", "0");
        cr_assert(cell.result == cancel_result::not_stored);
        cell.cancel("0-0", "0");
        cr_assert(cell.result == cancel_result::unknown_job);
        cell.cancel("known", "0");
        cell.commit();
        cr_assert(cell.result == cancel_result::cancelled);
        cell.cancel("of another", "another");
        cell.commit();
        cr_assert_eq(cell.result == cancel_result::unknown_job, it.is_left,
                     "%s", it.name);
        cell.clock.advance(milliseconds(130'000));
        cell.plan.take_orders({});
        cell.commit();
        cr_assert_eq(cell.plan.withdrawn_jobs(), 0);
        cell.cancel("one more", "0");
        cell.commit();
        cr_assert(cell.result == cancel_result::unknown_job);
    }
}
