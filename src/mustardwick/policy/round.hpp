#pragma once

#include <optional>
#include <set>
#include <vector>

#include "mustardwick/policy/scheduler.hpp"

#include "cell_state.hpp"

namespace mustardwick::policy
{

/// @brief Caches the free space of the hosts on which it grew after version
/// `since` of the space log.
///
/// The cache is valid while the log is at version `until` and the round has
/// made `placements` placements.
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
    /// Jobs with tasks removed in this round; these are not placed before the
    /// next one.
    std::set<const job_entry*> removed;
    /// Teams whose jobs are held back by a job that waits at the team's limit.
    std::set<const team_entry*> blocked_teams;
    /// Number of attempts to place jobs on reserved hosts.
    int backfill_attempts = 0;
    grown_space_cache grown;

    bool full() const
    {
        return int(result.placements.size()) >= limits.max_placements;
    }

    /// @brief Returns whether more jobs may be tried on reserved hosts.
    bool may_backfill() const;

    /// @brief Starts a pending task on a host and adds the placement to the
    /// plan.
    void place(job_entry& work, int index, int slot);

    /// @brief Starts the first pending task without a claim on a host.
    void place_first(job_entry& work, int slot);

    /// @brief Removes a running task; a gang is removed whole.
    void remove(job_entry& work, int index, removal_reason reason);

    /// @brief Returns whether n more removals are allowed in this round. The
    /// first removal of a round is always allowed, so that a large gang can be
    /// removed.
    bool may_remove(int n) const;
};

/// @brief Rejects new jobs that could not run even in an empty cell.
void reject_impossible(round& it);

/// @brief Admits returning hosts at a bounded rate.
void admit_returning(round& it);

/// @brief Starts tasks whose claimed resources have become free.
void place_claimed(round& it);

/// @brief Preempts the cheapest victims for an urgent job, then starts it or
/// claims the freed resources. Returns false when it would not fit even so or
/// the round does not allow the removals.
bool preempt_for(round& it, job_entry& work);

/// @brief Moves tasks off leaving hosts at a bounded rate.
void drain_leaving_hosts(round& it);

/// @brief Starts the job with the reservation once it fits.
void place_reserved_job(round& it);

/// @brief Reserves hosts for the first job that has waited long enough, if none
/// are reserved or an urgent job takes over.
void reserve_for_blocked(round& it);

/// @brief Returns a reserved host on which a task is expected to end before the
/// reserved start, or std::nullopt.
std::optional<int> choose_backfill(round& it, const job_entry& work);

/// @brief Returns the work lost by stopping a task: milliseconds since its
/// start or last checkpoint, weighted by its size.
double lost_work(const round& it, const host_task& task);

/// @brief Returns whether the next tasks of a job stay within the team's limit.
bool within_team_limit(const job_entry& work);

} // namespace mustardwick::policy
