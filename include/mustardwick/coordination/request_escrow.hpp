#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/coordination/records.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::coordination
{

/// @brief What the escrow needs from the rest of the daemon.
struct escrow_links
{
    ports::table table;
    const config_store& config;
    const base::clock& clock;
    /// Name and incarnation of this daemon: a restarted daemon must not use
    /// the part of requests that its predecessor may still have running.
    std::function<std::string()> self;
    std::function<bool(const std::string& daemon)> has_failed;
    std::function<std::size_t()> live_members;
    /// Asks a peer to give up part of its allocation; empty when it cannot be
    /// reached.
    std::function<std::optional<std::int64_t>(
        const std::string& peer, const std::string& team, std::int64_t amount)>
        request_transfer;
};

/// @brief Keeps each team's running requests within its limit across the fleet.
///
/// The row of a team holds each daemon's part; the parts sum to at most the
/// limit. A part is lowered only by its daemon, which stops using it before it
/// commits, and raised only by a committed row.
class request_escrow
{
public:
    request_escrow(escrow_links links, std::chrono::milliseconds reclaim_after);

    /// @brief Takes one running request from the own part.
    bool acquire(const std::string& team);
    void release(const std::string& team);

    /// @brief Releases a request that may still be running at a given time.
    void release_at(const std::string& team, base::steady_time time);

    /// @brief Gives part of the own allocation to a peer.
    std::int64_t transfer(const std::string& team, const std::string& receiver,
                          std::int64_t amount);

    /// @brief Follows changed limits and reclaims parts of dead daemons.
    void tick();

    /// @brief Gives all parts up, for a planned stop.
    void release_all();

    /// @brief The parts as last read; for the observed state of a team.
    std::optional<escrow_record> parts(const std::string& team) const;

private:
    struct account
    {
        escrow_record record;
        std::uint64_t version = 0;
        bool loaded = false;
        std::int64_t part = 0;
        /// Name and incarnation that the part belongs to.
        std::string holder;
        std::int64_t in_use = 0;
        base::steady_time next_attempt{};
        /// When requests of unknown outcome count as ended.
        std::multiset<base::steady_time> releases;
    };

    void release_due(account& it) const;

    std::int64_t limit_of(const std::string& team) const;
    bool reload(const std::string& team);
    bool write(const std::string& team, const escrow_record& next,
               std::uint64_t expected);
    void preallocate();
    void obtain_part(const std::string& team);
    void apply_limit(const std::string& team, std::int64_t limit);
    void lower_own_part(const std::string& team, std::int64_t limit);
    void reclaim(const std::string& team);
    account copy_of(const std::string& team) const;

    escrow_links links_;
    std::chrono::milliseconds reclaim_after_;
    mutable std::mutex mutex_;
    std::mutex write_mutex_;
    std::map<std::string, account> accounts_;
    std::map<std::string, base::steady_time> failed_since_;
};

} // namespace mustardwick::coordination
