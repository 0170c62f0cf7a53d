#pragma once

#include "mustardwick/policy/cell.hpp"
#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

/// @brief Bounds of one planning round.
struct round_limits
{
    int max_placements = 256;
    int max_removals = 64;
    /// Time between two hosts that take work again after they were out.
    milliseconds return_interval{50};
    /// Time between two tasks that are moved off hosts that leave.
    milliseconds move_interval{20};
    /// How long tasks that are no services may stay on a host that leaves.
    /// Many end in that time, and a move would lose what is not checkpointed.
    milliseconds drain_timeout{30'000};
    /// How long a single task waits before hosts are reserved for it.
    milliseconds reserve_after{10'000};
    /// How long a job waits at its team's limit before the team's later jobs
    /// of the same or a lower class wait behind it.
    milliseconds limit_hold_delay{60'000};
    /// A removed task keeps its resources, and stays in cell::running(), until
    /// cell::stop() confirms it. Otherwise the cell reflects it at once.
    bool await_stops = false;
    /// Urgent work stops other work when it finds no space.
    bool preempt = true;
    /// Hosts are reserved for gangs and for long waiting tasks.
    bool reserve = true;
    /// Tasks are moved off hosts that leave.
    bool move = true;
};

/// @brief Decides one round with the default policies.
///
/// The cell already reflects the returned placements and removals, so that the
/// caller must undo with cell::stop() a placement it could not commit. A task
/// that a round removes is never placed in the same round. Without await_stops
/// a placement may use the space of a removal on the same host, and the removed
/// task may be placed in the next round: the caller then has to deliver stops
/// first and wait for them. A gang is never split, so one gang may exceed
/// max_placements or max_removals.
plan plan_round(cell& state, steady_time now, const round_limits& limits = {});

} // namespace mustardwick::policy
