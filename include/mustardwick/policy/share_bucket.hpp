#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace mustardwick::policy
{

/// @brief Tells which jobs of an account are within its share.
///
/// Load pattern: one account sends many times its usual. Its weight is the
/// number of jobs a second that it may count on; what comes beyond waits until
/// the other accounts' work has found room.
class share_bucket
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @brief Notes a job; true when it is within the share.
    /// @param weight jobs a second
    bool take(time_point now, double weight)
    {
        const double max_tokens = std::max(1.0, weight * burst_seconds);
        if (last_)
        {
            const std::chrono::duration<double> passed = now - *last_;
            tokens_ = std::min(max_tokens, tokens_ + passed.count() * weight);
        }
        else
            tokens_ = max_tokens;
        last_ = now;
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

private:
    /// The share counts jobs a second, so that a second's worth may come at
    /// once.
    static constexpr double burst_seconds = 1.0;

    double tokens_ = 0;
    std::optional<time_point> last_;
};

} // namespace mustardwick::policy
