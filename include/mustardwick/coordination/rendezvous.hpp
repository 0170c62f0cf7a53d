#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::coordination
{

/// @brief Returns the member to which a key is assigned; empty without members.
///
/// Rendezvous hashing: each member computes the same result from the same set
/// of live members in any order, and a change of the set moves only the keys
/// of the member that left or joined.
std::optional<std::string> assigned_member(std::string_view key,
                                           std::span<const std::string> live);

/// @brief Returns those of the given keys that are assigned to a member.
std::vector<std::string> assigned_keys(std::string_view member,
                                       std::span<const std::string> keys,
                                       std::span<const std::string> live);

} // namespace mustardwick::coordination
