#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/jobs/worker.hpp"
#include "mustardwick/policy/share_bucket.hpp"

namespace mustardwick::dispatch
{

/// @brief How far a run has come, as far as the planner knows.
enum class run_phase
{
    /// The assignment is not durable yet.
    recording,
    /// The order is on its way, or its answer was lost.
    ordered,
    /// A former leader assigned it; the worker has not been asked yet.
    inherited,
    started,
    stopping
};

using run_key = std::pair<jobs::task_key, int>;

/// @brief One run that occupies room on a worker.
struct running
{
    jobs::task_key task;
    int run = 0;
    policy::resources size;
    std::string account;
    /// Serves users and must not be slowed by its neighbours.
    bool latency_sensitive = false;
    /// Uses only what other tasks leave.
    bool uses_idle_cpu = false;
    run_phase phase = run_phase::recording;
    /// The worker accepted it or listed it as running.
    bool confirmed = false;
    /// Worker's clock after which an unanswered order is void.
    std::int64_t order_expiry_ms = 0;
    /// Worker's clock when the start was answered.
    std::int64_t started_clock_ms = 0;
    base::steady_time started;
    std::string checkpoint;
    base::steady_time stop_sent;
    /// Worker's clock when a stop was answered; the run cannot begin later.
    std::int64_t stopped_clock_ms = 0;
};

/// @brief What the planner knows of one worker.
struct host_state
{
    jobs::worker_info info;
    /// The registry lists it.
    bool listed = false;
    /// It answered a renewal of this leader in its present life.
    bool adopted = false;
    /// The last renewal was answered.
    bool reachable = false;
    std::int64_t incarnation_start_ms = 0;
    /// A reading of the worker's clock and when it was received.
    std::int64_t clock_ms = 0;
    base::steady_time clock_read;
    /// Nothing runs there after this time unless the lease is renewed.
    base::steady_time lease_bound;
    /// Highest end that was applied, and ends whose effects are not durable.
    std::int64_t last_applied_end = 0;
    std::set<std::int64_t> uncommitted_ends;
    std::map<run_key, running> runs;
    policy::resources used;
    /// Room that more urgent steps wait for, as of this placement round; it
    /// may be more than what is free now.
    policy::resources reserved;
    /// Failed runs since the last one that finished.
    int failures_in_a_row = 0;
    /// An all-at-once step asks about this host; others go elsewhere first.
    std::string held_for;
    base::steady_time held_until;
    /// Tasks were stopped to make this room for a job; until then no other job
    /// uses it.
    policy::resources preempted_capacity;
    std::string preempted_for;
    base::steady_time preempted_until;
    /// No new work before this time.
    base::steady_time avoid_until;

    policy::resources free() const
    {
        return info.capacity - used;
    }
};

/// @brief What a client account has running.
struct account_usage
{
    policy::resources used;
    policy::share_bucket share;
};

} // namespace mustardwick::dispatch
