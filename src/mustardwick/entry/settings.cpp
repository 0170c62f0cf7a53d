#include "mustardwick/entry/settings.hpp"

#include <algorithm>
#include <cmath>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::entry
{

namespace
{

constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr std::int64_t max_port = 65'535;

wire::endpoint read_endpoint(base::object_reader& reader, const char* name)
{
    const auto text = reader.required_text(name);
    const auto out = wire::parse_endpoint(text);
    if (!out && !text.empty())
        reader.report(name, text, base::last_error().remedy);
    return out.value_or(wire::endpoint{});
}

/// Reads a number of milliseconds or seconds, which may have a fraction.
milliseconds read_duration(base::object_reader& reader, const char* name,
                           milliseconds fallback, milliseconds unit)
{
    const auto* value = reader.raw(name);
    if (value == nullptr)
        return fallback;
    const auto max = double(max_duration_ms) / double(unit.count());
    if (value->is_number() && value->as_double() >= 0 &&
        value->as_double() <= max)
        return milliseconds(
            std::llround(value->as_double() * double(unit.count())));
    reader.report(name, value->serialize(),
                  "give a number from 0 to " +
                      std::to_string(max_duration_ms / unit.count()));
    return fallback;
}

cell_limits read_limits(const web::json::value& value,
                        std::vector<std::string>& errors)
{
    base::object_reader reader(value, "limits", errors);
    cell_limits out;
    const auto read = [&](const char* name, milliseconds& field,
                          milliseconds unit = milliseconds(1))
    {
        field = read_duration(reader, name, field, unit);
    };
    read("max_lease_ms", out.max_lease);
    read("max_delivery_delay_ms", out.max_delivery_delay);
    read("config_apply_ms", out.config_apply);
    read("grace_ms", out.grace);
    read("grace_s", out.grace, std::chrono::seconds(1));
    read("retention_ms", out.retention);
    read("retention_s", out.retention, std::chrono::seconds(1));
    read("stop_grace_ms", out.stop_grace);
    read("early_start_ms", out.early_start);
    read("duty_lease_ms", out.leadership_lease);
    reader.finish();
    return out;
}

/// Reads a number above 0 that may have a fraction.
double read_positive(base::object_reader& reader, const char* name,
                     double fallback, const char* remedy)
{
    const auto* value = reader.raw(name);
    if (value == nullptr)
        return fallback;
    if (value->is_number() && value->as_double() > 0)
        return value->as_double();
    reader.report(name, value->serialize(), remedy);
    return fallback;
}

policy::host_resources read_resources(base::object_reader& reader)
{
    policy::host_resources out;
    out.processors =
        read_positive(reader, "capacity", out.processors,
                      "set a number above 0; 1.0 is one processor");
    out.link_mbps = read_positive(reader, "link_mbps", out.link_mbps,
                                  "set a number of Mbit/s above 0");
    out.memory_mb =
        std::int64_t(read_positive(reader, "memory_mb", double(out.memory_mb),
                                   "set a number of megabytes above 0"));
    out.descriptors = std::int64_t(
        read_positive(reader, "max_descriptors", double(out.descriptors),
                      "set a number of descriptors above 0"));
    return out;
}

constexpr std::int64_t max_connections = 1'000'000;
constexpr std::int64_t max_connection_memory_mb = 1 << 20;
constexpr std::size_t bytes_per_mb = 1U << 20U;

connection_limits read_connections(const web::json::value& value,
                                   const policy::host_resources& host,
                                   std::vector<std::string>& errors)
{
    base::object_reader reader(value, "connections", errors);
    auto out = default_connection_limits(host);
    const auto read = [&](const char* name, std::size_t& field)
    {
        field = std::size_t(
            reader.number(name, std::int64_t(field), 1, max_connections));
    };
    read("callers", out.callers);
    read("monitoring", out.monitoring);
    read("peers", out.peers);
    out.max_bytes = bytes_per_mb *
                    std::size_t(reader.number(
                        "memory_mb", std::int64_t(out.max_bytes / bytes_per_mb),
                        1, max_connection_memory_mb));
    reader.finish();
    return out;
}

} // namespace

connection_limits default_connection_limits(const policy::host_resources& host)
{
    const auto n = std::size_t(std::max<std::int64_t>(host.descriptors, 64));
    const auto memory_mb =
        std::size_t(std::max<std::int64_t>(host.memory_mb, 1));
    connection_limits out;
    out.callers = std::min<std::size_t>(n * 3 / 8, 2048);
    out.monitoring = std::min<std::size_t>(n / 32, 32);
    out.peers = std::min<std::size_t>(n / 4, 4096);
    out.max_bytes = std::max<std::size_t>(memory_mb / 5, 1) * bytes_per_mb;
    return out;
}

std::optional<settings> parse_settings(std::string_view text,
                                       std::vector<std::string>& errors)
{
    const auto value = base::parse_json(text);
    if (!value)
    {
        errors.push_back(base::last_error().text());
        return std::nullopt;
    }
    base::object_reader reader(*value, "settings", errors);
    settings out;
    out.name = reader.required_text("name");
    out.failure_domain = reader.required_text("failure_domain");
    out.callers = read_endpoint(reader, "callers");
    out.readiness = read_endpoint(reader, "readiness");
    const auto address = reader.required_text("address");
    out.peers = {address,
                 std::uint16_t(reader.number("peer_port", 7400, 1, max_port))};
    out.metrics = {address, std::uint16_t(reader.number("metrics_port", 7415, 1,
                                                        max_port))};
    out.store = read_endpoint(reader, "store");
    if (const auto* advisor = reader.raw("advisor");
        advisor != nullptr && advisor->is_string())
        out.advisor = wire::parse_endpoint(advisor->as_string())
                          .value_or(wire::endpoint{});
    out.resources = read_resources(reader);
    if (const auto* value = reader.raw("keep_apart"))
    {
        if (value->is_boolean())
            out.keeps_apart = value->as_bool();
        else
            reader.report("keep_apart", value->serialize(),
                          "set true or false");
    }
    out.connections = default_connection_limits(out.resources);
    if (const auto* connections = reader.raw("connections"))
        out.connections = read_connections(*connections, out.resources, errors);
    if (const auto* limits = reader.raw("limits"))
        out.limits = read_limits(*limits, errors);
    out.log_level = base::parse_log_level(reader.text("log_level", "info"));
    reader.finish();
    if (!errors.empty())
        return std::nullopt;
    return out;
}

} // namespace mustardwick::entry
