#include "mustardwick/operators/operator_api.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::operators
{

namespace json = web::json;
using base::error_kind;
using coordination::change_precondition;
using coordination::change_request;
using coordination::resource_kind;
using std::chrono::milliseconds;

namespace
{

constexpr std::string_view resources_path = "/v1/resources/";
constexpr std::string_view keys_path = "/v1/keys";
constexpr milliseconds max_watch_time{20'000};
constexpr milliseconds watch_poll_interval{50};
constexpr std::size_t secret_bytes = 24;
constexpr std::size_t salt_bytes = 12;
constexpr int withdraw_attempts = 8;

json::value text(std::string_view value)
{
    return json::value::string(std::string(value));
}

http::response last_failure()
{
    return http::error_response(base::last_error());
}

http::response invalid(const std::string& message, const std::string& remedy)
{
    return http::error_response({error_kind::invalid_input, message, remedy});
}

http::response to_response(const json::value& body, int status = 200)
{
    http::response out;
    out.status = status;
    out.body = body.serialize();
    return out;
}

std::optional<std::uint64_t> parse_number(const std::string& value)
{
    std::uint64_t out = 0;
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, out);
    if (value.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return base::fail(error_kind::invalid_input, "not a version: " + value,
                          "give a whole number");
    return out;
}

http::response version_conflict(std::uint64_t current_version)
{
    auto body = json::value::object();
    body["error"] = text("conflict");
    body["message"] =
        text(current_version == 0 ? "the resource does not exist"
                                  : "the resource has another version");
    body["remedy"] = text("read the resource and decide again");
    body["current_version"] = json::value::number(current_version);
    return to_response(body, http::status_of(error_kind::conflict));
}

json::value parse_or_null(const std::string& source)
{
    return base::parse_json(source).value_or(json::value::null());
}

/// Removes the salt and the hash of a key, which are never disclosed.
json::value redacted_desired(resource_kind kind, const std::string& desired)
{
    auto out = parse_or_null(desired);
    if (kind == resource_kind::key && out.is_object())
    {
        if (out.has_field("salt"))
            out.erase("salt");
        if (out.has_field("hash"))
            out.erase("hash");
    }
    return out;
}

std::string encode_key(const std::string& team, const std::string& salt,
                       const std::string& hash, bool withdrawn)
{
    auto out = json::value::object();
    out["team"] = text(team);
    out["salt"] = text(salt);
    out["hash"] = text(hash);
    out["withdrawn"] = json::value::boolean(withdrawn);
    return out.serialize();
}

} // namespace

operator_api::operator_api(operator_api_links links) : links_(std::move(links))
{
}

json::value operator_api::encode(const coordination::stored_resource& resource)
{
    auto out = json::value::object();
    out["kind"] = text(plural_name_of(resource.kind));
    out["name"] = text(resource.name);
    out["version"] = json::value::number(resource.version);
    out["desired"] = redacted_desired(resource.kind, resource.desired);
    out["observed"] = links_.observe(resource.kind, resource.name);
    return out;
}

http::response operator_api::handle(const http::request& call)
{
    const std::string_view path = call.path;
    if (path == keys_path && call.method == "POST")
        return grant_key(call);
    if (path.starts_with(keys_path) && call.method == "DELETE" &&
        path.size() > keys_path.size() + 1)
        return withdraw_key(std::string(path.substr(keys_path.size() + 1)));
    if (!path.starts_with(resources_path))
        return http::error_response({error_kind::not_found,
                                     "no such operation on " + call.path,
                                     "see docs/interface.md"});
    const auto rest = path.substr(resources_path.size());
    const auto slash = rest.find('/');
    const auto kind = coordination::parse_resource_kind(rest.substr(0, slash));
    if (!kind)
        return last_failure();
    const bool has_name = slash != std::string_view::npos;
    const std::string name(has_name ? rest.substr(slash + 1) : "");
    if (has_name && !coordination::is_valid_name(name))
        return invalid("not a resource name: " + name,
                       "give 1 to 64 letters, digits, '.', '_' or '-'");
    if (!has_name && call.method == "GET")
        return call.query.count("watch") > 0 ? watch(*kind, call) : list(*kind);
    if (has_name && call.method == "GET")
        return get(*kind, name);
    if (has_name)
        return change(*kind, name, call);
    return invalid("the name of the resource is missing",
                   "send it as /v1/resources/KIND/NAME");
}

http::response operator_api::list(resource_kind kind)
{
    // The version is read first, so that a watch from it misses no change.
    if (!links_.config.refresh())
        return last_failure();
    const auto version = links_.config.current()->version;
    const auto found = links_.config.list(kind);
    if (!found)
        return last_failure();
    auto items = json::value::array(found->size());
    for (std::size_t n = 0; n < found->size(); ++n)
        items[n] = encode((*found)[n]);
    auto body = json::value::object();
    body["version"] = json::value::number(version);
    body["items"] = items;
    return to_response(body);
}

http::response operator_api::get(resource_kind kind, const std::string& name)
{
    const auto found = links_.config.read(kind, name);
    if (!found)
        return last_failure();
    return to_response(encode(*found));
}

http::response operator_api::watch(resource_kind kind,
                                   const http::request& call)
{
    const auto from = parse_number(call.parameter("watch"));
    const auto wait = parse_number(call.parameter("wait_ms", "10000"));
    if (!from || !wait)
        return last_failure();
    const auto deadline =
        std::chrono::steady_clock::now() +
        std::min(max_watch_time,
                 milliseconds{static_cast<std::int64_t>(
                     std::min<std::uint64_t>(*wait, max_watch_time.count()))});
    while (links_.config.current()->version <= *from &&
           std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(watch_poll_interval);
    const auto changes = links_.config.changes_after(*from);
    if (!changes)
        return last_failure();
    auto items = json::value::array();
    auto version = *from;
    for (const auto& it : *changes)
    {
        version = std::max(version, it.version);
        if (it.kind != kind)
            continue;
        auto item = json::value::object();
        item["version"] = json::value::number(it.version);
        item["kind"] = text(plural_name_of(it.kind));
        item["name"] = text(it.name);
        item["operation"] = text(it.deleted ? "delete" : "put");
        if (!it.deleted)
            item["resource"] =
                encode({it.kind, it.name, it.version, it.desired});
        items[items.size()] = item;
    }
    auto body = json::value::object();
    body["version"] = json::value::number(version);
    body["changes"] = items;
    return to_response(body);
}

http::response operator_api::apply(const change_request& request)
{
    const auto result = links_.config.change(request);
    if (!result)
        return last_failure();
    if (result->conflict)
        return version_conflict(result->current_version);
    links_.events.record("configuration_changed",
                         std::string(plural_name_of(request.kind)) + '/' +
                             request.name,
                         "version " + std::to_string(result->version));
    if (request.remove)
    {
        auto body = json::value::object();
        body["version"] = json::value::number(result->version);
        return to_response(body);
    }
    const bool created = request.expected == change_precondition::absent;
    return to_response(
        encode({request.kind, request.name, result->version, request.desired}),
        created ? 201 : 200);
}

http::response operator_api::change(resource_kind kind, const std::string& name,
                                    const http::request& call)
{
    change_request request{kind, name,  change_precondition::absent,
                           0,    false, {}};
    if (call.method == "DELETE")
    {
        const auto version = parse_number(call.parameter("version"));
        if (!version)
            return last_failure();
        request.expected = change_precondition::version;
        request.version = *version;
        request.remove = true;
        return apply(request);
    }
    if (call.method != "POST" && call.method != "PUT")
        return invalid("method " + call.method + " is not known here",
                       "use GET, POST, PUT or DELETE");
    // GET omits salt and hash; storing its output would disable the key.
    if (kind == resource_kind::key)
        return invalid("keys cannot be written as resources",
                       "grant a key with POST /v1/keys, withdraw one with "
                       "DELETE /v1/keys/NAME");
    const auto body = base::parse_json(call.body);
    if (!body)
        return last_failure();
    std::vector<std::string> errors;
    base::object_reader reader(*body, "", errors);
    const auto* desired = reader.raw("desired");
    if (call.method == "PUT")
    {
        request.expected = change_precondition::version;
        request.version = static_cast<std::uint64_t>(
            reader.number("version", 0, 1, INT64_MAX));
    }
    if (desired == nullptr)
        reader.report("desired", "nothing", "give the desired state");
    else
        check_desired(kind, *desired, errors);
    reader.finish();
    if (!errors.empty())
        return invalid(errors.front(), "correct the named field");
    request.desired = desired->serialize();
    return apply(request);
}

http::response operator_api::grant_key(const http::request& call)
{
    const auto body = base::parse_json(call.body);
    if (!body)
        return last_failure();
    std::vector<std::string> errors;
    base::object_reader reader(*body, "", errors);
    const auto name = reader.required_text("name");
    const auto team = reader.required_text("team");
    reader.finish();
    if (!errors.empty())
        return invalid(errors.front(), "correct the named field");
    if (!coordination::is_valid_name(name) ||
        name.find('.') != std::string::npos)
        return invalid("not a key name: " + name,
                       "give 1 to 64 letters, digits, '_' or '-'");
    const auto secret = base::random_hex(secret_bytes);
    const auto salt = base::random_hex(salt_bytes);
    const auto hash = base::salted_hash(salt, secret);
    const auto result = links_.config.change(
        {resource_kind::key, name, change_precondition::absent, 0, false,
         encode_key(team, salt, hash, false)});
    if (!result)
        return last_failure();
    if (result->conflict)
        return version_conflict(result->current_version);
    links_.events.record("key_granted", name, team);
    auto out = json::value::object();
    out["name"] = text(name);
    out["team"] = text(team);
    out["version"] = json::value::number(result->version);
    out["key"] = text(name + '.' + secret);
    return to_response(out, 201);
}

http::response operator_api::withdraw_key(const std::string& name)
{
    for (int n = 0; n < withdraw_attempts; ++n)
    {
        const auto found = links_.config.read(resource_kind::key, name);
        if (!found)
            return last_failure();
        auto desired = parse_or_null(found->desired);
        desired["withdrawn"] = json::value::boolean(true);
        const auto result = links_.config.change(
            {resource_kind::key, name, change_precondition::version,
             found->version, false, desired.serialize()});
        if (!result)
            return last_failure();
        if (result->conflict)
            continue;
        links_.events.record("key_withdrawn", name);
        auto body = json::value::object();
        body["name"] = text(name);
        body["version"] = json::value::number(result->version);
        return to_response(body);
    }
    return http::error_response({error_kind::conflict,
                                 "other operators keep changing the key",
                                 "withdraw it again"});
}

} // namespace mustardwick::operators
