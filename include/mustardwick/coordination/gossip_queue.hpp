#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/wire/membership_messages.hpp"

namespace mustardwick::coordination
{

/// @brief Claims that are still to be spread, at most one for each member.
class gossip_queue
{
public:
    /// @brief Replaces the claim about the member and sends it n times.
    void put(const wire::member_claim& claim, int transmissions);

    /// @brief Removes the claim about a member that is gone.
    void erase(std::string_view name);

    /// @brief Takes the claims least often sent, up to a number of bytes.
    std::vector<wire::member_claim> take(std::size_t max_bytes);

private:
    struct entry
    {
        wire::member_claim claim;
        int remaining = 0;
    };

    std::map<std::string, entry, std::less<>> entries_;
};

/// @brief Encoded size of a claim.
std::size_t encoded_size(const wire::member_claim& claim);

} // namespace mustardwick::coordination
