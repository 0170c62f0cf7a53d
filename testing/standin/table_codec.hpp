#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/ports/table.hpp"

namespace mustardwick::testing
{

/// @brief Parses the body of a commit call; on failure adds to the errors and
/// returns std::nullopt.
std::optional<ports::transaction>
parse_transaction(std::string_view body, std::vector<std::string>& errors);

web::json::value to_json(const ports::row& value);
web::json::value to_json(const ports::check& value);

} // namespace mustardwick::testing
