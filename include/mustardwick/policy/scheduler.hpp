#pragma once

#include "mustardwick/policy/cell.hpp"
#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

/// @brief Limits and switches of one planning round.
struct round_limits
{
    int max_placements = 256;
    int max_removals = 64;
    /// Average time between the admissions of two returning hosts. A jitter of
    /// up to one interval is added.
    milliseconds return_interval{50};
    /// Average time between two moves of tasks off leaving hosts; a few moves
    /// may follow at once after an idle period.
    milliseconds move_interval{20};
    /// How long batch and gang tasks may stay on a leaving host. Many finish
    /// within that time, and a move would lose the work since their last
    /// checkpoint. Afterwards, tasks are stopped even when they fit on no other
    /// host.
    milliseconds drain_timeout{30'000};
    /// How long a job waits before hosts are reserved for it.
    milliseconds reserve_after{10'000};
    /// How long a job waits at its team's limit before it holds back the team's
    /// later jobs of the same or a lower class.
    milliseconds limit_hold_delay{60'000};
    /// When set, a removed task keeps its resources and stays in
    /// cell::running() until cell::stop() confirms the stop. Otherwise it
    /// becomes pending at once.
    bool await_stops = false;
    /// Urgent work preempts other work when it does not fit.
    bool preempt = true;
    /// Hosts are reserved for jobs that have waited for reserve_after.
    bool reserve = true;
    /// Tasks are moved off leaving hosts.
    bool move = true;
};

/// @brief Plans one round with the default policies.
///
/// The cell already reflects the returned placements and removals: the caller
/// must undo a placement that it cannot commit with cell::stop(). A task that a
/// round removes is never placed in the same round. Without await_stops, a
/// placement may use the resources of a task removed from the same host, and
/// the removed task may be placed in the next round, so the caller has to
/// deliver the stops and wait for them first. A gang is never split, so a
/// single gang may exceed max_placements or max_removals.
plan plan_round(cell& state, steady_time now, const round_limits& limits = {});

} // namespace mustardwick::policy
