#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace mustardwick::policy
{

/// @brief Decides whether to accept a job beyond its account's share.
///
/// Load pattern: one account submits many times its share while the cell is
/// busy. Its surplus waits behind everybody's shares; thousands of jobs were
/// accepted that nothing was left for, and their callers waited in vain.
///
/// Jobs within a share are never refused, no job is while processors are idle,
/// and none that has more time than can be foreseen. Refused callers return in
/// the order in which they were refused.
class surplus_admission
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    explicit surplus_admission(time_point now) : counting_since_(now) {}

    /// @brief Records that a job beyond the share has started.
    void started()
    {
        ++started_;
    }

    /// @brief Returns std::nullopt to accept a job beyond the share, otherwise
    /// the time after which its caller should return.
    /// @param waiting jobs beyond the share that have not started
    /// @param useful time in which the job has to start to be of use
    std::optional<milliseconds> decide(time_point now, std::size_t waiting,
                                       milliseconds useful)
    {
        update_rate(now);
        if (rate_ < 0 || waiting < min_backlog || useful > max_forecast)
            return std::nullopt;
        const double wait_s = double(waiting) / std::max(rate_, min_rate);
        if (wait_s * 1000 <= double(useful.count()))
            return std::nullopt;
        // One caller returns for each job that the cell can start.
        const milliseconds gap(std::int64_t(1000 / std::max(rate_, min_rate)));
        next_return_ = std::clamp(next_return_ + gap, now + min_retry_after,
                                  now + max_retry_after);
        return std::chrono::duration_cast<milliseconds>(next_return_ - now);
    }

private:
    /// Fewer waiting jobs are a short burst.
    static constexpr std::size_t min_backlog = 20;
    static constexpr milliseconds rate_window{2000};
    /// A rate that was measured over 2 s tells little about later seconds.
    static constexpr milliseconds max_forecast{5000};
    static constexpr double min_rate = 0.1;
    static constexpr milliseconds min_retry_after{1000};
    /// A caller that comes back four times has waited 16 s.
    static constexpr milliseconds max_retry_after{4000};

    void update_rate(time_point now)
    {
        const auto passed = now - counting_since_;
        if (passed < rate_window)
            return;
        rate_ =
            double(started_) / std::chrono::duration<double>(passed).count();
        started_ = 0;
        counting_since_ = now;
    }

    time_point counting_since_;
    std::size_t started_ = 0;
    /// Jobs beyond the share that start a second; negative while unknown.
    double rate_ = -1;
    time_point next_return_;
};

} // namespace mustardwick::policy
