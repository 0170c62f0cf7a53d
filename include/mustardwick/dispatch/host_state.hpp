#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/jobs/worker.hpp"
#include "mustardwick/policy/interference.hpp"
#include "mustardwick/policy/share_bucket.hpp"
#include "mustardwick/policy/surplus_admission.hpp"

namespace mustardwick::dispatch
{

/// @brief Progress of a run, as known to the planner.
enum class run_phase
{
    /// The assignment is not durable yet.
    recording,
    /// The start order was sent; its reply is pending or was lost.
    ordered,
    /// Assigned by a former leader; no report of its worker has confirmed it
    /// yet.
    inherited,
    started,
    stopping
};

/// A long-running task that has run for this time has shown that its host
/// works; it fails by itself later.
inline constexpr std::chrono::milliseconds healthy_run_time{2000};

using run_key = std::pair<jobs::task_key, int>;

/// @brief A run that occupies capacity on a worker.
struct running
{
    jobs::task_key task;
    int run = 0;
    policy::resources size;
    std::string account;
    /// Bound on the tail latency of a task that serves users; 0 for others.
    std::int64_t target_ms = 0;
    /// Tail latency in the last report, in milliseconds, if the task serves
    /// users.
    std::int64_t tail_ms = 0;
    /// See planner::kind_id_of.
    policy::interference::kind_id kind = policy::interference::unknown_kind;
    base::steady_time next_tail_sample;
    /// Uses only CPU time that other tasks leave idle.
    bool uses_idle_cpu = false;
    /// Runs until its job is cancelled.
    bool long_running = false;

    bool is_latency_sensitive() const
    {
        return target_ms > 0;
    }

    run_phase phase = run_phase::recording;
    /// Number of the last report of its host that listed the run.
    std::uint64_t listed_in = 0;
    /// The worker accepted the start or reported the run.
    bool confirmed = false;
    /// Worker clock reading after which an unanswered start order has no
    /// effect; 0 while no order was sent.
    std::int64_t order_expiry_ms = 0;
    /// When the order was sent, unless a former leader sent it.
    std::optional<base::steady_time> ordered;
    /// Until when an incarnation of the worker may carry the order out, while
    /// its effect is not known: it was not answered, or the answer may be that
    /// of another incarnation than was meant. Empty for an order with a ticket,
    /// which holds for one incarnation.
    std::optional<base::steady_time> outstanding_until;
    /// Lower bound of the version of the row that names the assignment.
    std::int64_t stored_in = 0;
    /// Worker clock reading when the start was accepted.
    std::int64_t started_clock_ms = 0;
    base::steady_time started;
    std::string checkpoint;
    base::steady_time stop_sent;
    /// Worker clock reading when a stop was accepted, after which the run
    /// cannot start; 0 while none was accepted.
    std::int64_t stopped_clock_ms = 0;
};

/// @brief State of one worker, as known to the planner.
struct host_state
{
    /// Position in the planner's list of hosts; never reused.
    std::size_t index = 0;
    jobs::worker_info info;
    /// The worker registry lists it.
    bool listed = false;
    /// It has answered a lease renewal of this leader.
    bool adopted = false;
    /// It answered the last lease renewal.
    bool reachable = false;
    /// Incarnation that reported last, or that a restored run was assigned to;
    /// info holds the one that the registry lists.
    std::int64_t incarnation_start_ms = 0;
    /// Latest reading of the worker's clock and the local time at which it
    /// arrived.
    std::int64_t clock_ms = 0;
    base::steady_time clock_read;
    /// Upper bound of the lease: nothing runs there after this time unless the
    /// lease is renewed.
    base::steady_time lease_bound;
    /// No call of this leader that lengthens a lease is carried out after this
    /// time.
    base::steady_time calls_until;
    /// Until when ends of runs that were given up with their orders
    /// outstanding may be reported.
    base::steady_time lost_orders_until;
    /// When this leader sent the last renewal that lengthened the lease.
    std::optional<base::steady_time> renewed;
    /// When the last report arrived.
    std::optional<base::steady_time> reported;
    /// When the renewal was sent whose answer listed all ends last.
    std::optional<base::steady_time> listed_all;
    /// Times at which outstanding orders cannot take effect any more and that
    /// no renewal has been sent after.
    std::set<base::steady_time> order_bounds;
    /// Runs that were given up because the lease had ended, until the worker
    /// reports again.
    std::map<run_key, base::steady_time> given_up;
    /// Since when it has not answered while runs are assigned to it.
    std::optional<base::steady_time> silent_since;
    /// The store may hold the end of the lease, on which a successor relies: it
    /// must not be lengthened.
    bool lease_is_stored = false;
    /// That end on the store's clock; also one that a former leader stored,
    /// until the worker answers.
    std::optional<std::int64_t> stored_lease_end_ms;
    /// The same of calls_until.
    std::optional<std::int64_t> stored_calls_end_ms;
    /// Highest number of an end that was applied.
    std::int64_t last_applied_end = 0;
    /// Numbers of the applied ends whose effects are not yet committed.
    std::set<std::int64_t> uncommitted_ends;
    std::map<run_key, running> runs;
    /// Number of the last report.
    std::uint64_t report = 0;
    policy::resources used;
    /// Capacity reserved for more urgent steps in this placement round; it may
    /// exceed what is free now.
    policy::resources reserved;
    /// Learned speed relative to the average worker, as of this round.
    double speed = 1.0;
    /// Job whose gang step has an advice query about this host; until
    /// held_until, other jobs prefer other hosts.
    std::string held_for;
    base::steady_time held_until;
    /// Capacity that preemption frees for the job preempted_for; until
    /// preempted_until, no other job uses it.
    policy::resources preempted_capacity;
    std::string preempted_for;
    base::steady_time preempted_until;
    /// No run is assigned here before this time, after a refused order.
    base::steady_time avoid_until;
    /// No run is assigned here before this time, after failed runs.
    base::steady_time quarantined_until;
    /// Failed runs do not exclude the host, because too many others are
    /// excluded.
    bool exempt_from_quarantine = false;

    /// No task that uses idle CPU time starts here beside latency-sensitive
    /// ones before this time, after one of these came close to its target.
    base::steady_time idle_cpu_avoid_until;

    policy::resources free() const
    {
        return info.capacity - used;
    }
};

/// @brief Resources in use and share of a client account.
struct account_usage
{
    policy::resources used;
    /// Of waiting tasks whose orders may still be carried out, in the last
    /// round.
    policy::resources outstanding;
    policy::share_bucket share;
    /// Jobs beyond the share that have not started, in the last round.
    std::size_t waiting_surplus = 0;
    std::optional<policy::surplus_admission> surplus;
    /// Jobs that the account has cancelled before they were submitted.
    std::size_t withdrawn_jobs = 0;
};

} // namespace mustardwick::dispatch
