#pragma once

#include <string>

#include "testing/scenario/cell.hpp"

namespace mustardwick::testing
{

inline constexpr const char* operator_key_id = "operator";
inline constexpr const char* operator_secret = "operator-secret-for-tests";

/// @brief Returns the text of a daemon's settings file.
///
/// The ports and the relays to the store and for UDP must exist.
std::string daemon_settings(const daemon_entry& daemon,
                            const statement& timing);

} // namespace mustardwick::testing
