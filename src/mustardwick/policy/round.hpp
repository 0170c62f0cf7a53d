#pragma once

#include <optional>
#include <set>
#include <vector>

#include "mustardwick/policy/scheduler.hpp"

#include "cell_state.hpp"

namespace mustardwick::policy
{

/// @brief The spaces that appeared since a number of the growth log, as they
/// are at another number and after some placements.
struct grown_space_cache
{
    std::uint64_t since = 0;
    std::uint64_t until = 0;
    std::size_t placements = 0;
    std::vector<resources> spaces;
};

/// @brief One planning round in progress.
struct round
{
    cell& owner;
    cell::state& state;
    steady_time now;
    const round_limits& limits;
    plan result;
    /// Jobs with tasks removed in this round; they wait for the next one.
    std::set<const job_entry*> removed;
    /// Teams whose later jobs wait for a job at the team's limit.
    std::set<const team_entry*> blocked_teams;
    /// Attempts to use reserved hosts, which are bounded.
    int backfill_attempts = 0;
    grown_space_cache grown;

    bool full() const
    {
        return int(result.placements.size()) >= limits.max_placements;
    }

    /// @brief True while jobs may still be tried on reserved hosts.
    bool may_backfill() const;

    /// @brief Starts a pending task on a host and notes it in the plan.
    void place(job_entry& work, int index, int slot);

    /// @brief Starts the first pending task of a job on a host.
    void place_first(job_entry& work, int slot);

    /// @brief Removes a running task; a gang is removed whole.
    void remove(job_entry& work, int index, removal_reason reason);

    /// @brief Tells whether n more removals are allowed in this round.
    bool may_remove(int n) const;
};

/// @brief Rejects new jobs that could not run even in an empty cell.
void reject_impossible(round& it);

/// @brief Lets hosts that came back take work at a bounded rate.
void admit_returning(round& it);

/// @brief Starts tasks whose claimed place has become free.
void place_claimed(round& it);

/// @brief Stops the work that loses least where that makes space for an urgent
/// job, and starts it or claims its place.
bool preempt_for(round& it, job_entry& work);

/// @brief Moves tasks off hosts that leave, at a bounded rate.
void drain_leaving_hosts(round& it);

/// @brief Starts the job that has the reservation once it fits.
void place_reserved_job(round& it);

/// @brief Reserves hosts for the first job that found no space.
void reserve_for_blocked(round& it);

/// @brief A reserved host on which a task ends before the reserved start.
std::optional<int> choose_backfill(round& it, const job_entry& work);

/// @brief Work lost by stopping a task: time since its checkpoint times size.
double lost_work(const round& it, const host_task& task);

/// @brief True when the team may use an amount more.
bool within_team_limit(const job_entry& work);

} // namespace mustardwick::policy
