#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/ports/table.hpp"

namespace mustardwick::testing
{

/// @brief Reads a transaction from the body of a commit call.
std::optional<ports::transaction>
parse_transaction(std::string_view body, std::vector<std::string>& errors);

web::json::value to_json(const ports::row& value);
web::json::value to_json(const ports::check& value);

} // namespace mustardwick::testing
