#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/dispatch/host_access.hpp"
#include "mustardwick/dispatch/host_state.hpp"
#include "mustardwick/dispatch/orders.hpp"
#include "mustardwick/jobs/configuration.hpp"
#include "mustardwick/jobs/record.hpp"
#include "mustardwick/policy/advice_plan.hpp"
#include "mustardwick/policy/worker_speed.hpp"

namespace mustardwick::dispatch
{

/// @brief Why no task of a ready step has started in the last round.
enum class hold_reason
{
    account_at_maximum,
    /// In favour of steps of a higher value class.
    deferred,
    /// More urgent gang steps wait for all capacity that can be planned ahead.
    behind_planned_steps,
    waiting_for_advice,
    /// No ticket is valid, and no query can be sent.
    no_free_channel,
    /// Its tasks would be in time only if they started together.
    kept_for_whole_start,
    /// The hosts that it may use have too little free capacity.
    without_capacity,
    /// The order of an earlier run of each task may still be carried out.
    order_outstanding
};

/// @brief Order to start a run that was not answered and may still be carried
/// out, by whichever incarnation of the worker.
///
/// Until it is settled, the task does not start again: the run may begin beside
/// a later one, or after that one has succeeded. A task that lasts does not end
/// by itself, so that it may start on the same worker, with the same run
/// number.
struct outstanding_order
{
    std::string worker;
    /// It takes no effect after this time.
    base::steady_time until;
    /// Lower bound of the version of the row that names the assignment.
    std::int64_t stored_in = 0;
    /// A former leader may have sent it, and may have had an answer.
    bool is_inherited = false;
    /// The worker has refused the run number since.
    bool was_refused = false;
};

/// @brief A ready step of which no task has started for a while.
struct held_step
{
    base::steady_time since;
    hold_reason reason{};
    /// It is not logged again before this time.
    base::steady_time next_log;
};

/// @brief State of one step of one occurrence that is only kept in memory.
struct step_run
{
    host_access access;
    /// Hosts by index on which a task of the step failed, or that rejected one
    /// of its orders, with the time at which the step may use them again.
    std::map<std::size_t, base::steady_time> failed_on;
    /// By index of the task.
    std::map<int, outstanding_order> outstanding;
    /// Latest expiry of the tickets.
    base::steady_time tickets_until;
    /// Advice queries in flight.
    int open_queries = 0;
    /// Since when a query is to be sent but finds no channel.
    std::optional<base::steady_time> channel_wanted_since;
    /// No query is sent before this time.
    base::steady_time next_query;
    /// Preempted capacity is kept for the step until this time.
    base::steady_time preempting_until;
    /// Run of a gang step that a member has ended with a checkpoint, which is
    /// newer than those that are known of lost members.
    int checkpoint_run = 0;
    /// No task of the step is started again before this time.
    base::steady_time not_before;
    /// Run times of the tasks that have ended.
    policy::estimate_baseline run_times;
    /// Since when no host has been able to take any of the waiting tasks.
    std::optional<base::steady_time> blocked_since;
    std::optional<held_step> held;
};

/// @brief An applied end of a run whose effect is not yet committed.
struct uncommitted_end
{
    std::string worker;
    std::int64_t worker_incarnation_start_ms = 0;
    std::int64_t number = 0;
};

/// @brief A caller that waits for a change to be committed.
struct pending_reply
{
    std::function<void()> done;
    /// Called when the job is dropped before it was sent to the store.
    std::function<void()> refused;
};

/// @brief Configuration of a job, looked up again when the configuration
/// changes.
struct job_context
{
    std::uint64_t configuration_serial = 0;
    /// Null while the queue is not known.
    const jobs::queue* queue = nullptr;
    bool is_unrouted = false;
    /// Null when the account is not configured.
    const policy::resources* maximum = nullptr;
    account_usage* usage = nullptr;
    std::int64_t objective_ms = 0;
    /// Learned ratio of run times to estimates of the queue.
    double estimate_factor = 1.0;
    /// Expected duration of an advice query; 0 when the queue needs none.
    std::int64_t advice_ms = 0;
};

/// @brief A job, its durable record, and the effects that wait for the record's
/// commit.
struct job_run
{
    jobs::job specification;
    jobs::job_record record;
    /// By position in record.open, then by step.
    std::vector<std::vector<step_run>> steps;
    /// Position in the order of arrival at this planner. It tells a job from a
    /// dropped one whose id was submitted again.
    std::uint64_t number = 0;
    base::steady_time arrived;
    /// State reported to callers; it changes only when a commit is done.
    jobs::job_state reported_state = jobs::job_state::queued;
    /// The specification is part of a completed commit or of one in flight.
    bool specification_stored = false;
    /// The rows exist in the store.
    bool durable = false;
    /// Some state of the job is part of a transaction that may still be carried
    /// out.
    bool in_flight = false;
    /// The tasks are stored in blocks, because one row cannot hold them.
    bool split = false;
    /// Blocks that the store holds, by name, with the value that was written
    /// last; empty when it is not known.
    std::map<std::string, std::string, std::less<>> stored_blocks;
    /// The store rejected the job's rows; they are sent again, alone, at this
    /// time.
    std::optional<base::steady_time> rejected_until;
    std::chrono::milliseconds rejection_backoff{0};
    /// Number of runs that occupy capacity on workers.
    int runs = 0;
    /// A worker has started at least one of its tasks.
    bool has_started = false;
    bool dirty = false;
    job_context context;
    /// Expected run time in milliseconds of the longest chain of unfinished
    /// steps; negative while not computed.
    std::int64_t remaining_chain_ms = -1;
    bool removed = false;
    /// The job can earn nothing any more; while other work waits for its
    /// service, its steps are not looked at before this time.
    base::steady_time parked_until;
    /// It was logged that the next occurrence is due but not opened.
    bool is_behind = false;
    /// Effects that are released once the record is durable.
    std::vector<start_order> starts;
    std::vector<uncommitted_end> ends;
    std::vector<pending_reply> replies;
};

} // namespace mustardwick::dispatch
