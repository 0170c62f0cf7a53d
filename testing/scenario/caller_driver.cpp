#include "testing/scenario/caller_driver.hpp"

#include <thread>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr milliseconds answer_margin{1000};
constexpr milliseconds job_call_timeout{3000};
constexpr milliseconds retry_interval{100};
constexpr int not_found_status = 404;
constexpr int timeout_status = 504;
constexpr int internal_status = 500;

/// Maps a reply to an outcome. The outcome "unknown" and the statuses 504 and
/// 500 leave open whether the request ran; other replies without "done" count
/// as refused.
call_outcome outcome_of(const api_reply& reply)
{
    if (reply.not_sent)
        return call_outcome::not_sent;
    if (reply.status == 0)
        return call_outcome::no_answer;
    const auto text = reply.text("outcome");
    if (text == "done")
        return call_outcome::done;
    const bool in_doubt = text == "unknown" || reply.status == timeout_status ||
                          reply.status == internal_status;
    return in_doubt ? call_outcome::unknown : call_outcome::refused;
}

/// Returns the echo text in the target's response; empty when there is none.
std::string echo_of(const api_reply& reply)
{
    const auto body = base::parse_json(reply.text("body"));
    const bool has_echo =
        body && body->is_object() && body->has_string_field("echo");
    return has_echo ? body->at("echo").as_string() : "";
}

std::int64_t milliseconds_since(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now() - begin)
        .count();
}

web::json::value job_body(const std::string& id, const statement& line)
{
    json_object payload;
    payload.number("run_ms", line.duration("run", milliseconds{200}).count());
    payload.flag("fail", line.flag("fail", false));
    json_object out;
    out.text("id", id)
        .text("queue", line.option("queue"))
        .text("kind", line.option("kind", "batch"))
        .text("priority", line.option("priority", "normal"))
        .number("tasks", line.number("tasks", 1))
        .number("millicpus", line.number("millicpus", 1000))
        .number("memory_mb", line.number("memory_mb", 100))
        .number("accelerators", line.number("accelerators", 0))
        .text("payload", payload.serialize());
    return out.value();
}

} // namespace

const char* name_of(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::done:
        return "done";
    case call_outcome::refused:
        return "refused";
    case call_outcome::unknown:
        return "unknown";
    case call_outcome::no_answer:
        return "no_answer";
    case call_outcome::not_found:
        return "not_found";
    case call_outcome::not_sent:
        break;
    }
    return "not_sent";
}

void caller_driver::record_call(const caller_request& request,
                                const std::string& daemon,
                                const call_result& result,
                                const std::string& answer, std::int64_t sent)
{
    recorder_.call(json_object()
                       .text("id", request.id)
                       .text("echo", result.echo)
                       .text("team", operators_.team_of(request.key))
                       .text("key", request.key)
                       .text("daemon", daemon)
                       .flag("idempotent", request.idempotent)
                       .text("outcome", name_of(result.outcome))
                       .number("status", result.status)
                       .text("answer", answer)
                       .number("sent", sent)
                       .number("answered", recorder_.now()));
}

call_result caller_driver::send(const caller_request& request,
                                const daemon_entry& daemon)
{
    call_result out;
    out.echo = request.id + '#' + std::to_string(next_call_++);
    const auto payload = json_object()
                             .number("work_ms", request.work.count())
                             .text("echo", out.echo)
                             .serialize();
    api_call call;
    call.port = daemon.http_port;
    call.method = "POST";
    call.path = "/v1/requests";
    call.key = operators_.key_text(request.key);
    call.timeout = request.deadline + answer_margin;
    call.body = json_object()
                    .text("id", request.id)
                    .text("queue", request.queue)
                    .flag("idempotent", request.idempotent)
                    .number("deadline_ms", request.deadline.count())
                    .text("body", payload)
                    .value();
    const auto sent = recorder_.now();
    const auto begin = std::chrono::steady_clock::now();
    const auto reply = client_.send(call);
    out.time = milliseconds(milliseconds_since(begin));
    out.outcome = outcome_of(reply);
    out.status = reply.status;
    record_call(request, daemon.name, out, echo_of(reply), sent);
    return out;
}

call_result caller_driver::query_request(const caller_request& request,
                                         const std::string& echo,
                                         const daemon_entry& daemon)
{
    call_result out;
    out.echo = echo;
    api_call call;
    call.port = daemon.http_port;
    call.path = "/v1/requests/" + request.id;
    call.key = operators_.key_text(request.key);
    const auto sent = recorder_.now();
    const auto reply = client_.send(call);
    out.outcome = outcome_of(reply);
    out.status = reply.status;
    // A reply without an outcome does not say whether the request ran.
    if (reply.status == not_found_status)
        out.outcome = call_outcome::not_found;
    else if (reply.text("outcome").empty())
        out.outcome = call_outcome::unknown;
    record_call(request, "", out, echo_of(reply), sent);
    return out;
}

bool caller_driver::submit(const std::string& id, const statement& line,
                           milliseconds limit)
{
    const auto key = line.option("key");
    recorder_.fact("job", id,
                   json_object().text("team", operators_.team_of(key)));
    {
        const std::scoped_lock lock(mutex_);
        keys_of_jobs_[id] = key;
    }
    api_call call;
    call.method = "POST";
    call.path = "/v1/jobs";
    call.key = operators_.key_text(key);
    call.timeout = job_call_timeout;
    call.body = job_body(id, line);
    const auto deadline = std::chrono::steady_clock::now() + limit;
    api_reply reply;
    do
    {
        const auto* daemon = cell_.next_daemon();
        if (daemon != nullptr)
        {
            call.port = daemon->http_port;
            reply = client_.send(call);
        }
        if (reply.ok())
            return true;
        if (reply.status != 0 && reply.status < internal_status)
            break;
        std::this_thread::sleep_for(retry_interval);
    } while (std::chrono::steady_clock::now() < deadline);
    base::fail(base::error_kind::unavailable,
               "job " + id + " was not accepted: status " +
                   std::to_string(reply.status) + ' ' + reply.text("message"),
               "see the logs of the daemons");
    return false;
}

bool caller_driver::cancel(const std::string& id, const std::string& key)
{
    const auto* daemon = cell_.next_daemon();
    if (daemon == nullptr)
        return false;
    api_call call;
    call.port = daemon->http_port;
    call.method = "DELETE";
    call.path = "/v1/jobs/" + id;
    call.key = operators_.key_text(key);
    return client_.send(call).ok();
}

api_reply caller_driver::get_job(const std::string& id)
{
    const auto* daemon = cell_.next_daemon();
    if (daemon == nullptr)
        return {};
    api_call call;
    call.port = daemon->http_port;
    call.path = "/v1/jobs/" + id;
    call.timeout = job_call_timeout;
    {
        const std::scoped_lock lock(mutex_);
        call.key = operators_.key_text(keys_of_jobs_[id]);
    }
    return client_.send(call);
}

std::string caller_driver::job_state(const std::string& id)
{
    return get_job(id).text("state");
}

std::optional<std::int64_t> caller_driver::job_number(const std::string& id,
                                                      const char* field)
{
    const auto reply = get_job(id);
    if (!reply.ok())
        return std::nullopt;
    return reply.number(field);
}

} // namespace mustardwick::testing
