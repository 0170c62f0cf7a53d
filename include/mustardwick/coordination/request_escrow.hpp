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
#include "mustardwick/coordination/escrow_holders.hpp"
#include "mustardwick/coordination/records.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::coordination
{

/// @brief Dependencies of the escrow.
struct escrow_links
{
    ports::table table;
    const config_store& config;
    const base::clock& clock;
    /// Parts belong to incarnations, because requests of the previous one may
    /// still be running against its part.
    escrow_holders& holders;
    /// Returns the number of live daemons.
    std::function<std::size_t()> live_members;
    /// Asks a peer to transfer some of its part. Returns the amount
    /// granted; std::nullopt when the peer is unreachable.
    std::function<std::optional<std::int64_t>(
        const std::string& peer, const std::string& team, std::int64_t amount)>
        request_transfer;
};

/// @brief Enforces each team's limit of running requests across all daemons.
///
/// A team's row in the table divides the limit into parts, one per daemon,
/// whose sum is at most the limit. Until a daemon has terminated, only the
/// daemon itself lowers its part, and it stops using the difference before it
/// commits the row. A part grows only by a committed row.
class request_escrow
{
public:
    /// @brief Parts of a terminated daemon are reclaimed after the given time,
    /// by when its requests have ended.
    request_escrow(escrow_links links, std::chrono::milliseconds reclaim_after);

    /// @brief Reserves capacity for one running request of a team.
    ///
    /// Tries once to enlarge this daemon's part when it is used up. Returns
    /// false when no capacity is available. Unlimited teams always succeed.
    bool acquire(const std::string& team);

    /// @brief Releases a reserved request that has ended.
    void release(const std::string& team);

    /// @brief Releases, at a given time, a reserved request that may run until
    /// then.
    void release_at(const std::string& team, base::steady_time time);

    /// @brief Transfers some of this daemon's part to a peer.
    ///
    /// Returns the amount transferred, 0 when nothing is free, another write
    /// is in progress or the commit is not confirmed.
    std::int64_t transfer(const std::string& team, const std::string& receiver,
                          std::int64_t amount);

    /// @brief Obtains a first part for each limited team, applies changed
    /// limits and reclaims parts of terminated daemons; call periodically.
    void tick();

    /// @brief Releases all parts of this daemon, for a planned shutdown.
    void release_all();

    /// @brief Returns the parts of a team as last read; std::nullopt when they
    /// have not been read yet.
    std::optional<escrow_record> parts(const std::string& team) const;

private:
    struct account
    {
        escrow_record record;
        std::uint64_t version = 0;
        bool loaded = false;
        /// Upper bound of requests that this daemon may run.
        std::int64_t part = 0;
        /// Name and incarnation of this daemon for which the part is valid.
        std::string holder;
        std::int64_t in_use = 0;
        base::steady_time next_obtain{};
        /// Times at which requests of unknown outcome count as ended.
        std::multiset<base::steady_time> releases;
    };

    void release_due(account& it) const;
    account& own_account(const std::string& team);

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
    std::map<std::string, base::steady_time> terminated_since_;
};

} // namespace mustardwick::coordination
