#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::policy
{

using steady_time = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief Amounts of a host's divisible resources.
struct resources
{
    /// Thousandths of a processor.
    std::int64_t millicpus = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    bool operator==(const resources&) const = default;

    /// @brief Returns whether no amount exceeds that of the other.
    bool fits_in(const resources& other) const;
};

resources operator+(resources left, const resources& right);
resources operator-(resources left, const resources& right);

/// @brief Returns how many tasks of a size fit in an amount of resources; the
/// maximum integer for a task of size zero.
inline std::int64_t units_in(const resources& space, const resources& size)
{
    auto n = std::numeric_limits<std::int64_t>::max();
    if (size.millicpus > 0)
        n = std::min(n, space.millicpus / size.millicpus);
    if (size.memory_mb > 0)
        n = std::min(n, space.memory_mb / size.memory_mb);
    if (size.accelerators > 0)
        n = std::min(n, space.accelerators / size.accelerators);
    return std::max<std::int64_t>(n, 0);
}

/// @brief The kinds of submitted work.
enum class work_kind
{
    service,
    batch,
    gang
};

/// @brief Priority classes; urgent work may preempt the others.
enum class priority_class
{
    best_effort,
    normal,
    urgent
};

std::string_view name_of(work_kind kind);
std::string_view name_of(priority_class priority);

/// @brief A worker's host and its capacity, as the planner sees it.
struct host
{
    std::string name;
    std::string failure_domain;
    std::string rack;
    resources capacity;
    /// False while the host or its failure domain is out of service, or the
    /// host is leaving, quarantined or without an open lease.
    bool accepts_work = true;
    /// True while running tasks may stay although no new work is accepted, for
    /// example on a quarantined host or one whose owner has not reported yet.
    bool keeps_tasks = false;

    bool operator==(const host&) const = default;
};

/// @brief A team's share and resource limit.
struct team
{
    std::string name;
    /// Weight of the team when capacity is contended.
    std::int64_t share = 1;
    /// Maximum resources across all hosts; a negative amount means no limit.
    resources limit{-1, -1, -1};
};

/// @brief Submitted work: a number of identical tasks.
struct job
{
    std::string id;
    std::string team;
    std::string queue;
    work_kind kind = work_kind::batch;
    priority_class priority = priority_class::normal;
    resources size;
    int tasks = 1;
    /// Expected run time of one task; zero when unknown.
    milliseconds run_time{0};
    steady_time submitted;
};

/// @brief One task of a job.
struct task_id
{
    std::string job;
    int index = 0;

    auto operator<=>(const task_id&) const = default;
};

/// @brief A task that holds resources on a host.
struct running_task
{
    task_id id;
    std::string host;
    steady_time started;
    /// Time of the last checkpoint; the start time when there is none.
    steady_time checkpointed;
};

/// @brief A decision to start a task on a host.
struct placement
{
    task_id id;
    std::string host;
};

enum class removal_reason
{
    preempted,
    host_leaving
};

/// @brief A decision to stop a task, after a checkpoint where supported, and to
/// queue it again.
struct removal
{
    task_id id;
    std::string host;
    removal_reason reason = removal_reason::preempted;
};

/// @brief A job that could not run even in the empty cell.
struct rejection
{
    std::string job;
    std::string reason;
};

/// @brief The decisions of one planning round.
struct plan
{
    std::vector<placement> placements;
    std::vector<removal> removals;
    std::vector<rejection> rejections;
};

} // namespace mustardwick::policy
