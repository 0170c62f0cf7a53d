#pragma once

#include <string>
#include <string_view>

#include <cpprest/json.h>

#include "mustardwick/cli/table.hpp"

namespace mustardwick::cli
{

/// @brief Builds a table with one row per resource, with its name, version,
/// desired fields and observed state.
table make_resource_table(std::string_view kind, const web::json::value& items);

/// @brief Formats the members of an object as name=value pairs.
std::string pairs_of(const web::json::value& object);

/// @brief Formats a value: null is empty, strings are unquoted, others are
/// JSON.
std::string cell_of(const web::json::value& value);

} // namespace mustardwick::cli
