#include "testing/scenario/operator_driver.hpp"

#include <algorithm>
#include <functional>
#include <thread>

#include "mustardwick/base/error.hpp"
#include "testing/scenario/daemon_settings.hpp"

namespace mustardwick::testing
{

namespace
{

using web::json::value;

constexpr milliseconds call_timeout{5000};
/// Total time for retrying a call at other daemons.
constexpr milliseconds retry_timeout{15'000};
constexpr milliseconds retry_interval{100};
constexpr int conflict_status = 409;
constexpr std::int64_t default_millicpus = 30'000;
constexpr std::int64_t default_memory_mb = 64'000;
constexpr std::int64_t default_slots = 8;
constexpr std::int64_t default_connections = 64;

std::string path_of(const std::string& kind, const std::string& name)
{
    return "/v1/resources/" + kind + '/' + name;
}

bool fail(const std::string& what, const api_reply& reply)
{
    base::fail(base::error_kind::unavailable,
               what + ": status " + std::to_string(reply.status) + ' ' +
                   reply.text("message"),
               "see the logs of the daemons");
    return false;
}

std::int64_t field(const value& object, const char* name, std::int64_t fallback)
{
    return object.has_number_field(name)
               ? object.at(name).as_number().to_int64()
               : fallback;
}

json_object capacity_of(const worker_group& group)
{
    const auto& line = group.declaration;
    return json_object()
        .text("failure_domain", line.option("domain", "north"))
        .number("millicpus", line.number("millicpus", default_millicpus))
        .number("memory_mb", line.number("memory_mb", default_memory_mb))
        .number("accelerators", line.number("accelerators", 0))
        .number("slots", line.number("slots", default_slots));
}

value host_desired(const worker_group& group, const std::string& worker)
{
    const auto& line = group.declaration;
    return capacity_of(group)
        .text("address", "127.0.0.1:" + std::to_string(group.relay_port))
        .text("worker", worker)
        .text("rack", line.option("rack", group.name))
        .number("connections", line.number("connections", default_connections))
        .value();
}

} // namespace

value to_json_fields(const std::map<std::string, std::string>& options)
{
    json_object out;
    for (const auto& [name, text] : options)
    {
        const auto n = parse_number(text);
        if (n)
            out.number(name.c_str(), *n);
        else if (text == "true" || text == "false")
            out.flag(name.c_str(), text == "true");
        else
            out.text(name.c_str(), text);
    }
    return out.value();
}

api_reply operator_driver::call_via(std::uint16_t port,
                                    const std::string& method,
                                    const std::string& path, const value& body)
{
    api_call out;
    out.port = port;
    out.method = method;
    out.path = path;
    out.body = body;
    out.key = std::string(operator_key_id) + '.' + operator_secret;
    out.timeout = call_timeout;
    return client_.send(out);
}

/// Sends a call to one daemon after another until a reply has a status below
/// 500 or the retry timeout expires.
api_reply operator_driver::call(const std::string& method,
                                const std::string& path, const value& body)
{
    const auto deadline = std::chrono::steady_clock::now() + retry_timeout;
    api_reply reply;
    do
    {
        const auto* daemon = cell_.next_daemon();
        if (daemon != nullptr)
            reply = call_via(daemon->http_port, method, path, body);
        const bool is_final = reply.status != 0 && reply.status < 500;
        if (is_final)
            return reply;
        std::this_thread::sleep_for(retry_interval);
    } while (std::chrono::steady_clock::now() < deadline);
    return reply;
}

api_reply operator_driver::statistics(const daemon_entry& daemon)
{
    return call_via(daemon.http_port, "GET", "/v1/stats", value());
}

void operator_driver::record_version(const api_reply& reply)
{
    const std::scoped_lock lock(mutex_);
    if (reply.ok())
        last_version_ = std::max(last_version_.load(), reply.number("version"));
}

bool operator_driver::change(const std::string& kind, const std::string& name,
                             const value& desired, const api_reply& found)
{
    json_object body;
    body.set("desired", desired);
    if (found.ok())
        body.number("version", found.number("version"));
    const auto reply =
        call(found.ok() ? "PUT" : "POST", path_of(kind, name), body.value());
    record_version(reply);
    if (reply.ok())
        return true;
    // If the reply to the first attempt was lost, the retry conflicts although
    // the change took effect; compare the stored state.
    const auto now = call("GET", path_of(kind, name), value());
    const bool in_place = now.ok() && now.body.at("desired") == desired;
    return in_place || fail("cannot change " + kind + ' ' + name, reply);
}

bool operator_driver::put(const std::string& kind, const std::string& name,
                          const std::map<std::string, std::string>& options)
{
    const auto desired = to_json_fields(options);
    const auto found = call("GET", path_of(kind, name), value());
    if (!change(kind, name, desired, found))
        return false;
    if (kind == "teams")
        record_limit(name, desired);
    return true;
}

bool operator_driver::patch(const std::string& kind, const std::string& name,
                            const std::map<std::string, std::string>& options)
{
    const auto found = call("GET", path_of(kind, name), value());
    if (!found.ok())
        return fail("cannot read " + kind + ' ' + name, found);
    auto desired = found.body.at("desired");
    const auto fields = to_json_fields(options);
    for (const auto& [field_name, it] : fields.as_object())
        desired[field_name] = it;
    if (!change(kind, name, desired, found))
        return false;
    if (kind == "teams")
        record_limit(name, desired);
    return true;
}

void operator_driver::record_limit(const std::string& team,
                                   const value& desired)
{
    recorder_.fact(
        "team_limit", team,
        json_object()
            .text("team", team)
            .number("millicpus", field(desired, "limit_millicpus", -1))
            .number("memory_mb", field(desired, "limit_memory_mb", -1))
            .number("accelerators", field(desired, "limit_accelerators", -1))
            .number("requests", field(desired, "limit_requests", -1)));
}

bool operator_driver::declare_hosts(const worker_group& group)
{
    const auto domain = group.declaration.option("domain", "north");
    if (!put("failure-domains", domain, {{"in_service", "true"}}))
        return false;
    for (const auto& it : group.workers)
    {
        recorder_.fact("host", it, capacity_of(group));
        const auto found = call("GET", path_of("hosts", it), value());
        if (!change("hosts", it, host_desired(group, it), found))
            return false;
    }
    return true;
}

bool operator_driver::configure()
{
    for (const auto& it : cell_.groups())
    {
        if (!declare_hosts(it))
            return false;
    }
    return true;
}

bool operator_driver::grant(const std::string& key, const std::string& team)
{
    const auto reply =
        call("POST", "/v1/keys",
             json_object().text("name", key).text("team", team).value());
    if (!reply.ok())
        return fail("cannot grant " + key, reply);
    record_version(reply);
    const std::scoped_lock lock(mutex_);
    key_texts_[key] = reply.text("key");
    teams_[key] = team;
    return true;
}

bool operator_driver::withdraw(const std::string& key)
{
    const auto reply = call("DELETE", "/v1/keys/" + key, value());
    if (!reply.ok())
        return fail("cannot withdraw " + key, reply);
    record_version(reply);
    recorder_.fact("key_withdrawn", key);
    return true;
}

bool operator_driver::set_domain(const std::string& name, bool in_service)
{
    // Record the fact first: a daemon may start tasks in the domain as soon as
    // it sees the change.
    if (in_service)
        recorder_.fact("domain_in", name);
    const bool ok = patch("failure-domains", name,
                          {{"in_service", in_service ? "true" : "false"}});
    if (ok && !in_service)
        recorder_.fact("domain_out", name);
    return ok;
}

bool operator_driver::set_host(const std::string& name, bool in_service)
{
    if (in_service)
        recorder_.fact("host_back", name);
    const bool ok =
        patch("hosts", name, {{"in_service", in_service ? "true" : "false"}});
    if (ok && !in_service)
        recorder_.fact("host_leaving", name);
    return ok;
}

/// Increments the share once per round and counts the result of each attempt.
/// A round that conflicts is not retried.
void operator_driver::increment_share(std::uint16_t port,
                                      const std::string& team, int rounds,
                                      race_result& out)
{
    const auto path = path_of("teams", team);
    for (int n = 0; n < rounds; ++n)
    {
        const auto found = call_via(port, "GET", path, value());
        if (!found.ok())
        {
            ++out.unanswered;
            continue;
        }
        auto desired = found.body.at("desired");
        desired["share"] = field(desired, "share", 1) + 1;
        const auto reply =
            call_via(port, "PUT", path,
                     json_object()
                         .number("version", found.number("version"))
                         .set("desired", desired)
                         .value());
        record_version(reply);
        if (reply.ok())
            ++out.accepted;
        else if (reply.status == conflict_status)
            ++out.conflicts;
        else
            ++out.unanswered;
    }
}

std::optional<race_result> operator_driver::race(const std::string& team,
                                                 int rounds)
{
    const auto* first = cell_.next_daemon();
    const auto* second = cell_.next_daemon();
    if (first == nullptr || second == nullptr)
        return base::fail(base::error_kind::unavailable, "no daemon runs",
                          "start one");
    race_result left;
    race_result right;
    std::thread other(
        [&]
        {
            increment_share(second->http_port, team, rounds, right);
        });
    increment_share(first->http_port, team, rounds, left);
    other.join();
    const auto found = call("GET", path_of("teams", team), value());
    if (!found.ok())
        return base::fail(base::error_kind::unavailable,
                          "cannot read team " + team, "see the logs");
    left.accepted += right.accepted;
    left.conflicts += right.conflicts;
    left.unanswered += right.unanswered;
    left.value = field(found.body.at("desired"), "share", 1);
    return left;
}

std::string operator_driver::key_text(const std::string& key) const
{
    const std::scoped_lock lock(mutex_);
    const auto it = key_texts_.find(key);
    return it == key_texts_.end() ? "" : it->second;
}

std::string operator_driver::team_of(const std::string& key) const
{
    const std::scoped_lock lock(mutex_);
    const auto it = teams_.find(key);
    return it == teams_.end() ? "open" : it->second;
}

} // namespace mustardwick::testing
