#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/coordination/member_registry.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::coordination
{

/// @brief Combines member rows and failure detection into the set of live
/// daemons.
class cluster_view
{
public:
    /// @brief Returns whether failure detection considers a member dead.
    using is_dead_function = std::function<bool(std::string_view)>;

    cluster_view(const member_registry& registry, is_dead_function is_dead);

    /// @brief Returns the members that are not dead, leaving or fenced.
    std::vector<std::string> live_members() const;

    bool is_live(std::string_view name) const;

    /// @brief Returns whether a member is dead, fenced or has no row.
    ///
    /// A leaving member has not failed: it releases its hosts and the planner
    /// leadership by itself. False for this daemon.
    bool has_failed(std::string_view name) const;

    /// @brief Returns the address at which a member accepts internal calls;
    /// empty when it has no row.
    std::optional<wire::endpoint> endpoint_of(std::string_view name) const;

    /// @brief Returns the live member that should own a host or hold the
    /// planner leadership; empty without live members.
    std::string assigned_to(std::string_view key) const;

private:
    bool is_live(const member_record& record) const;

    const member_registry& registry_;
    is_dead_function is_dead_;
};

/// @brief Returns the member with the highest rendezvous hash for a key; empty
/// without members.
std::string choose_member(std::string_view key,
                          const std::vector<std::string>& members);

} // namespace mustardwick::coordination
