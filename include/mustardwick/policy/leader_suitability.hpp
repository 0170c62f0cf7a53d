#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace mustardwick::policy
{

/// @brief Resources of an entry host that leadership uses.
struct host_resources
{
    /// Processor capacity; 1.0 is one processor.
    double processors = 1.0;
    /// Bandwidth of the host's network link in Mbit/s.
    double link_mbps = 1000.0;
    std::int64_t memory_mb = 1024;
    std::int64_t descriptors = 4096;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(processors, link_mbps, memory_mb, descriptors);
    }
};

/// @brief Measured state of an entry host.
struct host_condition
{
    /// Processor speed relative to the best that the host has shown, 0 to 1.
    double speed = 1.0;
    /// Time that a message takes beyond what an idle network needs.
    std::chrono::milliseconds network_delay{0};
};

/// @brief What the leader of a cell needs at its peak.
struct leader_needs
{
    double processors = 0;
    double link_mbps = 0;
    double memory_mb = 0;
    double descriptors = 0;
};

/// Size that is assumed for a cell before its worker registry is known.
inline constexpr std::size_t assumed_workers = 400;

/// @brief Returns the needs of the leader of a cell with the given number of
/// workers.
///
/// Processors and descriptors follow the sweep in docs/CAPACITY.md. Link and
/// memory are assumed, about four times what the sweep shows: the leader reads
/// the stored state of all jobs within a second of a change of leaders.
inline leader_needs needs_of_cell(std::size_t workers)
{
    const auto n = double(std::max<std::size_t>(workers, 1));
    return {0.0006 * n, 0.06 * n, 16 + 0.1 * n, 200 + 3 * n};
}

/// A network delay up to this value does not slow the leader's work.
inline constexpr std::chrono::milliseconds harmless_network_delay{100};

/// @brief Returns how well a host can lead: the smallest ratio of a resource
/// to the leader's need for it. 1.0 just suffices.
inline double suitability_of(const host_resources& host,
                             const host_condition& condition,
                             const leader_needs& needs)
{
    const auto ratio = [](double present, double needed)
    {
        return needed > 0 ? present / needed : present;
    };
    const double slowdown =
        std::max(1.0, double(condition.network_delay.count()) /
                          double(harmless_network_delay.count()));
    return std::min({ratio(host.processors * condition.speed, needs.processors),
                     ratio(host.link_mbps, needs.link_mbps) / slowdown,
                     ratio(double(host.memory_mb), needs.memory_mb),
                     ratio(double(host.descriptors), needs.descriptors)});
}

/// A host is better than another one only beyond this ratio of their
/// suitabilities; smaller differences are noise of the measurement.
inline constexpr double better_ratio = 1.5;
/// Hosts below the best one divided by this value wait twice as long.
inline constexpr double much_better_ratio = 4.0;

/// @brief Returns in which turn a host acquires leadership: 0 for those about
/// as suitable as the best one, 1 and 2 for less suitable ones.
///
/// Load pattern: a cell with hosts of unlike size loses its leader, and all
/// hosts race for the head row.
inline int succession_tier(double own, double best)
{
    if (own * better_ratio >= best)
        return 0;
    return own * much_better_ratio >= best ? 1 : 2;
}

/// @brief Decides when a leader hands over to a more suitable member.
///
/// Load pattern: a small host leads because no larger one was reachable, or the
/// leader's host turns slow while it leads. Leadership must not wander while
/// the measurements of several hosts change.
class leader_review
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @param recent_hand_overs hand-overs in a row that led to this term; each
    /// one multiplies the minimum tenure by four
    leader_review(time_point started, int recent_hand_overs)
        : started_(started),
          recent_(std::clamp(recent_hand_overs, 0, max_recent))
    {
    }

    /// @brief Returns whether to hand over now.
    /// @param own suitability of the leader
    /// @param best highest suitability among the members that can take over
    bool is_due(time_point now, double own, std::optional<double> best)
    {
        if (!best || *best <= own * better_ratio)
        {
            worse_since_ = never;
            return false;
        }
        worse_since_ = std::min(worse_since_, now);
        return now - worse_since_ >= observation && now - started_ >= tenure();
    }

    /// @brief Returns the number of hand-overs in a row that the successor
    /// continues with.
    int next_hand_overs(time_point now) const
    {
        return now - started_ >= forgetting ? 1 : recent_ + 1;
    }

private:
    static constexpr auto never = time_point::max();
    /// One slow second is a fault that callers notice; a shorter delay occurs
    /// when large states are loaded.
    static constexpr std::chrono::milliseconds observation{700};
    static constexpr std::chrono::milliseconds min_tenure{1500};
    /// A term of this length shows that leadership does not wander.
    static constexpr std::chrono::milliseconds forgetting{60'000};
    /// Longest minimum tenure: 1.5 s x 4^3 = 96 s.
    static constexpr int max_recent = 3;

    std::chrono::milliseconds tenure() const
    {
        return min_tenure * (1 << (2 * recent_));
    }

    time_point started_;
    int recent_;
    /// Since when a member has been better.
    time_point worse_since_ = never;
};

} // namespace mustardwick::policy
