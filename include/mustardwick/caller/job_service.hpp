#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mustardwick/coordination/group_commit.hpp"
#include "mustardwick/coordination/records.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::caller
{

/// @brief A job with its tasks, as read from the table.
struct job_status
{
    coordination::job_record job;
    std::vector<coordination::task_record> tasks;
};

struct submit_result
{
    coordination::job_record job;
    /// False when the same id was accepted before.
    bool is_new = true;
};

/// @brief Accepts submitted work and tells its state.
class job_service
{
public:
    /// @brief Wakes the planner after a submission or a cancellation.
    using notify_inbox_function = std::function<void()>;

    job_service(ports::table table, coordination::group_commit& writes,
                notify_inbox_function notify_inbox);

    /// @brief Accepts a job; its id makes a repeated submission harmless.
    std::optional<submit_result> submit(const coordination::job_record& job);

    /// @brief Asks the planner to cancel a job of the team.
    std::optional<job_status> cancel(const std::string& id,
                                     const std::string& team);

    /// @brief Reads a job; operators may read those of all teams.
    std::optional<job_status> status(const std::string& id,
                                     const std::string& team) const;

    std::optional<std::vector<coordination::job_record>>
    list(const std::string& team) const;

private:
    std::optional<coordination::job_record>
    read_job(const std::string& id, const std::string& team) const;

    ports::table table_;
    coordination::group_commit& writes_;
    notify_inbox_function notify_inbox_;
};

/// @brief Reads a job from a submission; errors name field and remedy.
std::optional<coordination::job_record>
parse_submission(std::string_view body, std::vector<std::string>& errors);

} // namespace mustardwick::caller
