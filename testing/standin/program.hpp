#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::testing
{

/// @brief Blocks SIGTERM and SIGINT; call before any thread starts.
void block_stop_signals();

/// @brief Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

/// @brief Writes {"ports":[...]} to standard output and, unless the name is
/// empty, to a file; false when the file cannot be written.
///
/// The file is renamed into place so that a reader never sees partial content.
bool announce_ports(const std::vector<std::uint16_t>& ports,
                    const std::string& file);

/// @brief Splits text at a separator; an empty text has no parts.
std::vector<std::string> split(std::string_view text, char separator);

} // namespace mustardwick::testing
