#include "mustardwick/coordination/resources.hpp"

#include <algorithm>
#include <array>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::coordination
{

namespace
{

using base::object_reader;

constexpr std::array<std::string_view, 5> plural_names = {
    "queues", "teams", "keys", "hosts", "failure-domains"};
constexpr std::size_t max_name_bytes = 64;
constexpr std::int64_t max_amount = 1'000'000'000'000;
constexpr std::int64_t max_share = 1'000'000;
constexpr std::int64_t max_slots = 100'000;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

queue_spec read_queue(object_reader& reader)
{
    queue_spec out;
    out.team = reader.text("team", "");
    const auto kind = reader.text("kind", "jobs");
    out.takes_requests = kind == "requests";
    if (kind != "requests" && kind != "jobs")
        reader.report("kind", kind, "give requests or jobs");
    return out;
}

team_spec read_team(object_reader& reader)
{
    team_spec out;
    out.share = reader.number("share", 1, 1, max_share);
    out.limit.millicpus = reader.number("limit_millicpus", -1, -1, max_amount);
    out.limit.memory_mb = reader.number("limit_memory_mb", -1, -1, max_amount);
    out.limit.accelerators =
        reader.number("limit_accelerators", -1, -1, max_amount);
    out.request_limit = reader.number("limit_requests", -1, -1, max_amount);
    return out;
}

key_spec read_key(object_reader& reader)
{
    key_spec out;
    out.team = reader.required_text("team");
    out.salt = reader.text("salt", "");
    out.hash = reader.text("hash", "");
    out.withdrawn = reader.flag("withdrawn", false);
    return out;
}

host_spec read_host(object_reader& reader)
{
    host_spec out;
    const auto address = reader.required_text("address");
    const auto parsed = wire::parse_endpoint(address);
    if (!parsed && !address.empty())
        reader.report("address", address, base::last_error().remedy);
    out.address = parsed.value_or(wire::endpoint{});
    out.worker = reader.required_text("worker");
    out.failure_domain = reader.required_text("failure_domain");
    out.rack = reader.text("rack", "");
    out.capacity.millicpus = reader.number("millicpus", 0, 0, max_amount);
    out.capacity.memory_mb = reader.number("memory_mb", 0, 0, max_amount);
    out.capacity.accelerators = reader.number("accelerators", 0, 0, max_amount);
    out.slots = static_cast<int>(reader.number("slots", 0, 0, max_slots));
    out.connections =
        static_cast<int>(reader.number("connections", 0, 0, max_slots));
    out.in_service = reader.flag("in_service", true);
    return out;
}

failure_domain_spec read_failure_domain(object_reader& reader)
{
    failure_domain_spec out;
    out.in_service = reader.flag("in_service", true);
    out.region = reader.text("region", "");
    return out;
}

/// Inserts the parsed resource into its map, or removes it. A desired state
/// that is not valid JSON is ignored.
template <typename Map, typename Read>
void store(Map& map, const configuration_change& change, Read&& read)
{
    if (change.deleted)
    {
        map.erase(change.name);
        return;
    }
    const auto value = base::parse_json(change.desired);
    if (!value)
        return;
    std::vector<std::string> ignored;
    object_reader reader(*value, "desired", ignored);
    map.insert_or_assign(change.name, read(reader));
}

} // namespace

std::string_view plural_name_of(resource_kind kind)
{
    return plural_names.at(static_cast<std::size_t>(kind));
}

std::optional<resource_kind> parse_resource_kind(std::string_view plural)
{
    const auto it = std::find(plural_names.begin(), plural_names.end(), plural);
    if (it == plural_names.end())
        return base::fail(base::error_kind::not_found,
                          "no resource kind " + std::string(plural),
                          "give queues, teams, keys, hosts or failure-domains");
    return static_cast<resource_kind>(it - plural_names.begin());
}

bool is_valid_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_bytes &&
           std::all_of(name.begin(), name.end(), is_name_character);
}

bool configuration::in_service(std::string_view host) const
{
    const auto it = hosts.find(host);
    if (it == hosts.end() || !it->second.in_service)
        return false;
    const auto domain = failure_domains.find(it->second.failure_domain);
    return domain != failure_domains.end() && domain->second.in_service;
}

void check_desired(resource_kind kind, const web::json::value& desired,
                   std::vector<std::string>& errors)
{
    object_reader reader(desired, "desired", errors);
    switch (kind)
    {
    case resource_kind::queue:
        read_queue(reader);
        break;
    case resource_kind::team:
        read_team(reader);
        break;
    case resource_kind::key:
        read_key(reader);
        break;
    case resource_kind::host:
        read_host(reader);
        break;
    case resource_kind::failure_domain:
        read_failure_domain(reader);
        break;
    }
    reader.finish();
}

void apply_change(configuration& target, const configuration_change& change)
{
    switch (change.kind)
    {
    case resource_kind::queue:
        store(target.queues, change, read_queue);
        break;
    case resource_kind::team:
        store(target.teams, change, read_team);
        break;
    case resource_kind::key:
        store(target.keys, change, read_key);
        break;
    case resource_kind::host:
        store(target.hosts, change, read_host);
        break;
    case resource_kind::failure_domain:
        store(target.failure_domains, change, read_failure_domain);
        break;
    }
    target.version = std::max(target.version, change.version);
}

} // namespace mustardwick::coordination
