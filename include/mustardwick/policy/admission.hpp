#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

namespace mustardwick::policy
{

/// @brief Admission control: rejects requests that are expected to miss their
/// deadline.
///
/// The expected wait follows from the queue length and the observed service
/// time. Duration is any chrono duration; callers pass in the current time.
template <typename Duration = std::chrono::microseconds>
class admission_control
{
public:
    using time_point = std::chrono::time_point<std::chrono::steady_clock>;

    /// @brief Records how long a target took to serve one request.
    void record_service(Duration time, time_point now)
    {
        const auto sample = double(time.count());
        const auto weight = samples_++ == 0 ? 1.0 : sample_weight;
        const auto distance = sample - mean_;
        mean_ += weight * distance;
        deviation_ += weight * (std::abs(distance) - deviation_);
        last_sample_ = now;
    }

    /// @brief Returns the expected wait behind queued requests that share a
    /// number of slots.
    Duration expected_wait(std::int64_t queued, std::int64_t slots) const
    {
        const auto rounds = double(queued) / double(slots > 0 ? slots : 1);
        return Duration(std::int64_t(rounds * mean_));
    }

    /// @brief Returns whether a request is expected to finish in the remaining
    /// time.
    ///
    /// Requests are admitted while there are too few samples or the last one is
    /// too old. Otherwise a single slow period could block requests, and with
    /// them new samples, forever.
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
