#include "mustardwick/policy/usage.hpp"

#include <algorithm>
#include <cmath>

namespace mustardwick::policy
{

namespace
{

/// Finished tasks needed before the estimate replaces the declared run time.
constexpr std::int64_t min_runs = 5;

/// Weight of a new sample; older samples fade after some tens of tasks.
constexpr double sample_weight = 0.1;

/// Number of mean absolute deviations by which the run time bound exceeds the
/// mean, so that few tasks run longer.
constexpr double bound_deviations = 3.0;

/// @brief Returns a peak that rises to the sample at once and decays slowly.
std::int64_t decaying_peak(std::int64_t peak, std::int64_t sample)
{
    const auto faded =
        double(peak) * (1 - sample_weight) + sample * sample_weight;
    return std::max(sample, std::int64_t(std::ceil(faded)));
}

} // namespace

usage_history::queue_key usage_history::key_of(const job& value)
{
    return {value.team, value.queue, value.kind};
}

const usage_history::queue_usage* usage_history::find(const job& value) const
{
    const auto it = queues_.find(key_of(value));
    return it == queues_.end() ? nullptr : &it->second;
}

void usage_history::record_run(const job& value, milliseconds run_time)
{
    auto& it = queues_[key_of(value)];
    ++it.runs;
    const auto weight = std::max(sample_weight, 1.0 / double(it.runs));
    const auto distance = double(run_time.count()) - it.mean_ms;
    it.mean_ms += weight * distance;
    it.deviation_ms += weight * (std::abs(distance) - it.deviation_ms);
}

void usage_history::record_size(const job& value, const resources& used)
{
    auto& it = queues_[key_of(value)];
    ++it.reports;
    it.size.millicpus = decaying_peak(it.size.millicpus, used.millicpus);
    it.size.memory_mb = decaying_peak(it.size.memory_mb, used.memory_mb);
    it.size.accelerators =
        decaying_peak(it.size.accelerators, used.accelerators);
}

milliseconds usage_history::expected_run_time(const job& value) const
{
    const auto* known = find(value);
    if (known == nullptr || known->runs < min_runs)
        return value.run_time;
    return milliseconds(std::int64_t(known->mean_ms));
}

milliseconds usage_history::run_time_bound(const job& value) const
{
    const auto* known = find(value);
    if (known == nullptr || known->runs < min_runs)
        return value.run_time;
    return milliseconds(
        std::int64_t(known->mean_ms + bound_deviations * known->deviation_ms));
}

resources usage_history::expected_size(const job& value) const
{
    const auto* known = find(value);
    if (known == nullptr || known->reports == 0)
        return value.size;
    return {std::min(value.size.millicpus, known->size.millicpus),
            std::min(value.size.memory_mb, known->size.memory_mb),
            std::min(value.size.accelerators, known->size.accelerators)};
}

} // namespace mustardwick::policy
