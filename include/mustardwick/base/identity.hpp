#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardwick::base
{

/// @brief Returns a random identifier of 16 hexadecimal characters.
std::string unique_id();

/// @brief Returns the given number of random bytes as hexadecimal text.
std::string random_hex(std::size_t bytes);

/// @brief Returns the SHA-256 hash of "salt:secret" as hexadecimal text.
std::string salted_hash(std::string_view salt, std::string_view secret);

/// @brief Compares two texts in time that depends only on their lengths.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// @brief Returns a hash that is the same in every process and release (FNV-1a
/// with a final mix).
std::uint64_t stable_hash(std::string_view text);

} // namespace mustardwick::base
