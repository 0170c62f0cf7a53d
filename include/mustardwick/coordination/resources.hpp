#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/policy/types.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::coordination
{

/// @brief The kinds of resources that operators declare.
enum class resource_kind
{
    queue,
    team,
    key,
    host,
    failure_domain
};

/// @brief Returns the name of a kind in paths and table keys.
std::string_view plural_name_of(resource_kind kind);

/// @brief Parses the plural name of a kind; error_kind::not_found for any other
/// name.
std::optional<resource_kind> parse_resource_kind(std::string_view plural);

/// @brief A queue; one without a team is open to all teams.
struct queue_spec
{
    std::string team;
    /// Accepts requests instead of jobs.
    bool takes_requests = false;
};

/// @brief A team's weight in fair sharing and its upper limits; -1 means
/// unlimited.
struct team_spec
{
    std::int64_t share = 1;
    policy::resources limit{-1, -1, -1};
    /// Concurrent requests.
    std::int64_t request_limit = -1;
};

/// @brief An API key; only its salted hash is stored.
struct key_spec
{
    std::string team;
    std::string salt;
    std::string hash;
    bool withdrawn = false;
};

/// @brief A host and the worker that runs on it.
struct host_spec
{
    wire::endpoint address;
    std::string worker;
    std::string failure_domain;
    std::string rack;
    policy::resources capacity;
    /// Concurrent requests that the worker accepts.
    int slots = 0;
    /// Concurrent connections that the worker accepts.
    int connections = 0;
    bool in_service = true;
};

/// @brief A group of hosts that can fail together.
struct failure_domain_spec
{
    bool in_service = true;
    std::string region;
};

/// @brief All resources at one configuration version.
struct configuration
{
    std::uint64_t version = 0;
    std::map<std::string, queue_spec, std::less<>> queues;
    std::map<std::string, team_spec, std::less<>> teams;
    std::map<std::string, key_spec, std::less<>> keys;
    std::map<std::string, host_spec, std::less<>> hosts;
    std::map<std::string, failure_domain_spec, std::less<>> failure_domains;

    /// @brief Returns whether the host and its failure domain are declared and
    /// in service.
    bool in_service(std::string_view host) const;
};

/// @brief An entry of the configuration's change log.
struct configuration_change
{
    std::uint64_t version = 0;
    resource_kind kind = resource_kind::queue;
    std::string name;
    bool deleted = false;
    /// The desired state of the resource as JSON text.
    std::string desired;
};

/// @brief Returns whether a resource name is valid: 1 to 64 ASCII letters,
/// digits, '.', '_' or '-'.
bool is_valid_name(std::string_view name);

/// @brief Validates the desired state of a resource.
///
/// Appends one message per invalid field, with its path, value and remedy.
void check_desired(resource_kind kind, const web::json::value& desired,
                   std::vector<std::string>& errors);

/// @brief Applies one change and raises the configuration's version to that of
/// the change.
void apply_change(configuration& target, const configuration_change& change);

} // namespace mustardwick::coordination
