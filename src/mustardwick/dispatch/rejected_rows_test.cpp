#include <array>

#include <criterion/criterion.h>

#include "planner_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

/// Commits until nothing is left; the store rejects all rows of one job.
/// Returns the number of rejections.
int commit_all_but(planner_fixture& cell, std::string_view rejected)
{
    int n = 0;
    for (auto changes = cell.plan.next_commit(96, 600'000); !changes.empty();
         changes = cell.plan.next_commit(96, 600'000))
    {
        const bool rejects =
            std::any_of(changes.begin(), changes.end(),
                        [&](const auto& it)
                        {
                            return it.value && it.key == rejected;
                        });
        cr_assert_lt(n, 100, "the job was not isolated");
        n += rejects ? 1 : 0;
        if (rejects)
            cell.plan.commit_rejected();
        else
            cell.plan.commit_done();
    }
    return n;
}

} // namespace

struct isolation_case
{
    int others;
    /// The job was stored before the store rejects its rows.
    bool is_stored;
};

// Guards against a job whose rows the store rejects and that keeps the rows of
// all others from being stored (review/1).
Test(rejected_rows, hold_up_only_their_own_job)
{
    const std::array cases = {isolation_case{0, false}, isolation_case{0, true},
                              isolation_case{70, false},
                              isolation_case{70, true}};
    for (const auto& it : cases)
    {
        planner_fixture cell(4);
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
        if (it.is_stored)
            cell.submit(make_job("bad", "plain", {make_step(1, 1)}));
        for (int n = 0; n < it.others; ++n)
        {
            submit("j" + std::to_string(n));
            if (n == it.others / 2 && !it.is_stored)
                submit("bad");
        }
        if (it.others == 0 && !it.is_stored)
            submit("bad");
        cell.clock.advance(milliseconds(200));
        cell.plan.take_orders({});
        cr_assert_gt(commit_all_but(cell, "bad"), 0);
        cr_assert_eq(accepted, it.others);
        cr_assert_eq(refused, it.is_stored ? 0 : 1);
        cr_assert_eq(cell.plan.state_of("bad").has_value(), it.is_stored);
        const auto starts = cell.plan.take_orders({}).starts;
        cr_assert_eq(int(starts.size()), it.others);
        if (!it.is_stored)
            continue;
        // Its room is free, and it is sent again, alone, after a delay.
        cell.clock.advance(milliseconds(200));
        cell.plan.take_orders({});
        cr_assert_eq(commit_all_but(cell, "bad"), 0);
        cell.clock.advance(std::chrono::seconds(5));
        for (const auto* host : {"w0", "w1", "w2", "w3"})
            cell.report(host);
        cell.plan.take_orders({});
        cr_assert_eq(commit_all_but(cell, "bad"), 1);
        // A cancellation is stored at once.
        cell.plan.cancel("bad", [](cancel_result) {});
        cell.commit();
        cr_assert_eq(cell.plan.state_of("bad"), jobs::job_state::cancelled);
    }
}
