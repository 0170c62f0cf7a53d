#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

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
    /// Number of runs that have ended as failed; the members of a gang step
    /// share that of the first member.
    std::int32_t failures = 0;
    /// The last of these runs, ascending. A worker reports an end until it is
    /// acknowledged, to each leader, and a gang step has one for each member.
    std::vector<std::int32_t> failed_runs;
    std::string worker;
    std::int64_t worker_incarnation_start_ms = 0;
    /// Checkpoint that the next run resumes from; empty means none.
    std::string checkpoint;

    /// Without failed runs, a record reads as one of earlier releases. With
    /// them, these find a length beyond any row and refuse it.
    template <typename Archive>
    void save(Archive& ar) const
    {
        ar(state, run);
        if (failed_runs.empty())
            ar(failures);
        else
            ar(~failures, impossible_length, failed_runs);
        ar(worker, worker_incarnation_start_ms, checkpoint);
    }

    template <typename Archive>
    void load(Archive& ar)
    {
        ar(state, run, failures);
        failed_runs.clear();
        if (failures < 0)
        {
            failures = ~failures;
            std::uint64_t marker = 0;
            ar(marker, failed_runs);
            if (marker != impossible_length ||
                failed_runs.size() > max_failed_runs)
                throw cereal::Exception("the failed runs are malformed");
        }
        ar(worker, worker_incarnation_start_ms, checkpoint);
    }

    static constexpr std::size_t max_failed_runs = 8;

private:
    static constexpr std::uint64_t impossible_length =
        std::numeric_limits<std::uint64_t>::max();
};

/// @brief Counts a run that has ended as failed; returns false when it was
/// counted before.
inline bool count_failure(task_record& record, std::int32_t run)
{
    auto& runs = record.failed_runs;
    const auto at = std::lower_bound(runs.begin(), runs.end(), run);
    const bool is_full = runs.size() >= task_record::max_failed_runs;
    // The numbers of earlier runs are not known any more.
    const bool is_forgotten = is_full && at == runs.begin();
    if (at != runs.end() && (*at == run || is_forgotten))
        return false;
    runs.insert(at, run);
    if (is_full)
        runs.erase(runs.begin());
    ++record.failures;
    return true;
}

/// @brief Fills in the failed runs of a record of an earlier release, which
/// holds only their number: those up to the given run are taken for them.
inline void assume_failed_runs(task_record& record, std::int32_t last)
{
    if (!record.failed_runs.empty())
        return;
    const auto n = std::min(
        {record.failures, last, std::int32_t(task_record::max_failed_runs)});
    for (auto run = last - n + 1; run <= last; ++run)
        record.failed_runs.push_back(run);
}

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
