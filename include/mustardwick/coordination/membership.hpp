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

/// @brief A daemon as its member row names it.
struct peer
{
    std::string name;
    std::uint64_t incarnation = 0;
    wire::endpoint address;
};

/// @brief A membership message that is to be sent or was received.
struct membership_datagram
{
    /// The destination of an outgoing, the source of an incoming datagram.
    wire::endpoint remote;
    wire::message_type type = wire::message_type::probe;
    std::uint64_t sequence = 0;
    wire::membership_message message;
};

struct membership_timing
{
    base::milliseconds probe_period{1000};
    /// Time for a direct answer before peers are asked to probe.
    base::milliseconds direct_timeout{200};
    /// Time for any answer before the target is suspected.
    base::milliseconds probe_timeout{500};
    /// Time in which a suspected member can refute.
    base::milliseconds suspicion_timeout{1000};
    /// A tick that comes this late means that the process was paused.
    base::milliseconds max_tick_gap{800};
};

/// @brief Failure detection between daemons, without I/O or clock.
///
/// Follows SWIM: one probe in each period to the next peer in a shuffled
/// order, indirect probes, and suspicion that the member itself refutes by a
/// higher incarnation. Peers held for dead are still probed at a lower rate,
/// so that members find each other after a split.
class membership
{
public:
    using datagrams = std::vector<membership_datagram>;

    membership(std::string self, std::uint64_t incarnation, std::uint64_t seed,
               membership_timing timing = {});

    /// @brief Replaces the set of peers; the own row may be among them.
    ///
    /// A peer with a higher incarnation than known counts as restarted.
    void set_peers(std::span<const peer> peers);

    /// @brief Does what is due; call it several times in a probe period.
    datagrams tick(base::steady_time now);

    /// @brief Handles one authenticated datagram and returns the answers.
    datagrams receive(base::steady_time now, const membership_datagram& input);

    /// @brief State of a peer; empty when the member rows do not name it.
    std::optional<wire::member_state> peer_state(std::string_view name) const;

    /// @brief Highest incarnation known of a peer.
    std::optional<std::uint64_t> peer_incarnation(std::string_view name) const;

    /// @brief Time since a datagram of the peer came; empty when none did.
    std::optional<base::milliseconds>
    since_last_datagram(std::string_view name, base::steady_time now) const;

    std::uint64_t incarnation() const
    {
        return incarnation_;
    }

    void set_config_version(std::uint64_t version);

    /// @brief Highest configuration version that any daemon has sent.
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
        /// The suspect has not been probed by this daemon yet.
        bool notification_pending = false;
    };

    /// A probe that this daemon waits for.
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
