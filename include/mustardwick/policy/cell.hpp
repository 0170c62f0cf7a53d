#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

class usage_history;

/// @brief The planner's view of hosts, teams, jobs and running tasks.
///
/// The cell only holds state: it makes no scheduling decision and reads no
/// clock. All amounts are declared sizes, and used() counts each task once.
class cell
{
public:
    /// @brief Adds or replaces a host; its running tasks are kept.
    void set_host(const host& value);

    /// @brief Removes a host. Its tasks count as running until stop(), because
    /// only the caller knows when they can no longer run.
    void remove_host(std::string_view name);
    void set_team(const team& value);

    /// @brief Adds a job with all of its tasks pending. Returns false when the
    /// job is already known.
    bool add_job(const job& value);

    /// @brief Removes a job with its pending and running tasks.
    void remove_job(std::string_view id);

    /// @brief Starts a pending task on a host. Returns false when the task is
    /// not pending.
    ///
    /// The host may be unknown, so that a new planner can restore tasks whose
    /// host was removed while they ran.
    bool start(const task_id& id, std::string_view host, steady_time now);

    /// @brief Releases a running task's resources. A finished task is removed,
    /// any other becomes pending again. Returns false when the task is not
    /// running.
    bool stop(const task_id& id, bool finished);

    /// @brief Marks a pending task as finished without running it. Returns
    /// false when the task is not pending.
    bool finish_pending(const task_id& id);

    /// @brief Records that a running task saved a checkpoint.
    void checkpoint(const task_id& id, steady_time time);

    /// @brief Returns the run time and size estimates learned from reported
    /// usage.
    usage_history& usage();

    const host* find_host(std::string_view name) const;
    const job* find_job(std::string_view id) const;
    const team& team_of(std::string_view name) const;
    const running_task* find_running(const task_id& id) const;

    /// @brief Returns the resources that running tasks hold on a host.
    resources used(std::string_view host) const;
    resources used_by_team(std::string_view team) const;
    resources total_capacity() const;

    /// @brief Returns the number of pending tasks of a job.
    int pending(std::string_view job) const;

    const std::map<std::string, host, std::less<>>& hosts() const;
    const std::map<std::string, job, std::less<>>& jobs() const;
    const std::map<task_id, running_task>& running() const;

    struct state;
    cell();
    ~cell();
    cell(cell&&) noexcept;
    cell& operator=(cell&&) noexcept;

    /// @brief Internal indexes for the scheduling policies.
    state& internals();
    const state& internals() const;

private:
    std::unique_ptr<state> state_;
};

} // namespace mustardwick::policy
