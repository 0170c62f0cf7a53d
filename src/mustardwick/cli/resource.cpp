#include "mustardwick/cli/resource.hpp"

#include <algorithm>
#include <array>

#include "mustardwick/base/error.hpp"

namespace mustardwick::cli
{

namespace
{

constexpr std::array<std::string_view, 5> kinds = {"queues", "teams", "keys",
                                                   "hosts", "failure-domains"};

std::string path_of_resource(const resource_id& id)
{
    return path_of({"v1", "resources", id.kind, id.name});
}

} // namespace

std::optional<std::string> parse_kind(const std::string& text)
{
    for (const auto it : kinds)
        if (text == it || text + "s" == it)
            return std::string(it);
    std::string known;
    for (const auto it : kinds)
        known += (known.empty() ? "" : ", ") + std::string(it);
    return base::fail(base::error_kind::invalid_input,
                      "unknown kind '" + text + "'", "give one of " + known);
}

std::optional<api_answer> list_resources(daemon_client& daemons,
                                         const std::string& kind)
{
    return daemons.call({.target = path_of({"v1", "resources", kind})});
}

std::optional<api_answer> get_resource(daemon_client& daemons,
                                       const resource_id& id)
{
    return daemons.call({.target = path_of_resource(id)});
}

std::optional<api_answer> create_resource(daemon_client& daemons,
                                          const resource_id& id,
                                          const web::json::value& desired)
{
    auto body = web::json::value::object();
    body["desired"] = desired;
    return daemons.call({.method = "POST",
                         .target = path_of_resource(id),
                         .body = body.serialize(),
                         .policy = resend::only_if_not_sent});
}

std::optional<api_answer> replace_resource(daemon_client& daemons,
                                           const resource_id& id,
                                           const web::json::value& desired,
                                           std::int64_t version)
{
    auto body = web::json::value::object();
    body["desired"] = desired;
    body["version"] = web::json::value::number(version);
    return daemons.call({.method = "PUT",
                         .target = path_of_resource(id),
                         .body = body.serialize(),
                         .policy = resend::only_if_not_sent});
}

std::optional<api_answer> delete_resource(daemon_client& daemons,
                                          const resource_id& id,
                                          std::int64_t version)
{
    return daemons.call(
        {.method = "DELETE",
         .target = path_of_resource(id) + "?version=" + std::to_string(version),
         .policy = resend::only_if_not_sent});
}

} // namespace mustardwick::cli
