#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/coordination/membership.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::coordination
{

struct membership_options
{
    wire::endpoint listen;
    std::string secret;
    std::string self;
    std::uint64_t incarnation = 0;
};

/// @brief Runs the membership protocol on one UDP socket and one thread.
///
/// Maintains the metrics mustardwick_membership_bytes_total (sent and received)
/// and mustardwick_datagrams_dropped_total (oversized, malformed or with a
/// wrong secret).
class membership_service
{
public:
    membership_service(membership_options options, const base::clock& clock,
                       base::metrics& metrics);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// @brief Binds the socket and starts the thread; false, with last_error(),
    /// when the address cannot be bound.
    bool start();

    /// @brief Closes the socket and joins the thread.
    void stop();

    /// @brief Returns the bound port, also when the options request port 0; 0
    /// before start().
    std::uint16_t port() const;

    void set_peers(std::span<const peer> peers);

    /// @brief Returns the state of a peer; empty for a peer without a member
    /// row.
    std::optional<wire::member_state> peer_state(std::string_view name) const;

    /// @brief Returns the time since the last datagram from a peer; empty when
    /// none was received.
    std::optional<base::milliseconds>
    since_last_datagram(std::string_view name) const;

    /// @brief Returns this daemon's incarnation, which is raised to refute a
    /// suspicion.
    std::uint64_t incarnation() const;

    void set_config_version(std::uint64_t version);
    std::uint64_t highest_config_version() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mustardwick::coordination
