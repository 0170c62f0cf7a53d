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
    /// False when a job with this id had been accepted before.
    bool is_new = true;
};

/// @brief Accepts jobs and cancellations, and reads the state of jobs.
class job_service
{
public:
    /// @brief Tells the planner about a submission or a cancellation.
    using notify_inbox_function = std::function<void()>;

    job_service(ports::table table, coordination::group_commit& writes,
                notify_inbox_function notify_inbox);

    /// @brief Accepts a job; a repeated submission returns the stored job.
    ///
    /// error_kind::conflict when another team has a job with this id;
    /// error_kind::timeout when the job may or may not have been accepted.
    std::optional<submit_result> submit(const coordination::job_record& job);

    /// @brief Requests the cancellation of a job of the team.
    ///
    /// A job in a final state is returned unchanged. error_kind::timeout when
    /// the cancellation may or may not have been accepted.
    std::optional<job_status> cancel(const std::string& id,
                                     const std::string& team);

    /// @brief Reads a job with its tasks; operators may read those of all
    /// teams.
    std::optional<job_status> status(const std::string& id,
                                     const std::string& team) const;

    /// @brief Lists the jobs of a team; those of all teams for operators.
    std::optional<std::vector<coordination::job_record>>
    list(const std::string& team) const;

private:
    std::optional<coordination::job_record>
    read_job(const std::string& id, const std::string& team) const;

    ports::table table_;
    coordination::group_commit& writes_;
    notify_inbox_function notify_inbox_;
};

/// @brief Parses a submitted job; each error names the field and the remedy.
std::optional<coordination::job_record>
parse_submission(std::string_view body, std::vector<std::string>& errors);

} // namespace mustardwick::caller
