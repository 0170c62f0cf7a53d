#include "mustardwick/coordination/settings.hpp"

#include "mustardwick/base/error.hpp"

namespace mustardwick::coordination
{

namespace
{

using base::object_reader;

constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr std::size_t min_secret_bytes = 16;

wire::endpoint read_endpoint(object_reader& reader, const char* name,
                             const std::optional<wire::endpoint>& fallback)
{
    const auto text = reader.text(name, "");
    if (text.empty())
    {
        if (!fallback)
            reader.report(name, "nothing",
                          "give an IP number and a port, such as "
                          "127.0.0.1:7400");
        return fallback.value_or(wire::endpoint{});
    }
    const auto out = wire::parse_endpoint(text);
    if (!out)
        reader.report(name, text, base::last_error().remedy);
    return out.value_or(wire::endpoint{});
}

milliseconds read_duration(object_reader& reader, const char* name,
                           milliseconds fallback)
{
    return milliseconds{
        reader.number(name, fallback.count(), 1, max_duration_ms)};
}

/// Calls the function with a reader of the named object if it is present;
/// reports an error if it is missing and required.
template <typename Function>
void with_object(object_reader& parent, const char* name, bool required,
                 std::vector<std::string>& errors, Function&& function)
{
    const auto* value = parent.raw(name);
    if (value == nullptr)
    {
        if (required)
            parent.report(name, "nothing", "give an object");
        return;
    }
    object_reader reader(*value, name, errors);
    function(reader);
    reader.finish();
}

void read_tls(object_reader& reader, http_settings& out)
{
    out.certificate = reader.text("certificate", "");
    out.private_key = reader.text("private_key", "");
    out.allow_plain = reader.flag("allow_plain", false);
    if (out.certificate.empty() != out.private_key.empty())
        reader.report("private_key", "only one of certificate and key",
                      "give both or neither");
    if (out.certificate.empty() && !out.allow_plain)
        reader.report("certificate", "nothing",
                      "give certificate and private_key, or set allow_plain "
                      "to true");
}

void read_http(object_reader& reader, http_settings& out)
{
    constexpr std::int64_t max_threads = 1024;
    constexpr std::int64_t max_waiting = 1'000'000;
    constexpr std::int64_t max_body = 64LL << 20U;
    out.listen = read_endpoint(reader, "listen", std::nullopt);
    read_tls(reader, out);
    out.max_body_bytes = static_cast<std::uint64_t>(reader.number(
        "max_body_bytes", static_cast<std::int64_t>(out.max_body_bytes), 1024,
        max_body));
    out.read_timeout =
        read_duration(reader, "read_timeout_ms", out.read_timeout);
    out.handler_threads = static_cast<int>(
        reader.number("handler_threads", out.handler_threads, 1, max_threads));
    out.max_waiting_requests = static_cast<int>(reader.number(
        "max_waiting_requests", out.max_waiting_requests, 1, max_waiting));
}

void read_inner(object_reader& reader, inner_settings& out)
{
    out.listen = read_endpoint(reader, "listen", std::nullopt);
    out.udp = read_endpoint(reader, "udp", out.listen);
    out.advertise_tcp = read_endpoint(reader, "advertise_tcp", out.listen);
    out.advertise_udp = read_endpoint(reader, "advertise_udp", out.udp);
    out.secret = reader.required_text("secret");
    if (!out.secret.empty() && out.secret.size() < min_secret_bytes)
        reader.report("secret", "a short text", "give at least 16 characters");
}

void read_key(object_reader& reader, bootstrap_key& out)
{
    out.id = reader.required_text("id");
    out.salt = reader.required_text("salt");
    out.hash = reader.required_text("hash");
}

void read_timing(object_reader& reader, timing_settings& out)
{
    const auto read = [&reader](const char* name, milliseconds& value)
    {
        value = read_duration(reader, name, value);
    };
    read("member_lease_ms", out.member_lease);
    read("table_poll_ms", out.table_poll);
    read("freshness_ms", out.freshness);
    read("worker_lease_ms", out.worker_lease);
    read("worker_renewal_ms", out.worker_renewal);
    read("commit_interval_ms", out.commit_interval);
    read("max_request_time_ms", out.max_request_time);
    read("stop_grace_ms", out.stop_grace);
    if (out.worker_renewal * 2 > out.worker_lease)
        reader.report("worker_renewal_ms",
                      std::to_string(out.worker_renewal.count()),
                      "give at most half of worker_lease_ms");
    if (out.table_poll * 2 > out.freshness)
        reader.report("table_poll_ms", std::to_string(out.table_poll.count()),
                      "give at most half of freshness_ms");
}

void read_level(object_reader& reader, settings& out)
{
    const auto level = reader.text("log_level", "info");
    out.log_level = base::parse_log_level(level);
    const bool known =
        level == "info" || out.log_level != base::log_level::info;
    if (!known)
        reader.report("log_level", level, "give debug, info, warning or error");
}

} // namespace

std::optional<settings> parse_settings(std::string_view text,
                                       std::vector<std::string>& errors)
{
    const auto value = base::parse_json(text);
    if (!value)
    {
        errors.push_back("settings: " + base::last_error().text());
        return std::nullopt;
    }
    settings out;
    object_reader reader(*value, "", errors);
    out.name = reader.required_text("name");
    out.region = reader.text("region", "");
    out.failure_domain = reader.required_text("failure_domain");
    out.table = read_endpoint(reader, "table", std::nullopt);
    out.table_timeout =
        read_duration(reader, "table_timeout_ms", out.table_timeout);
    read_level(reader, out);
    with_object(reader, "http", true, errors,
                [&](object_reader& it)
                {
                    read_http(it, out.http);
                });
    with_object(reader, "inner", true, errors,
                [&](object_reader& it)
                {
                    read_inner(it, out.inner);
                });
    with_object(reader, "operator_key", true, errors,
                [&](object_reader& it)
                {
                    read_key(it, out.operator_key);
                });
    with_object(reader, "timing", false, errors,
                [&](object_reader& it)
                {
                    read_timing(it, out.timing);
                });
    reader.finish();
    if (!errors.empty())
        return base::fail(base::error_kind::invalid_input,
                          "the settings have errors", "correct each of them");
    return out;
}

} // namespace mustardwick::coordination
