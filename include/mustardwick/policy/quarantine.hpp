#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>

namespace mustardwick::policy
{

/// @brief When a worker is quarantined and how often it is probed.
struct quarantine_limits
{
    int consecutive_failures = 5;
    std::chrono::milliseconds initial_probe_interval{5'000};
    std::chrono::milliseconds max_probe_interval{300'000};
};

/// @brief Quarantines workers whose tasks fail one after another.
///
/// A worker gets no regular work after a number of consecutive failures. It is
/// probed with one task at a time, at intervals that double after each failed
/// probe up to a maximum. A success ends the quarantine.
template <typename Key, typename Compare = std::less<>>
class quarantine
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit quarantine(quarantine_limits limits = {}) : limits_(limits) {}

    void record_success(const Key& worker)
    {
        workers_.erase(worker);
    }

    /// @brief Records that a task failed right after a worker started it.
    void record_failure(const Key& worker, time_point now)
    {
        auto& it = workers_[worker];
        ++it.failures;
        if (it.failures < limits_.consecutive_failures)
            return;
        // Tasks started before the quarantine carry no new information, so only
        // a failed probe lengthens the interval.
        if (it.probe_interval.count() > 0 && !it.probing)
            return;
        it.probe_interval =
            it.probe_interval.count() == 0
                ? limits_.initial_probe_interval
                : std::min(it.probe_interval * 2, limits_.max_probe_interval);
        it.next_probe = now + it.probe_interval;
        it.probing = false;
    }

    /// @brief Returns whether a worker is quarantined and may only run probes.
    template <typename Name>
    bool contains(const Name& worker) const
    {
        const auto it = workers_.find(worker);
        return it != workers_.end() && it->second.probe_interval.count() > 0;
    }

    /// @brief Returns whether a quarantined worker may be probed with one task
    /// now; if so, the probe counts as started.
    template <typename Name>
    bool try_probe(const Name& worker, time_point now)
    {
        const auto it = workers_.find(worker);
        if (it == workers_.end() || it->second.probe_interval.count() == 0 ||
            now < it->second.next_probe)
            return false;
        it->second.probing = true;
        // A probe without an outcome is repeated after the same interval.
        it->second.next_probe = now + it->second.probe_interval;
        return true;
    }

    /// @brief Drops the state of a worker, for example when it was replaced.
    void forget(const Key& worker)
    {
        workers_.erase(worker);
    }

private:
    struct entry
    {
        int failures = 0;
        std::chrono::milliseconds probe_interval{0};
        time_point next_probe;
        bool probing = false;
    };

    quarantine_limits limits_;
    std::map<Key, entry, Compare> workers_;
};

} // namespace mustardwick::policy
