#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/coordination/member_registry.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

/// @brief Confirms configuration and membership through peers, so that a daemon
/// can keep acting while it cannot reach the table.
///
/// A peer that reaches the table reports the age of its copies of the
/// configuration and the member rows. When no peer reaches the table, all known
/// members agree to a change freeze; while it lasts, no member can change the
/// configuration or fence another member.
class peer_confirmation
{
public:
    /// @brief Sends a query to several peers in parallel; an answer is empty
    /// when that peer did not give one.
    using query_function =
        std::function<std::vector<std::optional<wire::freshness_answer>>(
            const std::vector<std::string>& peers,
            const wire::freshness_query&)>;

    peer_confirmation(config_store& config, member_registry& registry,
                      change_freeze& freeze, const base::clock& time,
                      base::milliseconds freeze_duration,
                      query_function query_peers);

    /// @brief Queries all known peers and extends the freshness of the
    /// configuration and this daemon's authority as far as the answers allow.
    void confirm_by_peers();

    /// @brief Answers the query of a peer, and freezes changes by this daemon
    /// for the requested time unless one is in progress.
    wire::freshness_answer answer(const wire::freshness_query& query);

private:
    std::vector<std::string> known_peers() const;

    config_store& config_;
    member_registry& registry_;
    change_freeze& freeze_;
    const base::clock& clock_;
    base::milliseconds freeze_duration_;
    query_function query_peers_;
};

} // namespace mustardwick::coordination
