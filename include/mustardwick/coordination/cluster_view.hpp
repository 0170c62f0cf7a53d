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

/// @brief Which daemons are live, from member rows and failure detection.
class cluster_view
{
public:
    /// @brief Tells whether failure detection holds a member for dead.
    using is_dead_function = std::function<bool(std::string_view)>;

    cluster_view(const member_registry& registry, is_dead_function is_dead);

    /// @brief Members that are neither dead, leaving nor fenced.
    std::vector<std::string> live_members() const;

    bool is_live(std::string_view name) const;

    /// @brief True when a member is dead, fenced or has no row.
    ///
    /// A leaving member is not gone: it gives its duties up by itself.
    bool has_failed(std::string_view name) const;

    /// @brief Where a member takes internal calls.
    std::optional<wire::endpoint> endpoint_of(std::string_view name) const;

    /// @brief The live member that should have a duty or own a host.
    std::string assigned_to(std::string_view key) const;

private:
    bool is_live(const member_record& record) const;

    const member_registry& registry_;
    is_dead_function is_dead_;
};

/// @brief Rendezvous hashing: the member with the highest score for a duty.
std::string choose_member(std::string_view key,
                          const std::vector<std::string>& members);

} // namespace mustardwick::coordination
