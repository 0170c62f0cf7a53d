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

/// @brief Keeps a daemon acting while the table does not answer it.
///
/// A peer that reaches the table passes on how fresh its copy is. When no peer
/// reaches the table, all known members promise not to change the
/// configuration for a while; then nothing can have changed.
class peer_confirmation
{
public:
    /// @brief Sends a query to several peers at once.
    using query_function =
        std::function<std::vector<std::optional<wire::freshness_answer>>(
            const std::vector<std::string>& peers,
            const wire::freshness_query&)>;

    peer_confirmation(config_store& config, member_registry& registry,
                      change_freeze& freeze, const base::clock& time,
                      base::milliseconds freeze_duration,
                      query_function query_peers);

    /// @brief Asks the peers and confirms what their answers support.
    void confirm_by_peers();

    /// @brief Answers a peer.
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
