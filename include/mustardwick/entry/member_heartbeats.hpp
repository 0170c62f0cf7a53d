#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "mustardwick/aio/peer_hub.hpp"
#include "mustardwick/base/clock.hpp"
#include "mustardwick/entry/messages.hpp"

namespace mustardwick::entry
{

/// @brief The leader's view of a member.
struct member_state
{
    member_record record;
    /// Send time of the last heartbeat that the member answered.
    base::steady_time confirmed;
    /// When the store last answered the member, by this host's clock.
    base::steady_time store_answered;
    bool leaving = false;
    /// Processor speed relative to the best that the member has shown.
    double speed = 1.0;
    /// Time that the last heartbeat took to be answered.
    std::chrono::milliseconds round_trip{0};
    bool heartbeat_open = false;
    bool responsive = false;
    base::steady_time next_heartbeat;
};

/// @brief A member that could take over, and how well it would lead.
struct successor
{
    member_record record;
    double suitability = 0;
};

/// @brief Sends the leader's heartbeats and tracks the members' replies.
///
/// A member that has taken over replies with a newer epoch. Any other reply
/// proves that it had not done so when the heartbeat was sent.
class member_heartbeats : public std::enable_shared_from_this<member_heartbeats>
{
public:
    using newer_epoch_handler = std::function<void(std::int64_t)>;

    member_heartbeats(boost::asio::io_context& io, const base::clock& time,
                      aio::peer_hub& peers, leader_heartbeat heartbeat,
                      newer_epoch_handler superseded);

    void start();
    void stop();
    void add(const member_record& record);
    void set_configuration(std::int64_t version);
    /// @brief Sets what the cell needs of a leader; the members' suitability
    /// and the order of succession follow from it.
    void set_needs(const policy::leader_needs& needs);
    /// @brief Sets whether the store fails for the leader. When it starts to
    /// fail, heartbeats are sent more often for a while.
    void set_store_failing(bool failing);

    /// @brief Returns the latest time at which no member that may still be
    /// running had taken over; std::nullopt when no member may still be
    /// running.
    std::optional<base::steady_time> confirmed() const;

    /// @brief Returns the most suitable reachable member that the store
    /// answered later than after; std::nullopt when there is none.
    std::optional<successor>
    best_with_store_access(base::steady_time after) const;

    /// @brief Returns the highest suitability among the reachable members; 0
    /// when there is none.
    double best_suitability() const
    {
        return best_suitability_;
    }

    /// @brief Returns the median time that the last heartbeats took to be
    /// answered. A single slow member does not change it; a slow link or
    /// processor of this host does.
    std::chrono::milliseconds median_round_trip() const
    {
        return median_round_trip_;
    }

    /// @brief Returns the members that replied recently and are not shutting
    /// down; valid until a member is added.
    std::vector<const member_record*> reachable() const;

private:
    void tick();
    /// Updates the figures about all members, once a tick: computing them for
    /// each heartbeat would take time that grows with the square of the cell.
    void update_summary();
    void send(const std::string& name);
    std::chrono::milliseconds interval() const;
    bool is_recent(const member_state& it) const;
    double suitability(const member_state& it) const;

    boost::asio::steady_timer timer_;
    const base::clock& clock_;
    aio::peer_hub& peers_;
    leader_heartbeat heartbeat_;
    newer_epoch_handler superseded_;
    std::map<std::string, member_state> members_;
    policy::leader_needs needs_ =
        policy::needs_of_cell(policy::assumed_workers);
    double best_suitability_ = 0;
    std::chrono::milliseconds median_round_trip_{0};
    base::steady_time frequent_until_;
    bool stopped_ = false;
};

} // namespace mustardwick::entry
