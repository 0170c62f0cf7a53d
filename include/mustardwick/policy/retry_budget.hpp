#pragma once

#include <algorithm>
#include <chrono>

namespace mustardwick::policy
{

/// @brief Limits of the retries of one queue.
struct retry_limits
{
    /// Retries allowed for each first attempt.
    double per_request = 0.1;
    /// Retries allowed per second regardless of traffic.
    double per_second = 1.0;
    /// Maximum number of accumulated retries.
    double burst = 10.0;
};

/// @brief A token bucket for retries, so that they cannot amplify an overload.
class retry_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit retry_budget(retry_limits limits = {})
        : limits_(limits), tokens_(limits.burst)
    {
    }

    /// @brief Records a first attempt.
    void record_request()
    {
        add(limits_.per_request);
    }

    /// @brief Takes one retry from the budget. Returns false when the budget is
    /// exhausted.
    bool try_retry(time_point now)
    {
        refill(now);
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

private:
    void add(double tokens)
    {
        tokens_ = std::min(tokens_ + tokens, limits_.burst);
    }

    void refill(time_point now)
    {
        const std::chrono::duration<double> passed = now - refilled_;
        if (refilled_ != time_point{} && passed.count() > 0)
            add(passed.count() * limits_.per_second);
        refilled_ = std::max(refilled_, now);
    }

    retry_limits limits_;
    double tokens_;
    time_point refilled_;
};

} // namespace mustardwick::policy
