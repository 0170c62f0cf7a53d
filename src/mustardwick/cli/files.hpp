#pragma once

#include <istream>
#include <optional>
#include <string>

namespace mustardwick::cli
{

/// @brief Reads a whole file; the name "-" means the input stream.
///
/// Fails with kind invalid_input when the file cannot be read.
std::optional<std::string> read_file(const std::string& name,
                                     std::istream& input);

} // namespace mustardwick::cli
