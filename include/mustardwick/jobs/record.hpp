#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "mustardwick/jobs/job.hpp"

namespace mustardwick::jobs
{

enum class task_state : std::uint8_t
{
    waiting,
    /// A run is assigned to a worker; it may or may not have started.
    assigned,
    done
};

/// @brief Durable state of one task.
struct task_record
{
    task_state state = task_state::waiting;
    /// Number of the last run.
    std::int32_t run = 0;
    std::int32_t failures = 0;
    std::string worker;
    std::int64_t worker_incarnation_start_ms = 0;
    /// Checkpoint that the next run resumes from; empty means none.
    std::string checkpoint;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(state, run, failures, worker, worker_incarnation_start_ms,
           checkpoint);
    }
};

/// @brief Returns whether all tasks of a step have succeeded.
inline bool is_step_done(const std::vector<task_record>& tasks)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const auto& it)
                       {
                           return it.state == task_state::done;
                       });
}

/// @brief Durable state of one occurrence of a job.
struct occurrence_record
{
    std::int64_t number = 0;
    /// By step, then by index.
    std::vector<std::vector<task_record>> tasks;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(number, tasks);
    }
};

/// Value of job_record::occurrences_opened that marks a withdrawn job.
inline constexpr std::int64_t never_submitted = -1;

/// @brief Durable progress of one job.
struct job_record
{
    job_state state = job_state::queued;
    /// Occurrences below this number were opened.
    std::int64_t occurrences_opened = 0;
    /// Opened occurrences that have not ended.
    std::vector<occurrence_record> open;
    /// Wall clock milliseconds at which the job ended; 0 while it has not.
    std::int64_t ended_ms = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(state, occurrences_opened, open, ended_ms);
    }
};

/// @brief Returns whether a job was cancelled before it was submitted.
///
/// No such job exists for its callers, and a submission of its id is refused.
/// Earlier releases read its record as that of a cancelled job.
inline bool is_withdrawn(const job_record& record)
{
    return record.state == job_state::cancelled &&
           record.occurrences_opened == never_submitted;
}

} // namespace mustardwick::jobs
