#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "mustardwick/cli/resource.hpp"

namespace mustardwick::cli
{

/// @brief One resource in a file passed to apply.
struct declared_resource
{
    resource_id id;
    web::json::value desired;
    /// The version that the change is based on, when the file contains it.
    std::optional<std::int64_t> version;
};

/// @brief Parses one resource or an array of them.
///
/// Fails with kind invalid_input; the message lists all errors in the file.
std::optional<std::vector<declared_resource>>
parse_resources(std::string_view text);

} // namespace mustardwick::cli
