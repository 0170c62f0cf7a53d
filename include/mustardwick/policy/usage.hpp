#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

/// @brief Run time and size estimates per team, queue and kind of work.
///
/// Declared values may be far off, so estimates only order work and decide what
/// may be backfilled; capacity is always accounted in declared sizes.
class usage_history
{
public:
    /// @brief Records how long a finished task of a job ran.
    void record_run(const job& value, milliseconds run_time);

    /// @brief Records the reported usage of a running task of a job.
    void record_size(const job& value, const resources& used);

    /// @brief Returns the mean run time, or the declared one until enough tasks
    /// have finished; zero when unknown.
    milliseconds expected_run_time(const job& value) const;

    /// @brief Returns a run time that few tasks exceed, or the declared one
    /// until enough tasks have finished; zero when unknown.
    milliseconds run_time_bound(const job& value) const;

    /// @brief Returns the recent peak usage, at most the declared size; the
    /// declared size until usage is reported.
    resources expected_size(const job& value) const;

private:
    struct queue_usage
    {
        std::int64_t runs = 0;
        double mean_ms = 0;
        double deviation_ms = 0;
        std::int64_t reports = 0;
        resources size;
    };

    using queue_key = std::tuple<std::string, std::string, work_kind>;

    static queue_key key_of(const job& value);
    const queue_usage* find(const job& value) const;

    std::map<queue_key, queue_usage> queues_;
};

} // namespace mustardwick::policy
