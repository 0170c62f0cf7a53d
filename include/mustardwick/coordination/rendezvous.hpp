#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::coordination
{

/// @brief Returns the member that should hold a duty; empty without members.
///
/// Rendezvous hashing: each member computes the same result from the same set
/// of live members in any order, and a change of the set moves only the duties
/// of the member that left or joined.
std::optional<std::string> assigned_member(std::string_view key,
                                           std::span<const std::string> live);

/// @brief The duties among those given that one member should hold.
std::vector<std::string> assigned_keys(std::string_view member,
                                       std::span<const std::string> keys,
                                       std::span<const std::string> live);

} // namespace mustardwick::coordination
