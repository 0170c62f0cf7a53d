#include "testing/standin/worker_service.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/json.hpp"
#include "testing/standin/json_response.hpp"
#include "testing/standin/program.hpp"
#include "testing/standin/task_payload.hpp"
#include "testing/standin/worker_codec.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr std::int64_t max_ttl_ms = 3'600'000;
constexpr std::int64_t max_slow_ms = 600'000;
/// A call to an unresponsive worker ends after this time, so that abandoned
/// calls cannot occupy all handler threads.
constexpr std::chrono::milliseconds withhold_duration{10'000};

http::response lease_closed_response()
{
    return make_error_response(409, "conflict",
                               "the lease is closed or has lapsed");
}

void append_ended(web::json::value& out, const std::string& worker,
                  const std::vector<wire::attempt_report>& ended)
{
    auto items = to_json(ended);
    for (auto& it : items.as_array())
    {
        it["worker"] = web::json::value::string(worker);
        out[out.size()] = it;
    }
}

std::string response_body(const request_payload& payload,
                          const std::string& attempt, const std::string& body)
{
    if (!payload.is_json)
        return body;
    return json_object()
        .text("echo", payload.echo)
        .text("attempt", attempt)
        .serialize();
}

} // namespace

worker_service::worker_service(const std::vector<worker_identity>& workers,
                               const base::clock& time, event_log& events)
    : boot_(base::unique_id())
{
    for (const auto& it : workers)
        workers_.emplace(it.name,
                         std::make_unique<worker_state>(it, time, events));
}

void worker_service::advance()
{
    for (auto& [name, it] : workers_)
        it->advance();
}

http::response worker_service::handle(const http::request& call)
{
    if (call.path == "/healthz")
        return json_response(json_object().flag("ok", true));
    if (call.path == "/v1/renewals")
        return renew_group(call);
    const auto parts = split(call.path, '/');
    const bool known = parts.size() >= 5 && parts[2] == "workers";
    const auto it = known ? workers_.find(parts[3]) : workers_.end();
    if (it == workers_.end())
        return make_error_response(404, "not_found",
                                   "no such path: " + call.path);
    auto& worker = *it->second;
    if (worker.faults().unresponsive && parts[4] != "faults")
        return withhold_response();
    if (parts[4] == "attempts" && parts.size() == 6)
        return attempt(worker, call.parameter("lease"), parts[5]);
    return handle_action(worker, parts[4], call);
}

http::response worker_service::withhold_response()
{
    sleeper_.sleep(withhold_duration);
    http::response out;
    out.status = 504;
    return out;
}

http::response worker_service::handle_action(worker_state& worker,
                                             const std::string& action,
                                             const http::request& call)
{
    const auto body = base::parse_json(call.body);
    if (!body)
        return make_error_response(400, "invalid_input",
                                   base::last_error().text());
    if (action == "lease")
        return open(worker, *body);
    if (action == "renew")
        return renew(worker, *body);
    if (action == "orders")
        return order(worker, *body);
    if (action == "requests")
        return request(worker, *body);
    if (action == "faults")
        return set_faults(worker, *body);
    return make_error_response(404, "not_found", "no such path: " + call.path);
}

http::response worker_service::open(worker_state& worker,
                                    const web::json::value& body)
{
    std::vector<std::string> errors;
    base::object_reader reader(body, "", errors);
    const auto holder = reader.required_text("holder");
    const std::chrono::milliseconds ttl{
        reader.number("ttl_ms", 1000, 1, max_ttl_ms)};
    if (!errors.empty())
        return invalid_input_response(errors);
    const auto state = worker.open(holder, ttl);
    return json_response(json_object()
                             .text("lease", state.lease)
                             .text("boot", boot_)
                             .texts("running", state.running)
                             .texts("requests", state.requests)
                             .set("ended", to_json(state.ended)));
}

/// Renews the leases of several workers. Leases that were not renewed are
/// listed as closed or unreachable.
http::response worker_service::renew_group(const http::request& call)
{
    const auto body = base::parse_json(call.body);
    if (!body)
        return make_error_response(400, "invalid_input",
                                   base::last_error().text());
    std::vector<std::string> errors;
    base::object_reader reader(*body, "", errors);
    const std::chrono::milliseconds ttl{
        reader.number("ttl_ms", 1000, 1, max_ttl_ms)};
    const auto leases = reader.texts("leases");
    const auto acknowledged = reader.texts("acknowledge");
    if (!errors.empty())
        return invalid_input_response(errors);
    std::vector<std::string> closed;
    std::vector<std::string> unreachable;
    auto ended = web::json::value::array();
    for (const auto& lease : leases)
    {
        const auto it = std::find_if(workers_.begin(), workers_.end(),
                                     [&lease](const auto& entry)
                                     {
                                         return entry.second->has_issued(lease);
                                     });
        const bool known = it != workers_.end();
        if (known && it->second->faults().unresponsive)
        {
            unreachable.push_back(lease);
            continue;
        }
        const auto state =
            known ? it->second->renew(lease, ttl, acknowledged) : std::nullopt;
        if (state)
            append_ended(ended, it->first, state->ended);
        else
            closed.push_back(lease);
    }
    return json_response(json_object()
                             .texts("closed", closed)
                             .texts("unreachable", unreachable)
                             .set("ended", ended));
}

http::response worker_service::renew(worker_state& worker,
                                     const web::json::value& body)
{
    std::vector<std::string> errors;
    base::object_reader reader(body, "", errors);
    const auto lease = reader.required_text("lease");
    const std::chrono::milliseconds ttl{
        reader.number("ttl_ms", 1000, 1, max_ttl_ms)};
    const auto acknowledged = reader.texts("acknowledge");
    if (!errors.empty())
        return invalid_input_response(errors);
    const auto state = worker.renew(lease, ttl, acknowledged);
    if (!state)
        return lease_closed_response();
    return json_response(json_object().set("ended", to_json(state->ended)));
}

http::response worker_service::order(worker_state& worker,
                                     const web::json::value& body)
{
    std::vector<std::string> errors;
    base::object_reader reader(body, "", errors);
    const auto lease = reader.required_text("lease");
    const auto orders = parse_orders(reader, errors);
    if (!errors.empty())
        return invalid_input_response(errors);
    const auto result = worker.order(lease, orders);
    if (!result)
        return lease_closed_response();
    return json_response(json_object()
                             .texts("started", result->started)
                             .texts("stopped", result->stopped));
}

http::response worker_service::request(worker_state& worker,
                                       const web::json::value& body)
{
    std::vector<std::string> errors;
    base::object_reader reader(body, "", errors);
    const auto lease = reader.required_text("lease");
    const auto id = reader.required_text("attempt");
    const auto queue = reader.text("queue", "");
    const auto text = reader.text("body", "");
    if (!errors.empty())
        return invalid_input_response(errors);
    const auto payload = parse_request_payload(text);
    const auto reason = worker.start_request(lease, id, queue, payload.echo);
    if (reason == request_refusal::lease_closed)
        return lease_closed_response();
    if (reason == request_refusal::attempt_repeated)
        return make_error_response(409, "repeated",
                                   "the attempt id was used before");
    const auto work =
        payload.work_time + std::chrono::milliseconds(worker.faults().slow_ms);
    if (work.count() > 0)
        sleeper_.sleep(work);
    const auto answer = response_body(payload, id, text);
    worker.end_request(id, 200, answer);
    if (worker.faults().unresponsive)
        return withhold_response();
    return json_response(
        json_object().number("status", 200).text("body", answer));
}

http::response worker_service::attempt(worker_state& worker,
                                       const std::string& lease,
                                       const std::string& id)
{
    const auto found = worker.attempt(lease, id);
    return json_response(json_object()
                             .text("state", name_of(found.state))
                             .text("boot", boot_)
                             .number("status", found.status)
                             .text("body", found.body));
}

http::response worker_service::set_faults(worker_state& worker,
                                          const web::json::value& body)
{
    std::vector<std::string> errors;
    base::object_reader reader(body, "", errors);
    auto& faults = worker.faults();
    faults.fail_all = reader.flag("fail_all", faults.fail_all);
    faults.unresponsive = reader.flag("silent", faults.unresponsive);
    faults.slow_ms = static_cast<int>(
        reader.number("slow_ms", faults.slow_ms, 0, max_slow_ms));
    reader.finish();
    if (!errors.empty())
        return invalid_input_response(errors);
    return json_response(json_object().flag("accepted", true));
}

} // namespace mustardwick::testing
