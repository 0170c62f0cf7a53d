#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace mustardwick::policy
{

/// @brief A token bucket that decides which jobs of a client account are within
/// its share.
///
/// Load pattern: one account submits many times its usual load. Its weight is
/// its guaranteed rate in jobs per second; jobs beyond that rate wait until the
/// other accounts' jobs are placed.
class share_bucket
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @brief Counts a job and returns whether it is within the account's
    /// share.
    /// @param weight guaranteed rate in jobs per second
    bool take(time_point now, double weight)
    {
        tokens_ = tokens_at(now, weight);
        last_ = now;
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

    /// @brief Returns whether a job that arrives now is beyond the share.
    bool is_exhausted(time_point now, double weight) const
    {
        return tokens_at(now, weight) < 1.0;
    }

private:
    /// Jobs that may arrive at once, in seconds of the guaranteed rate. The
    /// share is defined in jobs per second, so the jobs of one second are
    /// within it.
    static constexpr double burst_seconds = 1.0;

    double tokens_at(time_point now, double weight) const
    {
        const double max_tokens = std::max(1.0, weight * burst_seconds);
        if (!last_)
            return max_tokens;
        const std::chrono::duration<double> passed = now - *last_;
        return std::min(max_tokens, tokens_ + passed.count() * weight);
    }

    double tokens_ = 0;
    std::optional<time_point> last_;
};

} // namespace mustardwick::policy
