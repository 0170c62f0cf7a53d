#pragma once

#include <algorithm>
#include <cstddef>
#include <span>

namespace mustardwick::policy
{

/// @brief Limits of one advice query, which asks which hosts may run a step.
struct advice_limits
{
    /// Maximum number of hosts queried at once for one step.
    std::size_t max_hosts = 120;
    /// Ratio of expected free slots to missing tasks. A second query, needed
    /// when fewer hosts than expected are allowed, costs more than a few extra
    /// hosts in the first.
    double margin = 1.5;
    /// Lower bound of the assumed share of allowed hosts.
    double min_share = 0.1;
};

/// @brief Returns how many hosts, from the front of a list sorted best first,
/// to include in an advice query.
///
/// Load pattern: many steps that each occupy a serial advice channel for a time
/// that grows with the number of hosts queried.
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

/// Hosts per advice query while channels are free. The fixed cost of a query
/// equals that of about 70 hosts.
inline constexpr std::size_t hosts_per_query = 15;

/// The advisor rejects queries about more hosts.
inline constexpr std::size_t max_hosts_per_query = 100;

/// @brief Returns the number of parallel advice queries that hosts are split
/// into.
///
/// Load pattern: wide all-at-once steps while advice channels are idle.
inline std::size_t advice_queries_for(std::size_t hosts,
                                      std::size_t free_channels)
{
    // Leaves half of the free channels to the next steps.
    const auto max_queries = std::max<std::size_t>(1, free_channels / 2);
    const auto wanted = (hosts + hosts_per_query - 1) / hosts_per_query;
    return std::min(wanted, max_queries);
}

/// @brief Moving average of the share of hosts that the advisor allows for a
/// queue.
class allowed_share
{
public:
    void record(std::size_t queried, std::size_t allowed)
    {
        if (queried == 0)
            return;
        const double sample = double(allowed) / double(queried);
        value_ += weight * (sample - value_);
    }

    double value() const
    {
        return value_;
    }

private:
    /// Weight of one response; about twenty responses replace the initial
    /// value.
    static constexpr double weight = 0.1;
    /// Initial estimate: half of the hosts are allowed.
    double value_ = 0.5;
};

} // namespace mustardwick::policy
