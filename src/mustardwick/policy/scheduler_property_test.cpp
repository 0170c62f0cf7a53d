#include "mustardwick/policy/scheduler.hpp"

#include <algorithm>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "round.hpp"

using namespace mustardwick::policy;

namespace
{

const std::vector<std::string> domains = {"a", "b", "c"};
const std::vector<std::string> teams = {"x", "y", "z"};

/// @brief A cell driven by random operations; checks its invariants after each
/// round.
class random_cell
{
public:
    explicit random_cell(bool await_stops)
    {
        limits_.await_stops = await_stops;
        limits_.max_placements = 20;
        // Keeps jobs from being held back by one at the team's limit.
        limits_.limit_hold_delay = milliseconds(1'000'000'000);
        for (int i = 0; i < 9; ++i)
            set_host(i, true);
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 10))
        {
        case 0:
        case 1:
        case 2:
            return add_job();
        case 3:
        case 4:
            return finish_some();
        case 5:
            return set_host(*rc::gen::inRange(0, 9), false);
        case 6:
            return set_host(*rc::gen::inRange(0, 9), true);
        case 7:
            return cancel_or_lose();
        case 8:
            return remove_host("h" + std::to_string(*rc::gen::inRange(0, 9)));
        default:
            return set_limit();
        }
    }

    /// @brief Plans a round and checks the invariants.
    void plan_and_check()
    {
        now_ += milliseconds(*rc::gen::inRange(1, 5000));
        plan_and_check_at(now_);
    }

    /// @brief Opens all hosts and lifts all limits; every job must then run and
    /// finish.
    void drain()
    {
        for (int i = 0; i < 9; ++i)
            set_host(i, true);
        for (const auto& team : teams)
            state_.set_team({team, 1, {-1, -1, -1}});
        for (int i = 0; i < 400 && unfinished() > 0; ++i)
        {
            now_ += milliseconds(1000);
            plan_and_check_at(now_);
            confirm_stops();
            finish_oldest();
        }
        RC_ASSERT(unfinished() == 0);
    }

    void confirm_stops()
    {
        for (const auto& id : stopping_)
            state_.stop(id, false);
        stopping_.clear();
    }

private:
    void set_host(int i, bool accepts)
    {
        state_.set_host({"h" + std::to_string(i),
                         domains[i % 3],
                         "r" + std::to_string(i % 2),
                         {8000, 8000, i < 2 ? 4 : 0},
                         accepts});
    }

    /// @brief Removes a host; its tasks become pending again.
    void remove_host(const std::string& name)
    {
        const bool tasks_first = *rc::gen::arbitrary<bool>();
        if (!tasks_first)
            state_.remove_host(name);
        for (const auto& id : running())
            if (state_.find_running(id)->host == name)
                state_.stop(id, false);
        state_.remove_host(name);
    }

    void add_job()
    {
        job it;
        it.id = "j" + std::to_string(jobs_++);
        it.team = *rc::gen::elementOf(teams);
        it.kind = work_kind(*rc::gen::inRange(0, 3));
        it.priority = priority_class(*rc::gen::inRange(0, 3));
        it.size = {*rc::gen::inRange(0, 8500), *rc::gen::inRange(0, 8500),
                   *rc::gen::elementOf(std::vector<int>{0, 0, 0, 1, 4})};
        it.tasks = *rc::gen::inRange(1, 8);
        it.run_time = milliseconds(*rc::gen::inRange(0, 20'000));
        it.submitted = now_;
        state_.add_job(it);
    }

    std::vector<task_id> running() const
    {
        std::vector<task_id> found;
        for (const auto& [id, task] : state_.running())
            found.push_back(id);
        return found;
    }

    void finish_some()
    {
        for (const auto& id : running())
            if (*rc::gen::inRange(0, 3) == 0)
                state_.stop(id, true);
    }

    void finish_oldest()
    {
        auto tasks = running();
        std::ranges::sort(tasks, {},
                          [&](const task_id& id)
                          {
                              return state_.find_running(id)->started;
                          });
        for (std::size_t i = 0; i < (tasks.size() + 1) / 2; ++i)
            state_.stop(tasks[i], true);
    }

    void cancel_or_lose()
    {
        const auto tasks = running();
        if (tasks.empty())
            return;
        const auto id = *rc::gen::elementOf(tasks);
        if (*rc::gen::arbitrary<bool>())
            state_.remove_job(id.job);
        else
            state_.stop(id, false);
    }

    void set_limit()
    {
        const std::int64_t limit = *rc::gen::inRange(-1, 40'000);
        state_.set_team({*rc::gen::elementOf(teams), 1, {limit, -1, -1}});
    }

    int unfinished() const
    {
        int n = int(state_.running().size());
        for (const auto& [id, job] : state_.jobs())
            if (!rejected_.contains(id))
                n += state_.pending(id);
        return n;
    }

    void plan_and_check_at(steady_time now)
    {
        std::map<std::string, int> before;
        for (const auto& [id, job] : state_.jobs())
            before[id] = state_.pending(id);
        const auto was_running = state_.running();
        const auto* holder = state_.internals().reservation.job;
        const auto plan = plan_round(state_, now, limits_);
        // An urgent job that takes over the reservation at the end of a round
        // frees the previously reserved space, which only the next round
        // assigns.
        const bool replaced = holder != nullptr &&
                              state_.internals().reservation.job != nullptr &&
                              state_.internals().reservation.job != holder;
        for (const auto& it : plan.rejections)
            rejected_.insert(it.job);
        for (const auto& it : plan.removals)
            if (limits_.await_stops)
                stopping_.insert(it.id);
        check_placements(plan, was_running);
        check_capacity();
        check_claims();
        check_gangs(plan, before);
        check_limits(plan);
        if (!replaced)
            check_no_idle_space(plan);
    }

    void check_placements(const plan& made,
                          const std::map<task_id, running_task>& was_running)
    {
        std::set<task_id> seen;
        for (const auto& it : made.placements)
        {
            RC_ASSERT(seen.insert(it.id).second);
            RC_ASSERT(!was_running.contains(it.id));
            RC_ASSERT(state_.find_host(it.host)->accepts_work);
        }
        for (const auto& it : made.removals)
            RC_ASSERT(!seen.contains(it.id));
    }

    /// @brief Checks that claims on a host are neither lost nor counted twice.
    void check_claims()
    {
        std::map<int, resources> claimed;
        for (const auto& [id, claim] : state_.internals().claims)
            claimed[claim.slot] += claim.size;
        const auto& slots = state_.internals().slots;
        for (int i = 0; i < int(slots.size()); ++i)
            RC_ASSERT(slots[i].value == nullptr ||
                      slots[i].claimed == claimed[i]);
    }

    void check_capacity()
    {
        std::map<std::string, resources> sums;
        for (const auto& [id, task] : state_.running())
            sums[task.host] += state_.find_job(id.job)->size;
        for (const auto& [name, sum] : sums)
        {
            RC_ASSERT(sum == state_.used(name));
            RC_ASSERT(sum.fits_in(state_.find_host(name)->capacity));
        }
    }

    void check_gangs(const plan& made, const std::map<std::string, int>& before)
    {
        std::set<std::string> placed;
        for (const auto& it : made.placements)
            placed.insert(it.id.job);
        for (const auto& [id, job] : state_.jobs())
            if (job.kind == work_kind::gang && placed.contains(id))
                RC_ASSERT(state_.pending(id) == 0 || before.at(id) == 0);
    }

    void check_limits(const plan& made)
    {
        std::set<std::string> placed;
        for (const auto& it : made.placements)
            placed.insert(state_.find_job(it.id.job)->team);
        for (const auto& team : placed)
        {
            const auto limit = state_.team_of(team).limit.millicpus;
            const auto used = state_.used_by_team(team).millicpus;
            RC_ASSERT(limit < 0 || used <= limit);
        }
    }

    /// @brief Checks by exhaustive search that no waiting job fits on any host.
    void check_no_idle_space(const plan& made)
    {
        // A removal may bring a team below its limit after its turn; the next
        // round then starts its waiting jobs.
        std::set<std::string> removed;
        std::set<std::string> removed_teams;
        for (const auto& it : made.removals)
        {
            removed.insert(it.id.job);
            removed_teams.insert(state_.find_job(it.id.job)->team);
        }
        if (int(made.placements.size()) >= limits_.max_placements)
            return;
        for (const auto& [id, entry] : state_.internals().entries)
        {
            const bool gang = entry.value->kind == work_kind::gang;
            const auto* holder = state_.internals().reservation.job;
            if (entry.team->has_limit() &&
                removed_teams.contains(entry.value->team))
                continue;
            if (!entry.queued || gang || holder == &entry ||
                removed.contains(std::string(id)) || !within_team_limit(entry))
                continue;
            for (const auto& slot : state_.internals().slots)
                RC_ASSERT(!slot.open() || !entry.value->size.fits_in(
                                              at_least_zero(slot.free())));
        }
    }

    cell state_;
    round_limits limits_;
    steady_time now_{};
    int jobs_ = 0;
    std::set<std::string> rejected_;
    std::set<task_id> stopping_;
};

bool invariants_hold(bool await_stops)
{
    return rc::check("planning keeps the invariants",
                     [&]
                     {
                         random_cell it(await_stops);
                         const int steps = *rc::gen::inRange(1, 60);
                         for (int i = 0; i < steps; ++i)
                         {
                             it.step();
                             it.plan_and_check();
                             if (*rc::gen::arbitrary<bool>())
                                 it.confirm_stops();
                         }
                         it.drain();
                     });
}

} // namespace

// Guards against overcommitted hosts, exceeded limits, partly started gangs,
// tasks on two hosts and jobs that never start.
Test(scheduler_property, invariants_hold_with_immediate_stops)
{
    cr_assert(invariants_hold(false));
}

// Guards against the same faults when stops are confirmed asynchronously.
Test(scheduler_property, invariants_hold_while_stops_are_awaited)
{
    cr_assert(invariants_hold(true));
}
