#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace mustardwick::base
{

/// @brief Counters, gauges and summaries of one process. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @brief Adds to a counter.
    void add(std::string_view name, std::uint64_t n = 1);

    /// @brief Sets a gauge.
    void set(std::string_view name, double value);

    /// @brief Adds a sample to a summary; durations are in seconds.
    void observe(std::string_view name, double sample);

    /// @brief Returns the value of a counter; 0 when it does not exist.
    std::uint64_t count(std::string_view name) const;

    /// @brief Returns all metrics in the Prometheus text format.
    std::string render() const;

private:
    struct distribution;

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, std::unique_ptr<distribution>, std::less<>>
        distributions_;
};

} // namespace mustardwick::base
