#include "mustardwick/ports/worker.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"
#include "mustardwick/http/client.hpp"

namespace mustardwick::ports
{

namespace json = web::json;
using base::error_kind;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds control_timeout{1000};
constexpr int status_ok = 200;
constexpr int status_conflict = 409;

json::value text(const std::string& value)
{
    return json::value::string(value);
}

json::value encode_texts(const std::vector<std::string>& values)
{
    auto out = json::value::array(values.size());
    for (std::size_t n = 0; n < values.size(); ++n)
        out[n] = text(values[n]);
    return out;
}

json::value encode_start(const wire::start_order& order)
{
    auto out = json::value::object();
    out["attempt"] = text(order.attempt);
    out["job"] = text(order.job);
    out["index"] = order.index;
    out["kind"] = text(order.kind);
    out["millicpus"] = order.millicpus;
    out["memory_mb"] = order.memory_mb;
    out["accelerators"] = order.accelerators;
    out["payload"] = text(order.payload);
    return out;
}

std::vector<std::string> decode_texts(const json::value& value)
{
    std::vector<std::string> out;
    for (const auto& it : value.as_array())
        out.push_back(it.as_string());
    return out;
}

wire::attempt_event decode_event(const std::string& name)
{
    if (name == "finished")
        return wire::attempt_event::finished;
    if (name == "failed")
        return wire::attempt_event::failed;
    if (name == "stopped")
        return wire::attempt_event::stopped;
    return wire::attempt_event::lost;
}

std::vector<wire::attempt_report> decode_ended(const json::value& value,
                                               const std::string& host)
{
    std::vector<wire::attempt_report> out;
    for (const auto& it : value.as_array())
        out.push_back({it.at("attempt").as_string(), host,
                       decode_event(it.at("event").as_string()),
                       it.at("detail").as_string()});
    return out;
}

bool contains(const std::vector<std::string>& list, const std::string& value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

/// Leases that the answer lists neither as closed nor as unreachable have been
/// renewed.
void apply_renewals(const json::value& answer, std::span<const renewal> leases,
                    std::vector<renewal_result>& out)
{
    const auto closed = decode_texts(answer.at("closed"));
    const auto unreachable = decode_texts(answer.at("unreachable"));
    std::map<std::string, std::size_t> index;
    for (std::size_t n = 0; n < leases.size(); ++n)
    {
        index[leases[n].worker] = n;
        if (contains(closed, leases[n].lease))
            out[n].state = renewal_state::closed;
        else if (!contains(unreachable, leases[n].lease))
            out[n].state = renewal_state::renewed;
    }
    for (const auto& it : answer.at("ended").as_array())
    {
        const auto worker = it.at("worker").as_string();
        const auto found = index.find(worker);
        if (found == index.end())
            continue;
        out[found->second].ended.push_back(
            {it.at("attempt").as_string(), worker,
             decode_event(it.at("event").as_string()),
             it.at("detail").as_string()});
    }
}

std::nullopt_t malformed_answer(const worker_address& worker)
{
    return base::fail(error_kind::internal,
                      "worker " + worker.name + " sent a malformed answer",
                      "check the worker's version");
}

std::string path_of(const worker_address& worker, const char* rest)
{
    return "/v1/workers/" + worker.name + rest;
}

/// Returns whether a worker rejected a request because its lease is closed. A
/// repeated attempt id has the same status, but its first copy may have run.
bool reports_closed_lease(const std::optional<json::value>& body)
{
    return body && body->is_object() && body->has_string_field("error") &&
           body->at("error").as_string() == "conflict";
}

wire::forward_answer refused(std::string reason, std::string remedy)
{
    return {
        wire::outcome::refused, 0, {}, std::move(reason), std::move(remedy)};
}

wire::forward_answer unknown(std::string reason)
{
    return {wire::outcome::unknown,
            0,
            {},
            std::move(reason),
            "ask again with the same request id"};
}

} // namespace

struct worker_client::impl
{
    explicit impl(base::metrics& metrics)
        : orders({}, metrics), requests({}, metrics)
    {
    }

    std::optional<json::value> control(const worker_address& worker,
                                       const char* path,
                                       const json::value& body);
    std::optional<json::value> call(const worker_address& worker,
                                    const std::string& target,
                                    const json::value& body);

    http::client orders;
    http::client requests;
};

std::optional<json::value>
worker_client::impl::control(const worker_address& worker, const char* path,
                             const json::value& body)
{
    return call(worker, path_of(worker, path), body);
}

std::optional<json::value>
worker_client::impl::call(const worker_address& worker,
                          const std::string& target, const json::value& body)
{
    http::client_call out;
    out.target = target;
    out.body = body.serialize();
    out.timeout = control_timeout;
    out.idempotent = true;
    const auto answer = orders.send(worker.where, out);
    if (!answer)
        return std::nullopt;
    if (answer->status == status_conflict)
        return base::fail(error_kind::conflict,
                          "worker " + worker.name + " has another lease",
                          "open a new lease");
    if (answer->status != status_ok)
        return base::fail(error_kind::unavailable,
                          "worker " + worker.name + " answered status " +
                              std::to_string(answer->status),
                          "check the worker");
    return base::parse_json(answer->body);
}

worker_client::worker_client(base::metrics& metrics)
    : impl_(std::make_unique<impl>(metrics))
{
}

worker_client::~worker_client() = default;

std::optional<lease_state> worker_client::open(const worker_address& worker,
                                               const std::string& holder,
                                               milliseconds ttl)
{
    auto body = json::value::object();
    body["holder"] = text(holder);
    body["ttl_ms"] = static_cast<std::int64_t>(ttl.count());
    const auto answer = impl_->control(worker, "/lease", body);
    if (!answer)
        return std::nullopt;
    try
    {
        return lease_state{answer->at("lease").as_string(),
                           decode_texts(answer->at("running")),
                           decode_texts(answer->at("requests")),
                           decode_ended(answer->at("ended"), worker.name)};
    }
    catch (const json::json_exception&)
    {
        return malformed_answer(worker);
    }
}

std::optional<lease_state>
worker_client::renew(const worker_address& worker, const std::string& lease,
                     milliseconds ttl, const std::vector<std::string>& ended)
{
    auto body = json::value::object();
    body["lease"] = text(lease);
    body["ttl_ms"] = static_cast<std::int64_t>(ttl.count());
    if (!ended.empty())
        body["acknowledge"] = encode_texts(ended);
    const auto answer = impl_->control(worker, "/renew", body);
    if (!answer)
        return std::nullopt;
    try
    {
        return lease_state{
            lease, {}, {}, decode_ended(answer->at("ended"), worker.name)};
    }
    catch (const json::json_exception&)
    {
        return malformed_answer(worker);
    }
}

std::vector<renewal_result>
worker_client::renew_group(const wire::endpoint& where,
                           std::span<const renewal> leases, milliseconds ttl)
{
    std::vector<renewal_result> out(leases.size());
    std::vector<std::string> ids;
    std::vector<std::string> acknowledged;
    for (const auto& it : leases)
    {
        ids.push_back(it.lease);
        acknowledged.insert(acknowledged.end(), it.acknowledged.begin(),
                            it.acknowledged.end());
    }
    auto body = json::value::object();
    body["ttl_ms"] = static_cast<std::int64_t>(ttl.count());
    body["leases"] = encode_texts(ids);
    if (!acknowledged.empty())
        body["acknowledge"] = encode_texts(acknowledged);
    const auto answer =
        impl_->call({where, "of a group"}, "/v1/renewals", body);
    if (!answer)
        return out;
    try
    {
        apply_renewals(*answer, leases, out);
    }
    catch (const json::json_exception&)
    {
        return std::vector<renewal_result>(leases.size());
    }
    return out;
}

std::optional<task_orders_result>
worker_client::order(const worker_address& worker, const std::string& lease,
                     const task_orders& orders)
{
    auto body = json::value::object();
    body["lease"] = text(lease);
    auto starts = json::value::array(orders.starts.size());
    for (std::size_t n = 0; n < orders.starts.size(); ++n)
        starts[n] = encode_start(orders.starts[n]);
    body["starts"] = starts;
    body["stops"] = encode_texts(orders.stops);
    const auto answer = impl_->control(worker, "/orders", body);
    if (!answer)
        return std::nullopt;
    try
    {
        return task_orders_result{decode_texts(answer->at("started")),
                                  decode_texts(answer->at("stopped"))};
    }
    catch (const json::json_exception&)
    {
        return malformed_answer(worker);
    }
}

wire::forward_answer worker_client::request(const worker_address& worker,
                                            const target_request& call)
{
    auto body = json::value::object();
    body["lease"] = text(call.lease);
    body["attempt"] = text(call.attempt);
    body["queue"] = text(call.queue);
    body["body"] = text(call.body);
    body["timeout_ms"] = static_cast<std::int64_t>(call.timeout.count());
    http::client_call out;
    out.target = path_of(worker, "/requests");
    out.body = body.serialize();
    out.timeout = call.timeout;
    out.idempotent = call.idempotent;
    auto progress = http::delivery::not_sent;
    const auto answer = impl_->requests.send(worker.where, out, &progress);
    if (!answer && progress == http::delivery::not_sent)
        return refused("cannot connect to worker " + worker.name,
                       "retry after a delay");
    if (!answer)
        return unknown("worker " + worker.name + " did not answer in time");
    const auto value = base::parse_json(answer->body, 8U << 20U);
    // A refusal of the second copy of a request does not show that the first
    // has not run.
    if (answer->status == status_conflict && reports_closed_lease(value) &&
        progress != http::delivery::resent)
        return {wire::outcome::refused,
                status_conflict,
                {},
                "worker " + worker.name + " refused the lease",
                "retry after a delay"};
    if (answer->status != status_ok || !value)
        return unknown("worker " + worker.name + " failed");
    try
    {
        return {wire::outcome::done,
                static_cast<std::uint16_t>(
                    value->at("status").as_number().to_uint32()),
                value->at("body").as_string(),
                {},
                {}};
    }
    catch (const json::json_exception&)
    {
        return unknown("worker " + worker.name + " sent a malformed answer");
    }
}

std::optional<attempt_answer>
worker_client::attempt(const worker_address& worker, const std::string& lease,
                       const std::string& attempt)
{
    http::client_call call;
    call.method = "GET";
    call.target = path_of(worker, "/attempts/") + attempt + "?lease=" + lease;
    call.timeout = control_timeout;
    call.idempotent = true;
    const auto answer = impl_->orders.send(worker.where, call);
    if (!answer)
        return std::nullopt;
    const auto value = base::parse_json(answer->body, 8U << 20U);
    if (answer->status != status_ok || !value)
        return malformed_answer(worker);
    try
    {
        const auto state = value->at("state").as_string();
        if (state == "unknown")
            return attempt_answer{};
        if (state == "never_started")
            return attempt_answer{attempt_state::never_started, 0, {}};
        if (state == "running")
            return attempt_answer{attempt_state::running, 0, {}};
        return attempt_answer{attempt_state::done,
                              value->at("status").as_number().to_int32(),
                              value->at("body").as_string()};
    }
    catch (const json::json_exception&)
    {
        return malformed_answer(worker);
    }
}

std::uint64_t worker_client::control_bytes() const
{
    return impl_->orders.bytes_transferred();
}

} // namespace mustardwick::ports
