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
#include "mustardwick/policy/scheduler.hpp"
#include "mustardwick/ports/table.hpp"
#include "mustardwick/ports/worker.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

using host_counts = std::map<std::string, std::int64_t, std::less<>>;

/// @brief What must be committed, and what may be done once it is.
struct job_changes
{
    std::map<std::string, std::string> puts;
    std::set<std::string> deletes;
    std::map<std::string, ports::task_orders> orders;
    /// The lease under which the orders of a host were decided.
    std::map<std::string, std::string> leases;
    std::vector<wire::recorded_attempt> recorded;
    /// Time line entries: kind, subject and detail.
    std::vector<std::array<std::string, 3>> events;

    bool has_rows() const
    {
        return !puts.empty() || !deletes.empty();
    }
};

/// @brief The planner's jobs and tasks, without I/O.
///
/// Each transition changes the state at once and adds to the changes. The
/// caller commits the rows before it delivers orders or acknowledges reports,
/// and drops the whole book when the commit finds that the duty was lost.
class job_tracker
{
public:
    using id_function = std::function<std::string()>;

    job_tracker(const base::clock& time, id_function new_attempt_id);

    /// @brief Restores the state from the rows of the table.
    void load(std::span<const ports::row> jobs,
              std::span<const ports::row> tasks);

    /// @brief Brings hosts and teams in line with the configuration.
    void configure(const configuration& config);

    /// @brief Hosts that leave keep their tasks and get no new ones.
    void update_leaving_hosts(
        const std::function<bool(const std::string&)>& is_leaving);

    void add_job(const job_record& value);
    void cancel_job(std::string_view id);

    /// @brief Applies what workers reported.
    void apply(const wire::task_events& events);

    /// @brief Notes the orders that a worker has confirmed.
    void confirm(const std::string& host, const wire::deliver_answer& answer);

    /// @brief Decides one round of placements.
    void plan(const policy::round_limits& limits = {});

    /// @brief Orders again what has not been confirmed for a while.
    void redeliver(base::milliseconds age);

    /// @brief Changes since the last call.
    job_changes take_changes();

    /// @brief True when the attempt's end is recorded or it never existed.
    bool is_ended(const std::string& attempt) const;

    std::size_t queued_tasks() const;
    std::size_t placed_tasks() const;

    /// @brief Placed tasks of each host that has some.
    const host_counts& placed_per_host() const
    {
        return placed_per_host_;
    }

private:
    struct task
    {
        task_record record;
        bool confirmed = false;
        /// True when the table has a row of the task.
        bool persisted = false;
        bool stopping = false;
        base::steady_time ordered_at;
    };

    struct job
    {
        job_record record;
        std::vector<task> tasks;
    };

    struct host_status
    {
        bool declared = false;
        bool in_service = false;
        bool reported_open = false;
        /// The platform lists the host as leaving.
        bool leaving = false;
        std::string lease;
        int consecutive_failures = 0;
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
    void record_host_failure(const std::string& host);
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
    std::deque<std::string> ended_jobs_;
    job_changes changes_;
};

} // namespace mustardwick::coordination
