#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

namespace mustardwick::policy
{

/// @brief Refuses requests early that could not be answered by their deadline.
///
/// The waiting time follows from the queue length and the observed service
/// time. Time is any chrono duration; the clock's time is passed in.
template <typename Duration = std::chrono::microseconds>
class admission_control
{
public:
    using time_point = std::chrono::time_point<std::chrono::steady_clock>;

    /// @brief Notes how long one request took at a target.
    void record_service(Duration time, time_point now)
    {
        const auto sample = double(time.count());
        const auto weight = samples_++ == 0 ? 1.0 : sample_weight;
        const auto distance = sample - mean_;
        mean_ += weight * distance;
        deviation_ += weight * (std::abs(distance) - deviation_);
        last_sample_ = now;
    }

    /// @brief Expected wait behind a number of queued requests.
    Duration expected_wait(std::int64_t queued, std::int64_t slots) const
    {
        const auto rounds = double(queued) / double(slots > 0 ? slots : 1);
        return Duration(std::int64_t(rounds * mean_));
    }

    /// @brief Tells whether a request can be answered in the time that remains.
    ///
    /// While nothing was measured, or not for a while, requests are admitted:
    /// otherwise one slow period would be remembered for ever.
    bool admits(std::int64_t queued, std::int64_t slots, Duration remaining,
                time_point now) const
    {
        if (remaining <= Duration::zero())
            return false;
        if (samples_ < min_samples || now - last_sample_ > max_sample_age)
            return true;
        const Duration service(std::int64_t(mean_ + deviation_));
        return expected_wait(queued, slots) + service <= remaining;
    }

private:
    static constexpr std::int64_t min_samples = 10;
    static constexpr double sample_weight = 0.05;
    static constexpr std::chrono::seconds max_sample_age{1};

    std::int64_t samples_ = 0;
    double mean_ = 0;
    double deviation_ = 0;
    time_point last_sample_;
};

} // namespace mustardwick::policy
