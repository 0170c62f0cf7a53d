#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardwick::wire
{

/// @brief An IP address and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// @brief Parses "address:port" or "[address]:port".
///
/// The address must be numeric; host names are not resolved. Returns
/// std::nullopt with last_error() of kind invalid_input otherwise.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// @brief Formats an endpoint as parse_endpoint() reads it; IPv6 addresses are
/// enclosed in brackets.
std::string to_string(const endpoint& value);

} // namespace mustardwick::wire
