#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/gossip_queue.hpp"
#include "mustardwick/wire/endpoint.hpp"
#include "mustardwick/wire/frame.hpp"
#include "mustardwick/wire/membership_messages.hpp"

namespace mustardwick::coordination
{

/// @brief Name, incarnation and UDP address of a daemon from its member row.
struct peer
{
    std::string name;
    std::uint64_t incarnation = 0;
    wire::endpoint address;
};

/// @brief A membership message to be sent, or one that was received.
struct membership_datagram
{
    /// Destination of an outgoing datagram, source of an incoming one.
    wire::endpoint remote;
    wire::message_type type = wire::message_type::probe;
    std::uint64_t sequence = 0;
    wire::membership_message message;
};

struct membership_timing
{
    base::milliseconds probe_period{1000};
    /// Time to wait for a direct answer before other peers probe the target.
    base::milliseconds direct_timeout{200};
    /// Time to wait for any answer before the target becomes suspect.
    base::milliseconds probe_timeout{500};
    /// Time in which a suspect can refute before it is considered dead.
    base::milliseconds suspicion_timeout{1000};
    /// A longer gap between two ticks means that the process was paused.
    base::milliseconds max_tick_gap{800};
};

/// @brief Failure detection between daemons, without I/O or clock.
///
/// Follows SWIM: one probe in each period to the next peer in a shuffled
/// order, indirect probes, and suspicion that the suspect itself can refute
/// with a higher incarnation. Dead peers are still probed at a lower rate, so
/// that members find each other again after a network partition.
class membership
{
public:
    using datagrams = std::vector<membership_datagram>;

    membership(std::string self, std::uint64_t incarnation, std::uint64_t seed,
               membership_timing timing = {});

    /// @brief Replaces the set of peers. This daemon's own row may be included
    /// and raises its incarnation.
    ///
    /// A peer with a higher incarnation than known has restarted and is alive
    /// again.
    void set_peers(std::span<const peer> peers);

    /// @brief Handles timeouts and starts due probes; returns the datagrams to
    /// send. Must be called several times per probe period.
    datagrams tick(base::steady_time now);

    /// @brief Handles one authenticated datagram; returns the datagrams to send
    /// in response.
    datagrams receive(base::steady_time now, const membership_datagram& input);

    /// @brief Returns the state of a peer; empty for a peer without a member
    /// row.
    std::optional<wire::member_state> peer_state(std::string_view name) const;

    /// @brief Returns the highest known incarnation of a peer; empty for a peer
    /// without a member row.
    std::optional<std::uint64_t> peer_incarnation(std::string_view name) const;

    /// @brief Returns the time since the last datagram from a peer; empty when
    /// none was received.
    std::optional<base::milliseconds>
    since_last_datagram(std::string_view name, base::steady_time now) const;

    std::uint64_t incarnation() const
    {
        return incarnation_;
    }

    void set_config_version(std::uint64_t version);

    /// @brief Returns the highest configuration version that this daemon or a
    /// peer has announced.
    std::uint64_t highest_config_version() const
    {
        return highest_config_version_;
    }

private:
    struct record
    {
        wire::endpoint address;
        std::uint64_t incarnation = 0;
        wire::member_state state = wire::member_state::alive;
        base::steady_time suspected_at;
        std::optional<base::steady_time> last_datagram_at;
        /// The suspect has not been told of the suspicion yet.
        bool notification_pending = false;
    };

    /// A probe of this daemon that has not been answered yet.
    struct pending_probe
    {
        std::string target;
        base::steady_time sent_at;
        bool indirect_sent = false;
    };

    /// A probe that this daemon sent on behalf of another.
    struct relayed_probe
    {
        wire::endpoint origin;
        std::uint64_t origin_sequence = 0;
        std::string target;
        base::steady_time sent_at;
    };

    using records = std::map<std::string, record, std::less<>>;

    void resume_after_pause(base::steady_time now);
    void expire(base::steady_time now, datagrams& out);
    void expire_probe(base::steady_time now, datagrams& out);
    void expire_suspects(base::steady_time now);
    void notify_suspects(datagrams& out);
    void start_probe(base::steady_time now, datagrams& out);
    void probe_dead_peer(datagrams& out);
    void send_indirect(const std::string& target, std::uint64_t sequence,
                       datagrams& out);
    records::iterator next_peer(std::vector<std::string>& order, bool dead);
    void apply(const wire::member_claim& claim, base::steady_time now);
    void refute(const wire::member_claim& claim);
    void relay(base::steady_time now, const membership_datagram& input,
               datagrams& out);
    void accept_answer(const membership_datagram& input, datagrams& out);
    membership_datagram make_datagram(const wire::endpoint& remote,
                                      wire::message_type type,
                                      std::uint64_t sequence,
                                      std::string_view receiver);
    std::optional<wire::member_claim>
    claim_about(std::string_view receiver) const;

    std::string self_;
    std::uint64_t incarnation_;
    std::mt19937_64 random_;
    membership_timing timing_;
    std::uint64_t next_sequence_;
    std::uint64_t config_version_ = 0;
    std::uint64_t highest_config_version_ = 0;
    records peers_;
    gossip_queue queue_;
    std::vector<std::string> live_order_;
    std::vector<std::string> dead_order_;
    std::map<std::uint64_t, pending_probe> pending_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::optional<base::steady_time> last_tick_;
    base::steady_time next_probe_;
    std::uint64_t periods_ = 0;
};

} // namespace mustardwick::coordination
