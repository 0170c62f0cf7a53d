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
/// Counts mustardwick_membership_bytes_total (sent and received) and
/// mustardwick_datagrams_dropped_total (oversized, malformed, wrong secret).
class membership_service
{
public:
    membership_service(membership_options options, const base::clock& clock,
                       base::metrics& metrics);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// @brief Binds and starts the thread; false gives last_error().
    bool start();

    /// @brief Closes the socket and waits for the thread.
    void stop();

    /// @brief The bound port, also when the options asked for any port.
    std::uint16_t port() const;

    void set_peers(std::span<const peer> peers);

    /// @brief State of a peer; empty when no member row names it.
    std::optional<wire::member_state> peer_state(std::string_view name) const;

    /// @brief Time since a datagram of the peer came; empty when none did.
    std::optional<base::milliseconds>
    since_last_datagram(std::string_view name) const;

    /// @brief Own incarnation, which grows when a suspicion is refuted.
    std::uint64_t incarnation() const;

    void set_config_version(std::uint64_t version);
    std::uint64_t highest_config_version() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mustardwick::coordination
