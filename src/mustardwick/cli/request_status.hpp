#pragma once

#include <string>

#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

/// @brief Queries and prints the outcome of a non-idempotent request.
exit_code show_request(context& call, const std::string& id);

} // namespace mustardwick::cli
