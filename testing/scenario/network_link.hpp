#pragma once

#include <atomic>
#include <cstdint>

namespace mustardwick::testing
{

/// @brief Directions of traffic through a relay.
enum class flow
{
    /// From the connecting side to the listening side.
    forward,
    backward
};

/// @brief Fault state of a relay, shared by its connections.
///
/// While a direction is cut, TCP data is held back and delivered after the cut
/// heals, as retransmission would do; datagrams are dropped.
class network_link
{
public:
    void set_cut(flow direction, bool value)
    {
        (direction == flow::forward ? forward_ : backward_) = value;
    }

    bool is_cut(flow direction) const
    {
        return direction == flow::forward ? forward_ : backward_;
    }

    /// @brief Permanently stops traffic on all current connections without
    /// closing them.
    void blackhole_connections()
    {
        first_live_connection_ = next_connection_.load();
    }

    bool is_blackholed(std::uint64_t connection) const
    {
        return connection < first_live_connection_;
    }

    std::uint64_t add_connection()
    {
        return next_connection_++;
    }

private:
    std::atomic<bool> forward_{false};
    std::atomic<bool> backward_{false};
    std::atomic<std::uint64_t> next_connection_{0};
    std::atomic<std::uint64_t> first_live_connection_{0};
};

} // namespace mustardwick::testing
