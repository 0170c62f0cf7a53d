#pragma once

#include <algorithm>
#include <cstddef>
#include <span>

namespace mustardwick::policy
{

/// @brief Bounds of one question about the hosts that may run a step.
struct advice_limits
{
    /// Hosts that one step is asked about at once.
    std::size_t max_hosts = 120;
    /// Expected room over what is needed. Fewer allowed hosts than expected
    /// cost a second question, which is dearer than a few more hosts.
    double margin = 1.5;
    /// Lowest share of allowed hosts that is assumed.
    double min_share = 0.1;
};

/// @brief Number of hosts to ask about, of those given best first.
///
/// Load pattern: many steps that each hold a serial advice channel for a time
/// that grows with the hosts asked about.
/// @param slots tasks that fit on each host now
/// @param missing tasks that still need a host
/// @param share share of hosts that the queue's policy usually allows
inline std::size_t hosts_to_query(std::span<const int> slots, int missing,
                                  double share,
                                  const advice_limits& limits = {})
{
    const double wanted = missing * limits.margin;
    const double likely = std::max(share, limits.min_share);
    double expected = 0;
    std::size_t n = 0;
    while (n < slots.size() && n < limits.max_hosts && expected < wanted)
        expected += likely * std::min(slots[n++], missing);
    return n;
}

/// Hosts in one question while channels are free; the fixed part of a
/// question takes as long as about 70 hosts.
inline constexpr std::size_t hosts_per_query = 15;

/// @brief Number of questions, asked at the same time, that hosts are split
/// into.
///
/// Load pattern: wide all-at-once steps beside idle channels.
inline std::size_t advice_queries_for(std::size_t hosts,
                                      std::size_t free_channels)
{
    // Half of the free channels stay for the steps that come next.
    const auto most = std::max<std::size_t>(1, free_channels / 2);
    const auto wanted = (hosts + hosts_per_query - 1) / hosts_per_query;
    return std::min(wanted, most);
}

/// @brief Share of allowed hosts, learned from the answers of a queue.
class allowed_share
{
public:
    void record(std::size_t asked, std::size_t allowed)
    {
        if (asked == 0)
            return;
        const double seen = double(allowed) / double(asked);
        value_ += weight * (seen - value_);
    }

    double value() const
    {
        return value_;
    }

private:
    /// Weight of one answer; about twenty answers replace the start value.
    static constexpr double weight = 0.1;
    /// Assumed until answers come; half of the hosts.
    double value_ = 0.5;
};

} // namespace mustardwick::policy
