#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/records.hpp"
#include "mustardwick/coordination/resources.hpp"
#include "mustardwick/policy/cell.hpp"
#include "mustardwick/policy/failure_attribution.hpp"
#include "mustardwick/policy/scheduler.hpp"
#include "mustardwick/ports/table.hpp"
#include "mustardwick/ports/worker.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

/// @brief Number of placed tasks by host; hosts without tasks are omitted.
using host_counts = std::map<std::string, std::int64_t, std::less<>>;

/// @brief Table rows to commit, and the effects allowed after the commit.
struct job_changes
{
    /// Row values by key.
    std::map<std::string, std::string> puts;
    /// Row keys.
    std::set<std::string> deletes;
    /// Start and stop orders by host.
    std::map<std::string, ports::task_orders> orders;
    /// Lease of each host with orders, as last reported; empty when none is
    /// open.
    std::map<std::string, std::string> leases;
    /// Attempts whose end can be acknowledged to the worker.
    std::vector<wire::recorded_attempt> recorded;
    /// Timeline entries: kind, subject and detail.
    std::vector<std::array<std::string, 3>> events;

    bool has_rows() const
    {
        return !puts.empty() || !deletes.empty();
    }
};

/// @brief In-memory state machine of the planner's jobs and tasks.
///
/// Does no I/O. Each transition updates the state immediately and appends to
/// the pending changes. The caller must commit the rows before it delivers
/// orders or acknowledges reports, and must discard the tracker when the
/// commit shows that planner leadership was lost.
class job_tracker
{
public:
    using id_function = std::function<std::string()>;

    job_tracker(const base::clock& time, id_function new_attempt_id);

    /// @brief Restores the state from job and task rows; call once, before any
    /// other function.
    void load(std::span<const ports::row> jobs,
              std::span<const ports::row> tasks);

    /// @brief Applies the hosts and teams of a configuration.
    ///
    /// Hosts that are no longer declared are removed.
    void configure(const configuration& config);

    /// @brief Updates the set of hosts that the platform is about to remove.
    ///
    /// A leaving host keeps its tasks but gets no new ones.
    void update_leaving_hosts(
        const std::function<bool(const std::string&)>& is_leaving);

    /// @brief Queues a job; ignored when its id is already known.
    void add_job(const job_record& value);

    /// @brief Cancels a job and orders its running tasks to stop; ignored when
    /// the job is unknown or has ended.
    void cancel_job(std::string_view id);

    /// @brief Applies the workers' reports on attempts and hosts.
    void apply(const wire::task_events& events);

    /// @brief Records the orders that a worker has confirmed.
    void confirm(const std::string& host, const wire::deliver_answer& answer);

    /// @brief Runs one scheduling round: placements, preemptions and
    /// rejections.
    void plan(const policy::round_limits& limits = {});

    /// @brief Issues unconfirmed orders again once they reach the given age.
    void redeliver(base::milliseconds age);

    /// @brief Returns and clears the changes since the last call.
    job_changes take_changes();

    /// @brief Returns whether the attempt has ended or is unknown.
    bool is_ended(const std::string& attempt) const;

    /// @brief Returns the number of tasks waiting for a host.
    std::size_t queued_tasks() const;

    /// @brief Returns the number of tasks with an attempt that has not ended.
    std::size_t placed_tasks() const;

    /// @brief Returns the number of placed tasks of each host that has any.
    const host_counts& placed_per_host() const
    {
        return placed_per_host_;
    }

private:
    struct task
    {
        task_record record;
        /// The worker has confirmed that the attempt started.
        bool confirmed = false;
        /// The table has a row for the task.
        bool persisted = false;
        bool stopping = false;
        /// Failed attempts that this tracker has seen.
        int failed_runs = 0;
        /// When the last start or stop order was issued.
        base::steady_time ordered_at;
    };

    struct job
    {
        job_record record;
        std::vector<task> tasks;
    };

    struct host_status
    {
        /// The current configuration contains the host.
        bool declared = false;
        bool in_service = false;
        /// The worker reported that it accepts work.
        bool reported_open = false;
        /// The platform is about to remove the host.
        bool leaving = false;
        std::string lease;
        base::steady_time quarantined_until;
        policy::host description;
    };

    void restore_task(const task_record& record);
    void place(const policy::task_id& id, const std::string& host);
    void order_stop(task& target);
    void order_start(const task& target);
    task* find_attempt(const std::string& attempt);
    task* find_task(const policy::task_id& id);
    void apply_attempt(const wire::attempt_report& report);
    void apply_host(const wire::host_report& report,
                    const std::set<std::string>& running);
    void end_task(task& target, const wire::attempt_report& report);
    void finish_task(task& target);
    void requeue_task(task& target);
    void fail_task(task& target, const std::string& detail);
    void add_attempt(const task& target);
    void remove_attempt(task& target);
    void record_host_failure(const std::string& host,
                             const policy::task_id& task, int run);
    /// @brief Returns whether failed tasks suggest that a host is faulty.
    bool is_suspect(const std::string& host) const;
    bool is_quarantined(const std::string& host) const;
    void end_job(job& target, job_state state, const std::string& reason);
    void remove_if_idle(job& target);
    void put_job(const job& target);
    void put_task(task& target);
    void delete_task(const task& target);
    void expedite_redelivery(const std::string& host);
    void update_host(const std::string& name);
    void record_event(std::string_view kind, std::string_view subject,
                      std::string_view detail);

    const base::clock& clock_;
    id_function new_attempt_id_;
    policy::cell cell_;
    std::map<std::string, job, std::less<>> jobs_;
    std::map<std::string, policy::task_id> attempts_;
    host_counts placed_per_host_;
    std::map<std::string, host_status, std::less<>> hosts_;
    policy::failure_attribution<std::string, policy::task_id> failures_;
    std::deque<std::string> ended_jobs_;
    job_changes changes_;
};

} // namespace mustardwick::coordination
