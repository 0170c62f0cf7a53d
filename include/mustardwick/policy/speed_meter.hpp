#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

namespace mustardwick::policy
{

/// @brief Relates the time that a fixed computation takes now to the shortest
/// time that it has ever taken on this host.
///
/// Load pattern: a host turns several times slower while its process keeps
/// answering. The lag of timers alone does not tell that from a high load.
class speed_meter
{
public:
    using duration = std::chrono::nanoseconds;

    void record(duration took)
    {
        // A clock without progress measures nothing.
        if (took <= duration::zero())
            return;
        recent_[count_++ % recent_.size()] = took;
        const auto now = shortest_recent();
        best_ = best_ == duration::zero() ? now : std::min(best_, now);
    }

    /// @brief Returns the speed relative to the best one, above 0 and at
    /// most 1.
    double speed() const
    {
        return best_ == duration::zero()
                   ? 1.0
                   : double(best_.count()) / double(shortest_recent().count());
    }

private:
    /// The shortest of several samples leaves out interruptions by other
    /// processes.
    static constexpr std::size_t samples = 5;

    duration shortest_recent() const
    {
        const auto end = recent_.begin() + std::min(count_, samples);
        return *std::min_element(recent_.begin(), end);
    }

    std::array<duration, samples> recent_{};
    std::size_t count_ = 0;
    duration best_{0};
};

} // namespace mustardwick::policy
