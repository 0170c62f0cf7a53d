#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "head_list.hpp"

namespace mustardwick::policy
{

/// @brief The properties that decide where a job fits. Jobs of one shape fit on
/// the same hosts.
struct job_shape
{
    resources size;
    work_kind kind = work_kind::batch;
    /// Number of tasks that must start together; 1 unless the job is a gang.
    int units = 1;
    /// Bit width of the expected run time in ms, for backfill.
    int run_time_class = 0;

    auto tie() const
    {
        return std::tuple(size.millicpus, size.memory_mb, size.accelerators,
                          kind, units, run_time_class);
    }

    bool operator<(const job_shape& other) const
    {
        return tie() < other.tie();
    }

    bool operator==(const job_shape& other) const
    {
        return tie() == other.tie();
    }
};

/// @brief The waiting jobs of one team and priority class, grouped by shape.
///
/// Only the first job of each shape has to be examined in a round: when it does
/// not fit, no job of the same shape fits.
class job_queue
{
public:
    void add(const job_shape& shape, const queue_place& place);
    void remove(const job_shape& shape, const queue_place& place);

    /// @brief Returns the first job of each shape, in queue order.
    const head_list& heads() const
    {
        return heads_;
    }

    /// @brief Returns the place up to which no job fitted when last tried.
    const std::optional<queue_place>& failed_until() const
    {
        return failed_until_;
    }

    /// @brief Returns the version of the space log at which the jobs up to
    /// failed_until() were tried.
    std::uint64_t failed_at() const
    {
        return failed_at_;
    }

    /// @brief Records that no job up to a place fitted at a version of the
    /// space log.
    void record_failed(std::optional<queue_place> until, std::uint64_t version);

    /// @brief Makes the next round retry all jobs.
    void clear_failed()
    {
        failed_until_.reset();
    }

private:
    void add_head(const job_shape& shape, const queue_place& place);

    std::map<job_shape, std::set<queue_place>> shapes_;
    head_list heads_;
    std::optional<queue_place> failed_until_;
    std::uint64_t failed_at_ = 0;
};

} // namespace mustardwick::policy
