#include "mustardwick/entry/settings.hpp"

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

milliseconds read_duration(base::object_reader& reader, const char* name,
                           milliseconds fallback)
{
    return milliseconds{
        reader.number(name, fallback.count(), 0, max_duration_ms)};
}

cell_limits read_limits(const web::json::value& value,
                        std::vector<std::string>& errors)
{
    base::object_reader reader(value, "limits", errors);
    cell_limits out;
    out.max_lease = read_duration(reader, "max_lease_ms", out.max_lease);
    out.config_apply =
        read_duration(reader, "config_apply_ms", out.config_apply);
    out.grace = read_duration(reader, "grace_ms", out.grace);
    out.retention = read_duration(reader, "retention_ms", out.retention);
    out.stop_grace = read_duration(reader, "stop_grace_ms", out.stop_grace);
    out.early_start = read_duration(reader, "early_start_ms", out.early_start);
    out.leadership_lease =
        read_duration(reader, "duty_lease_ms", out.leadership_lease);
    reader.finish();
    return out;
}

double read_capacity(base::object_reader& reader)
{
    const auto* value = reader.raw("capacity");
    if (value == nullptr)
        return 1.0;
    if (value->is_number() && value->as_double() > 0)
        return value->as_double();
    reader.report("capacity", value->serialize(),
                  "set a number above 0; 1.0 is one processor");
    return 1.0;
}

} // namespace

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
    out.capacity = read_capacity(reader);
    if (const auto* limits = reader.raw("limits"))
        out.limits = read_limits(*limits, errors);
    out.log_level = base::parse_log_level(reader.text("log_level", "info"));
    reader.finish();
    if (!errors.empty())
        return std::nullopt;
    return out;
}

} // namespace mustardwick::entry
