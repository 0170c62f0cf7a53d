#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <cpprest/json.h>

#include "mustardwick/cli/daemon_client.hpp"

namespace mustardwick::cli
{

/// @brief Identifies one resource by kind and name.
struct resource_id
{
    std::string kind;
    std::string name;

    std::string text() const
    {
        return kind + "/" + name;
    }
};

/// @brief Returns the kind as used in the API; also accepts the singular.
///
/// Fails with kind invalid_input on an unknown kind.
std::optional<std::string> parse_kind(const std::string& text);

std::optional<api_answer> list_resources(daemon_client& daemons,
                                         const std::string& kind);
std::optional<api_answer> get_resource(daemon_client& daemons,
                                       const resource_id& id);
std::optional<api_answer> create_resource(daemon_client& daemons,
                                          const resource_id& id,
                                          const web::json::value& desired);

/// @brief Replaces the desired state if the given version is the current one.
std::optional<api_answer> replace_resource(daemon_client& daemons,
                                           const resource_id& id,
                                           const web::json::value& desired,
                                           std::int64_t version);
std::optional<api_answer> delete_resource(daemon_client& daemons,
                                          const resource_id& id,
                                          std::int64_t version);

} // namespace mustardwick::cli
