#pragma once

#include <cstdint>

namespace mustardwick::testing
{

/// @brief Generates the ids of attempts, leases and transactions from a seed.
///
/// Replaces the random source of OpenSSL for the whole process, so only test
/// programs may call it.
void seed_ids(std::uint64_t seed);

} // namespace mustardwick::testing
