#include <array>
#include <span>

#include <criterion/criterion.h>

#include "planner_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

constexpr int members = 3;
constexpr milliseconds longest_lease{9500};

jobs::job gang_job()
{
    auto step = make_step(members, 20, true);
    step.checkpointing = true;
    return make_job("j", "plain", {step});
}

/// Returns the checkpoints of the next run of the gang; empty if it does not
/// start in time.
std::vector<std::string> next_checkpoints(planner_fixture& cell,
                                          std::span<const std::string> alive)
{
    std::vector<std::string> out;
    const auto until = cell.clock.now() + longest_lease;
    while (out.empty() && cell.clock.now() < until)
    {
        for (const auto& it : alive)
            cell.report(it);
        for (const auto& it : cell.round().starts)
            out.push_back(it.checkpoint);
    }
    return out;
}

} // namespace

enum class gang_end
{
    /// A member's worker is lost; the others end with newer checkpoints.
    worker_lost,
    /// The same, and it is noticed before the others have ended.
    worker_lost_first,
    /// A member fails, with a checkpoint; the others end as well.
    member_failed,
    /// A former leader has stored unequal checkpoints.
    former_leader
};

struct gang_case
{
    gang_end how;
    std::string expected;
};

// Guards against starting the members of a gang with different checkpoints: a
// worker refuses the start, and the job is never completed (review/7).
Test(gang_checkpoint, is_one_for_all_members)
{
    const std::array cases = {
        gang_case{gang_end::worker_lost, "new"},
        gang_case{gang_end::worker_lost_first, "new"},
        gang_case{gang_end::member_failed, "new"},
        gang_case{gang_end::former_leader, "old"},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell(it.how == gang_end::former_leader ? 0 : members);
        if (it.how == gang_end::former_leader)
        {
            jobs::job_record record;
            record.state = jobs::job_state::running;
            record.occurrences_opened = 1;
            std::vector<jobs::task_record> tasks(members);
            tasks[1].checkpoint = "old";
            tasks[2].checkpoint = "older";
            record.open.push_back({0, {tasks}});
            cell.plan.restore(gang_job(), record);
        }
        else
        {
            cell.submit(gang_job());
            const auto starts = cell.run_round().starts;
            cr_assert_eq(starts.size(), members);
            for (const auto& start : starts)
                cell.report(start.worker,
                            {{start.task, start.run,
                              "old" + std::to_string(start.task.index), 1}});
            const auto& lost = starts[0];
            const bool fails = it.how == gang_end::member_failed;
            if (!fails)
                cell.plan.worker_unresponsive(lost.worker);
            if (it.how == gang_end::worker_lost_first)
            {
                cell.clock.advance(longest_lease);
                cell.plan.take_orders({});
            }
            for (const auto& start : starts)
                if (fails || start.worker != lost.worker)
                    cell.report(start.worker, {},
                                {{1, start.task, start.run,
                                  fails && start.worker == lost.worker
                                      ? jobs::run_outcome::failed
                                      : jobs::run_outcome::gang_member_ended,
                                  "new"}});
        }
        cell.add_host("w8");
        cell.add_host("w9");
        cell.add_host("w10");
        const std::array<std::string, 3> alive = {"w8", "w9", "w10"};
        const auto found = next_checkpoints(cell, alive);
        cr_assert_eq(found.size(), members, "case %d", int(it.how));
        for (const auto& checkpoint : found)
            cr_assert_eq(checkpoint, it.expected, "case %d: %s", int(it.how),
                         checkpoint.c_str());
    }
}
