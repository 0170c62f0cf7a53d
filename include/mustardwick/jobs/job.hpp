#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::jobs
{

/// @brief A step of a job, made up of identical tasks.
struct step
{
    int tasks = 1;
    /// Resources that one task requests.
    policy::resources size;
    /// The submitter's estimate of one task's run time; 0 when not given.
    std::int64_t estimate_ms = 0;
    /// Indexes of earlier steps whose tasks have to finish first.
    std::vector<int> after;
    bool checkpointing = false;
    /// The tasks form a gang: they start together and end together.
    bool is_gang = false;
    bool same_rack = false;
    /// Copies of a task may run in parallel.
    bool speculative = false;
    /// The tasks run until the job is cancelled; a task that ends is restarted.
    bool long_running = false;
    /// The tasks use CPU time that others leave idle; their size is not charged
    /// against the processors of a host.
    bool uses_idle_cpu = false;
    /// A label that the host must have; empty means any host.
    std::string required_label;
    /// The rack of the input data; empty means none.
    std::string preferred_rack;
    /// Maximum number of tasks of this step on one host; 0 means no limit.
    int max_per_host = 0;
    /// Image that the tasks run; tasks of one image behave alike.
    std::string image;
    /// Bound on the tail latency of a task that serves users; 0 means none.
    std::int64_t target_ms = 0;
    /// Maximum number of tasks of a long-running step that may be stopped at
    /// the same time.
    int max_unavailable = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(tasks, size.millicpus, size.memory_mb, size.accelerators,
           estimate_ms, after, checkpointing, is_gang, same_rack, speculative,
           long_running, uses_idle_cpu, required_label, preferred_rack,
           max_per_host, image, target_ms, max_unavailable);
    }
};

/// @brief Returns the host capacity that one task of a step occupies.
inline policy::resources charged_size(const step& it)
{
    auto out = it.size;
    if (it.uses_idle_cpu)
        out.millicpus = 0;
    return out;
}

/// @brief Submitted work: steps of tasks, run once or at set times.
struct job
{
    std::string id;
    std::string queue;
    /// Client account whose API key submitted the job; empty on a public queue.
    std::string account;
    /// Opaque text that every task receives.
    std::string payload;
    std::vector<step> steps;
    /// Number of timed occurrences; 0 means that the job runs once, now.
    std::int64_t occurrences = 0;
    /// Wall clock milliseconds at which occurrence 0 is due.
    std::int64_t first_due_ms = 0;
    std::int64_t interval_ms = 0;
    /// Wall clock milliseconds at which the job arrived.
    std::int64_t arrived_ms = 0;
    /// The job exceeded its account's share when it was submitted.
    bool over_share = false;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(id, queue, account, payload, steps, occurrences, first_due_ms,
           interval_ms, arrived_ms, over_share);
    }
};

enum class job_state : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/// @brief Returns whether a state is final.
constexpr bool is_final(job_state state)
{
    return state >= job_state::completed;
}

/// @brief One task of one occurrence of a job.
struct task_key
{
    std::string job;
    std::int64_t occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const task_key&) const = default;
};

/// @brief Formats a key as "JOB.OCCURRENCE.STEP.INDEX".
std::string to_string(const task_key& key);

/// @brief Parses the format of to_string(); std::nullopt for malformed text.
std::optional<task_key> parse_task_key(std::string_view text);

} // namespace mustardwick::jobs
