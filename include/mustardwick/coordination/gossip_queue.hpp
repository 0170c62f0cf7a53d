#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/wire/membership_messages.hpp"

namespace mustardwick::coordination
{

/// @brief Membership claims that are still to be gossiped, at most one per
/// member.
class gossip_queue
{
public:
    /// @brief Queues a claim for a number of transmissions; replaces the queued
    /// claim about the same member.
    void put(const wire::member_claim& claim, int transmissions);

    /// @brief Removes the queued claim about a member, if there is one.
    void erase(std::string_view name);

    /// @brief Returns the claims with the most transmissions left, up to a
    /// number of encoded bytes, and counts one transmission of each.
    std::vector<wire::member_claim> take(std::size_t max_bytes);

private:
    struct entry
    {
        wire::member_claim claim;
        int remaining = 0;
    };

    std::map<std::string, entry, std::less<>> entries_;
};

/// @brief Returns the encoded size of a claim in bytes.
std::size_t encoded_size(const wire::member_claim& claim);

} // namespace mustardwick::coordination
