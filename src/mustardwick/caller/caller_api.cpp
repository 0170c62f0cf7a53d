#include "mustardwick/caller/caller_api.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"
#include "mustardwick/coordination/resources.hpp"

namespace mustardwick::caller
{

namespace json = web::json;
using base::error_kind;
using coordination::job_record;
using std::chrono::milliseconds;
using wire::outcome;

namespace
{

constexpr std::string_view requests_path = "/v1/requests";
constexpr std::string_view jobs_path = "/v1/jobs";
/// Team of work without a key on a queue that is open to all teams.
constexpr std::string_view anonymous_team = "open";
constexpr int status_created = 201;
constexpr int status_refused = 503;
constexpr int status_unknown = 504;

json::value text(std::string_view value)
{
    return json::value::string(std::string(value));
}

http::response bad_request(const std::vector<std::string>& errors)
{
    std::string joined;
    for (const auto& it : errors)
        joined += (joined.empty() ? "" : "; ") + it;
    return http::error_response(
        {error_kind::invalid_input, joined, "correct the named fields"});
}

http::response last_failure()
{
    return http::error_response(base::last_error());
}

/// Returns the path below a collection; empty for the collection itself.
std::string item_of(std::string_view path, std::string_view collection)
{
    const auto rest = path.substr(collection.size());
    return std::string(rest.empty() ? rest : rest.substr(1));
}

bool is_under(std::string_view path, std::string_view collection)
{
    return path == collection ||
           (path.starts_with(collection) && path[collection.size()] == '/');
}

http::response to_response(const std::string& id,
                           const wire::forward_answer& answer);

/// Response to a request that was not admitted and so has not run. A transient
/// cause is reported as outcome "refused".
http::response refuse_request(const std::string& id)
{
    const auto& reason = base::last_error();
    if (reason.kind != error_kind::unavailable &&
        reason.kind != error_kind::overloaded)
        return http::error_response(reason);
    return to_response(
        id, coordination::refused_answer(reason.message, reason.remedy));
}

http::response to_response(const std::string& id,
                           const wire::forward_answer& answer)
{
    auto body = json::value::object();
    body["id"] = text(id);
    http::response out;
    switch (answer.result)
    {
    case outcome::done:
        body["outcome"] = text("done");
        body["status"] = answer.status;
        body["body"] = text(answer.body);
        break;
    case outcome::refused:
        body["outcome"] = text("refused");
        out.status = status_refused;
        out.retry_after_seconds = 1;
        break;
    case outcome::unknown:
        body["outcome"] = text("unknown");
        out.status = status_unknown;
        break;
    }
    if (answer.result != outcome::done)
    {
        body["reason"] = text(answer.reason);
        body["remedy"] = text(answer.remedy);
    }
    out.body = body.serialize();
    return out;
}

json::value encode_job(const job_record& job)
{
    const auto& spec = job.specification;
    auto out = json::value::object();
    out["id"] = text(spec.id);
    out["team"] = text(spec.team);
    out["queue"] = text(spec.queue);
    out["kind"] = text(name_of(spec.kind));
    out["priority"] = text(name_of(spec.priority));
    out["state"] = text(name_of(job.state));
    out["reason"] = text(job.reason);
    out["tasks"] = spec.tasks;
    return out;
}

json::value encode_task(const coordination::task_record& task)
{
    auto out = json::value::object();
    out["index"] = task.id.index;
    out["state"] = text(name_of(task.state));
    out["host"] = text(task.host);
    out["attempt"] = text(task.attempt);
    return out;
}

json::value encode_status(const job_status& status)
{
    auto out = encode_job(status.job);
    auto tasks = json::value::array();
    int running = 0;
    int finished = 0;
    for (const auto& it : status.tasks)
    {
        running += it.attempt.empty() ? 0 : 1;
        finished += it.state == coordination::task_state::finished ? 1 : 0;
        tasks[tasks.size()] = encode_task(it);
    }
    if (is_final(status.job.state))
        finished = status.job.finished;
    const bool ended = is_final(status.job.state);
    const auto all = status.job.specification.tasks;
    out["running"] = running;
    out["finished"] = finished;
    out["pending"] = ended ? 0 : std::max(0, all - running - finished);
    out["task_states"] = tasks;
    return out;
}

struct request_fields
{
    admitted_request request;
    std::vector<std::string> errors;
};

request_fields parse_request(const http::request& call,
                             milliseconds max_timeout)
{
    request_fields out;
    const auto value = base::parse_json(call.body);
    if (!value)
    {
        out.errors.push_back(base::last_error().text());
        return out;
    }
    base::object_reader reader(*value, "", out.errors);
    out.request.id = reader.required_text("id");
    if (!out.request.id.empty() && !coordination::is_valid_name(out.request.id))
        reader.report("id", out.request.id,
                      "give 1 to 64 letters, digits, '.', '_' or '-'");
    out.request.queue = reader.required_text("queue");
    out.request.idempotent = reader.flag("idempotent", false);
    constexpr std::int64_t default_deadline_ms = 5000;
    const auto max_deadline_ms = static_cast<std::int64_t>(max_timeout.count());
    out.request.timeout = milliseconds{reader.number(
        "deadline_ms", std::min(default_deadline_ms, max_deadline_ms), 1,
        max_deadline_ms)};
    out.request.body = reader.text("body", "");
    reader.finish();
    return out;
}

} // namespace

caller_api::caller_api(caller_api_links links) : links_(links) {}

void caller_api::drain()
{
    draining_ = true;
}

http::response caller_api::handle(const http::request& call)
{
    const auto from = links_.keys.authenticate(call.authorization);
    if (!from)
        return last_failure();
    if (is_under(call.path, requests_path))
        return handle_request(call, *from);
    return handle_job(call, *from);
}

/// Checks that the queue accepts this kind of work from the caller; returns the
/// team that the work belongs to.
std::optional<std::string> caller_api::admit(const std::string& queue,
                                             bool takes_requests,
                                             const principal& from) const
{
    if (draining_)
        return base::fail(error_kind::unavailable, "the daemon is stopping",
                          "send the work to another daemon");
    if (!links_.config.is_fresh())
        return base::fail(error_kind::unavailable,
                          "the configuration is not confirmed",
                          "retry after a delay");
    const auto config = links_.config.current();
    const auto it = config->queues.find(queue);
    if (it == config->queues.end())
        return base::fail(error_kind::not_found, "no queue " + queue,
                          "ask an operator to create it");
    if (it->second.takes_requests != takes_requests)
        return base::fail(error_kind::invalid_input,
                          "queue " + queue + " takes the other kind of work",
                          "use a queue of kind " + std::string(takes_requests
                                                                   ? "requests"
                                                                   : "jobs"));
    const bool is_open = it->second.team.empty();
    if (is_open)
        return from.team.empty() ? std::string(anonymous_team) : from.team;
    if (from.team.empty())
        return base::fail(error_kind::unauthenticated,
                          "queue " + queue + " needs a key",
                          "send the header Authorization: Bearer KEY");
    if (from.team != it->second.team)
        return base::fail(error_kind::forbidden,
                          "the key's team may not use queue " + queue,
                          "use a queue of team " + from.team);
    return from.team;
}

http::response caller_api::handle_request(const http::request& call,
                                          const principal& from)
{
    const auto id = item_of(call.path, requests_path);
    if (call.method == "POST" && id.empty())
        return run_request(call, from);
    if (call.method == "GET" && !id.empty())
        return get_request_outcome(id, from);
    return http::error_response({error_kind::not_found,
                                 "no such operation on " + call.path,
                                 "see docs/interface.md"});
}

http::response caller_api::run_request(const http::request& call,
                                       const principal& from)
{
    auto fields = parse_request(call, links_.max_request_time);
    if (!fields.errors.empty())
        return bad_request(fields.errors);
    auto& request = fields.request;
    const auto team = admit(request.queue, true, from);
    if (!team)
        return refuse_request(request.id);
    request.team = *team;
    links_.events.record("request_accepted", request.id, request.queue);
    const auto started = std::chrono::steady_clock::now();
    auto answer = links_.router.route(request);
    const bool in_doubt =
        answer.result == outcome::unknown && !request.idempotent;
    if (in_doubt)
    {
        auto resolved = links_.claims.resolve(request.team, request.id);
        if (resolved && resolved->result == outcome::done)
            answer = std::move(*resolved);
    }
    const std::chrono::duration<double> spent =
        std::chrono::steady_clock::now() - started;
    links_.metrics.observe("mustardwick_request_seconds", spent.count());
    return to_response(request.id, answer);
}

http::response caller_api::get_request_outcome(const std::string& id,
                                               const principal& from)
{
    const auto team =
        from.team.empty() ? std::string(anonymous_team) : from.team;
    const auto answer = links_.claims.resolve(team, id);
    if (!answer)
        return last_failure();
    return to_response(id, *answer);
}

http::response caller_api::handle_job(const http::request& call,
                                      const principal& from)
{
    const auto id = item_of(call.path, jobs_path);
    const auto team =
        from.team.empty() ? std::string(anonymous_team) : from.team;
    if (call.method == "POST" && id.empty())
        return submit_job(call, from);
    if (call.method == "GET" && id.empty())
        return list_jobs({team});
    const bool is_read = call.method == "GET" && !id.empty();
    const bool is_cancel = call.method == "DELETE" && !id.empty();
    if (!is_read && !is_cancel)
        return http::error_response({error_kind::not_found,
                                     "no such operation on " + call.path,
                                     "see docs/interface.md"});
    const auto status =
        is_read ? links_.jobs.status(id, team) : links_.jobs.cancel(id, team);
    if (!status)
        return last_failure();
    http::response out;
    out.body = encode_status(*status).serialize();
    return out;
}

http::response caller_api::submit_job(const http::request& call,
                                      const principal& from)
{
    std::vector<std::string> errors;
    auto job = parse_submission(call.body, errors);
    if (!job)
        return bad_request(errors);
    const auto team = admit(job->specification.queue, false, from);
    if (!team)
        return last_failure();
    job->specification.team = *team;
    const auto result = links_.jobs.submit(*job);
    if (!result)
        return last_failure();
    links_.events.record("job_accepted", job->specification.id, *team);
    http::response out;
    out.status = result->is_new ? status_created : 200;
    out.body = encode_job(result->job).serialize();
    return out;
}

http::response caller_api::list_jobs(const principal& from)
{
    const auto jobs = links_.jobs.list(from.team);
    if (!jobs)
        return last_failure();
    auto items = json::value::array(jobs->size());
    for (std::size_t n = 0; n < jobs->size(); ++n)
        items[n] = encode_job((*jobs)[n]);
    auto body = json::value::object();
    body["items"] = items;
    http::response out;
    out.body = body.serialize();
    return out;
}

} // namespace mustardwick::caller
