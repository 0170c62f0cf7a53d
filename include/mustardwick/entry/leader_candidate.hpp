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

/// @brief Acquires leadership when the leader fails.
///
/// The head row is authoritative. A daemon that has received no heartbeat from
/// the leader polls the row. Once its version has been unchanged for longer
/// than a leader's renewal takes, the daemon replaces the row conditionally on
/// that version. Less suitable hosts wait longer, so that the most suitable one
/// that reaches the store acquires leadership.
class leader_candidate : public std::enable_shared_from_this<leader_candidate>
{
public:
    struct events
    {
        std::function<void(head_record, std::int64_t version)> acquired;
        /// Called when the head row names another leader.
        std::function<void(const head_record&)> leader_seen;
        /// Returns whether this daemon has a configuration. A leader without
        /// one would place recovered jobs beyond the limits of their accounts.
        std::function<bool()> is_configured;
    };

    leader_candidate(boost::asio::io_context& io, const base::clock& time,
                     platform::store_client& store, member_record self,
                     events on);

    void start();
    void stop();
    /// @brief Records a heartbeat of the leader and the turn in which this
    /// daemon may replace it.
    void heartbeat_received(int succession_tier);
    /// @brief Records that connections to the given epoch's leader are refused.
    ///
    /// Its process may have terminated, or the path to it rejects connections:
    /// only the head row shows whether it still renews its leadership.
    void leader_connection_refused(std::int64_t epoch);
    /// @brief Acquires leadership that the leader has handed over.
    void take_over(const hand_over& offer);
    /// @brief Suspends or resumes the election. It is suspended while this
    /// daemon leads or shuts down.
    void set_paused(bool paused);

private:
    /// Returns how long this daemon waits for more suitable ones.
    std::chrono::milliseconds succession_delay() const;
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
    /// Epoch whose leader's host refused a connection; 0 for none.
    std::int64_t refused_epoch_ = 0;
    std::optional<std::int64_t> observed_version_;
    base::steady_time observed_since_;
    std::optional<head_record> attempt_;
    int succession_tier_;
    bool taking_over_ = false;
    bool call_open_ = false;
    bool paused_ = false;
    bool stopped_ = false;
};

} // namespace mustardwick::entry
