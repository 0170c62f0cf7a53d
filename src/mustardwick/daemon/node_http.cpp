#include "mustardwick/daemon/node.hpp"

#include <cpprest/json.h>

#include "mustardwick/base/error.hpp"

namespace mustardwick::daemon
{

namespace json = web::json;
using base::error_kind;

namespace
{

json::value text(std::string_view value)
{
    return json::value::string(std::string(value));
}

json::value encode(const base::time_line_event& event)
{
    auto out = json::value::object();
    out["t"] = json::value::number(event.time.microseconds);
    out["c"] = json::value::number(event.time.counter);
    out["process"] = text(event.process);
    out["kind"] = text(event.kind);
    out["subject"] = text(event.subject);
    out["detail"] = text(event.detail);
    return out;
}

bool is_caller_path(std::string_view path)
{
    return path.starts_with("/v1/requests") || path.starts_with("/v1/jobs");
}

std::int64_t count_of(const coordination::host_counts& counts,
                      std::string_view host)
{
    const auto it = counts.find(host);
    return it == counts.end() ? 0 : it->second;
}

/// Returns the number of tasks placed on a host or in a failure domain;
/// std::nullopt for other kinds and without counts, which only the planner has.
std::optional<std::int64_t>
count_running(const coordination::host_counts* counts,
              const coordination::configuration& config,
              coordination::resource_kind kind, const std::string& name)
{
    if (counts == nullptr)
        return std::nullopt;
    if (kind == coordination::resource_kind::host)
        return count_of(*counts, name);
    if (kind != coordination::resource_kind::failure_domain)
        return std::nullopt;
    std::int64_t out = 0;
    for (const auto& [host, spec] : config.hosts)
        out += spec.failure_domain == name ? count_of(*counts, host) : 0;
    return out;
}

http::response text_response(std::string body)
{
    http::response out;
    out.body = std::move(body);
    out.content_type = "text/plain; charset=utf-8";
    return out;
}

} // namespace

http::response node::handle_http(const http::request& call)
{
    metrics_.add("mustardwick_http_requests_total");
    if (call.path == "/healthz")
        return text_response("ok\n");
    if (call.path == "/readyz")
        return ready();
    if (call.path == "/metrics")
        return text_response(metrics_.render());
    if (is_caller_path(call.path))
        return caller_api_.handle(call);
    return handle_operator(call);
}

http::response node::handle_operator(const http::request& call)
{
    const auto from = keys_.authenticate(call.authorization);
    if (!from)
        return http::error_response(base::last_error());
    if (!from->is_operator())
        return http::error_response(
            {from->team.empty() ? error_kind::unauthenticated
                                : error_kind::forbidden,
             "this path is for operators", "use a key of the team operators"});
    if (call.path == "/v1/timeline")
        return show_time_line(call);
    if (call.path == "/v1/stats")
        return show_stats();
    return operator_api_.handle(call);
}

http::response node::ready() const
{
    bool stopping = false;
    {
        const std::scoped_lock lock(mutex_);
        stopping = stopping_;
    }
    if (!stopping && config_.is_fresh() && registry_.has_authority())
        return text_response("ready\n");
    auto out = text_response("not ready\n");
    out.status = http::status_of(error_kind::unavailable);
    return out;
}

http::response node::show_time_line(const http::request& call) const
{
    const auto found = events_.events(call.parameter("filter"));
    auto items = json::value::array(found.size());
    for (std::size_t n = 0; n < found.size(); ++n)
        items[n] = encode(found[n]);
    auto body = json::value::object();
    body["events"] = items;
    http::response out;
    out.body = body.serialize();
    return out;
}

http::response node::show_stats() const
{
    auto body = json::value::object();
    body["name"] = text(settings_.name);
    body["incarnation"] = json::value::number(registry_.incarnation());
    body["planner"] = text(planner_leadership_.holder());
    body["config_version"] = json::value::number(config_.current()->version);
    body["config_fresh"] = json::value::boolean(config_.is_fresh());
    body["authority"] = json::value::boolean(registry_.has_authority());
    body["requests_running"] = owner_.running();
    auto members = json::value::array();
    for (const auto& it : view_.live_members())
        members[members.size()] = text(it);
    body["live_members"] = members;
    auto hosts = json::value::array();
    for (const auto& it : leases_.held())
        hosts[hosts.size()] = text(it);
    body["hosts_held"] = hosts;
    http::response out;
    out.body = body.serialize();
    return out;
}

json::value node::observe(coordination::resource_kind kind,
                          const std::string& name) const
{
    auto out = json::value::object();
    const auto config = config_.current();
    if (kind == coordination::resource_kind::host)
    {
        out["owner"] = text(view_.assigned_to(name));
        out["in_service"] = json::value::boolean(config->in_service(name));
        out["leaving"] = json::value::boolean(is_leaving(name));
    }
    if (kind == coordination::resource_kind::team)
    {
        const auto parts = escrow_.parts(name);
        out["limit_requests"] =
            json::value::number(parts ? parts->limit : std::int64_t{-1});
    }
    const auto running =
        count_running(planner_.placed_per_host().get(), *config, kind, name);
    if (running)
        out["running"] = json::value::number(*running);
    out["config_version"] = json::value::number(config->version);
    return out;
}

} // namespace mustardwick::daemon
