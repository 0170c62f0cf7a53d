#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/entry/messages.hpp"
#include "platform/store_client.hpp"

namespace mustardwick::entry
{

/// Hosts with a smaller share of a processor lead only while no larger one
/// can. A start costs the leader about 0.4 ms, and a large cell starts several
/// hundred tasks a second.
inline constexpr double small_host_capacity = 0.2;

/// @brief Takes the leader's duty when its holder is gone.
///
/// The head row decides: a daemon that has heard nothing from the leader
/// watches the row, and replaces it under a condition once its version has
/// stood still for longer than a leader's renewal takes.
class leader_candidate : public std::enable_shared_from_this<leader_candidate>
{
public:
    struct events
    {
        std::function<void(head_record, std::int64_t version)> acquired;
        /// The head row names this leader.
        std::function<void(const head_record&)> leader_seen;
    };

    leader_candidate(boost::asio::io_context& io, const base::clock& time,
                     platform::store_client& store, member_record self,
                     events on);

    void start();
    void stop();
    /// @brief The leader gave a sign of life.
    void heartbeat_received();
    /// @brief The host of a leader refuses connections: its process is gone.
    void leader_connection_refused(std::int64_t epoch);
    /// @brief The leader hands the duty over.
    void take_over(const hand_over& offer);
    /// @brief While this daemon leads or shuts down.
    void set_paused(bool paused);

private:
    bool is_small() const;
    void tick();
    void read_head();
    void head_read(const durable::store_reply& reply);
    void acquire(std::int64_t epoch, std::int64_t version);
    void acquired(std::int64_t version);

    boost::asio::steady_timer timer_;
    const base::clock& clock_;
    platform::store_client& store_;
    member_record self_;
    events on_;
    base::steady_time last_heartbeat_;
    base::steady_time next_read_;
    base::steady_time read_started_;
    /// Leadership whose process is known to be gone.
    std::int64_t terminated_epoch_ = 0;
    std::optional<std::int64_t> observed_version_;
    base::steady_time observed_since_;
    std::optional<head_record> attempt_;
    bool taking_over_ = false;
    bool call_open_ = false;
    bool paused_ = false;
    bool stopped_ = false;
};

} // namespace mustardwick::entry
