#include "mustardwick/policy/scheduler.hpp"

#include <algorithm>
#include <optional>
#include <queue>

#include "host_choice.hpp"
#include "round.hpp"
#include "space_filter.hpp"

namespace mustardwick::policy
{

namespace
{

/// @brief A team's progress through one priority class in a round.
struct team_turn
{
    double share = 0;
    team_entry* team = nullptr;
    /// Place up to which no job fitted in this round.
    std::optional<queue_place> passed;
    /// Version of the space log when the first job was tried.
    std::uint64_t start_version = 0;
    /// False when a job was skipped for another reason than lack of space.
    bool all_tried = true;

    /// Orders the team with the lowest weighted share first in a priority
    /// queue.
    bool operator<(const team_turn& other) const
    {
        return std::tie(share, team->value.name) >
               std::tie(other.share, other.team->value.name);
    }
};

double weighted_share(const cell::state& state, const team_entry& team)
{
    const auto weight = std::max<std::int64_t>(team.value.share, 1);
    return dominant_share(team.used, state.capacity) / double(weight);
}

/// @brief Starts all pending tasks of a gang, or none when they do not fit.
bool place_gang(round& it, job_entry& work)
{
    const auto size = work.value->size;
    const int units = int(work.pending.size());
    if (!fits_together(it.state, size, units))
        return false;
    for (int i = 0; i < units; ++i)
        it.place_first(work, *choose_best_fit(it.state, size, it.now));
    return true;
}

bool place_one(round& it, job_entry& work)
{
    std::optional<int> slot;
    if (!is_unplaceable(it.state, work.value->size))
    {
        slot = choose_host(it.state, work, it.now);
        if (!slot)
            record_unplaceable(it.state, work.value->size);
    }
    if (!slot)
        slot = choose_backfill(it, work);
    if (!slot)
        return false;
    it.place_first(work, *slot);
    return true;
}

bool place_job(round& it, job_entry& work)
{
    if (work.value->kind != work_kind::gang)
        return place_one(it, work);
    return !is_unplaceable(it.state, work.value->size) && place_gang(it, work);
}

/// @brief Returns whether a team's later jobs have to wait for its first job,
/// because it has waited too long at the team's limit and smaller jobs could
/// starve it.
///
/// A job that exceeds the limit together with the team's running services holds
/// back no other job, because services are not expected to end.
bool blocks_at_limit(const round& it, const job_queue& queue)
{
    const auto& work = *queue.heads().first().place.job;
    if (it.now - work.value->submitted < it.limits.limit_hold_delay ||
        within_team_limit(work))
        return false;
    const auto wanted = times(work.shape.size, work.shape.units);
    return within_limit(work.team->used_by_services + wanted,
                        work.team->value.limit);
}

bool try_job(round& it, job_entry& work)
{
    if (!within_team_limit(work))
        return false;
    if (place_job(it, work))
        return true;
    return it.limits.preempt &&
           work.value->priority == priority_class::urgent &&
           preempt_for(it, work);
}

/// @brief Returns the next job of a team that could fit, or nullptr.
const queue_head* next_job(round& it, const team_turn& turn,
                           priority_class priority)
{
    const auto& team = *turn.team;
    const auto& queue = team.queues[int(priority)];
    auto from = turn.passed;
    // Urgent jobs are always tried, because preemption needs no new free space.
    const auto& tried = queue.failed_until();
    if (tried && priority != priority_class::urgent &&
        (!from || *from < *tried))
    {
        const auto filter = filter_grown(it, team, queue.failed_at());
        if (const auto* found = queue.heads().find(from, tried, filter))
            return found;
        from = tried;
    }
    return queue.heads().find(from, std::nullopt,
                              filter_anywhere(it, team, priority));
}

/// @brief Records that no remaining job of the queue fits.
void end_turn(const team_turn& turn, priority_class priority)
{
    auto& queue = turn.team->queues[int(priority)];
    if (!turn.all_tried || queue.heads().empty())
        return queue.clear_failed();
    queue.record_failed(queue.heads().last().place, turn.start_version);
}

/// @brief Starts the next task or gang of a team. Returns false when none of
/// its jobs fits.
bool take_turn(round& it, team_turn& turn, priority_class priority)
{
    while (const auto* head = next_job(it, turn, priority))
    {
        const auto place = head->place;
        if (it.removed.contains(place.job))
            turn.all_tried = false;
        else if (try_job(it, *place.job))
            return true;
        turn.passed = place;
    }
    end_turn(turn, priority);
    return false;
}

void plan_class(round& it, priority_class priority)
{
    std::priority_queue<team_turn> turns;
    for (auto& [name, team] : it.state.teams)
    {
        const auto& queue = team.queues[int(priority)];
        if (queue.heads().empty() || it.blocked_teams.contains(&team))
            continue;
        if (blocks_at_limit(it, queue))
            it.blocked_teams.insert(&team);
        else
            turns.push({weighted_share(it.state, team),
                        &team,
                        {},
                        it.state.space_log.version(),
                        true});
    }
    while (!turns.empty() && !it.full())
    {
        auto turn = turns.top();
        turns.pop();
        if (!take_turn(it, turn, priority))
            continue;
        turn.share = weighted_share(it.state, *turn.team);
        turns.push(turn);
    }
}

} // namespace

void round::place(job_entry& work, int index, int slot)
{
    const task_id id{work.value->id, index};
    const auto& name = state.slots[slot].name;
    owner.start(id, name, now);
    result.placements.push_back({id, name});
}

void round::place_first(job_entry& work, int slot)
{
    const auto index =
        std::ranges::find_if(work.pending,
                             [&](int i)
                             {
                                 return !work.claimed.contains(i);
                             });
    place(work, *index, slot);
}

void round::remove(job_entry& work, int index, removal_reason reason)
{
    const bool gang = work.value->kind == work_kind::gang;
    const auto indexes = gang ? work.running : std::set{index};
    for (const auto i : indexes)
    {
        const task_id id{work.value->id, i};
        result.removals.push_back({id, state.running.at(id).host, reason});
        if (limits.await_stops)
            state.mark_stopping(id);
        else
            owner.stop(id, false);
    }
    removed.insert(&work);
}

bool round::may_remove(int n) const
{
    const auto removals = int(result.removals.size());
    return removals + n <= limits.max_removals || removals == 0;
}

bool within_team_limit(const job_entry& work)
{
    const auto wanted = times(work.shape.size, work.shape.units);
    return within_limit(work.team->used + wanted, work.team->value.limit);
}

plan plan_round(cell& state, steady_time now, const round_limits& limits)
{
    round it{state, state.internals(), now, limits, {}, {}, {}, 0, {}};
    ++it.state.round;
    it.state.rebuild_topology();
    admit_returning(it);
    reject_impossible(it);
    place_claimed(it);
    place_reserved_job(it);
    drain_leaving_hosts(it);
    plan_class(it, priority_class::urgent);
    plan_class(it, priority_class::normal);
    plan_class(it, priority_class::best_effort);
    reserve_for_blocked(it);
    return std::move(it.result);
}

} // namespace mustardwick::policy
