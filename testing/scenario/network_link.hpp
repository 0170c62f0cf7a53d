#pragma once

#include <atomic>
#include <cstdint>

namespace mustardwick::testing
{

/// @brief The ways that bytes take through a relay.
enum class flow
{
    /// From the side that connects to the side that listens.
    forward,
    backward
};

/// @brief Faults of a relay, shared by its connections.
///
/// While a flow is cut, a TCP connection keeps its bytes back and sends them
/// after the cut is healed, as retransmission would; datagrams are dropped.
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

    /// @brief Makes all connections that exist now silent for ever.
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
