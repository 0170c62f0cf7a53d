#pragma once

#include <span>
#include <string>

#include "mustardwick/cli/exit_code.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

/// @brief Runs the program with its command line arguments, without the name.
exit_code run_program(std::span<const std::string> words, console& io);

} // namespace mustardwick::cli
