#include "mustardwick/entry/gateway.hpp"

#include <algorithm>
#include <cctype>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/codec.hpp"
#include "platform/decode.hpp"

namespace mustardwick::entry
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;
using wire::message_type;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int gone = 410;
constexpr int content_too_large = 413;
constexpr int too_many_requests = 429;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

constexpr std::size_t job_id_digits = 16;
/// A job's specification and the state that it has at acceptance are one row of
/// the store.
constexpr std::size_t max_specification_bytes = 40'000;
/// Time that a response needs to travel back to the caller.
constexpr milliseconds answer_margin{150};
/// Deadline of requests that specify none.
constexpr milliseconds default_deadline{3000};
/// A submission does not outlive the record of its cancellation, which is kept
/// for the retention time.
constexpr milliseconds max_deadline{60'000};
/// Retry delay for callers when no leader was found; the next one is usually
/// elected by then.
constexpr milliseconds failover_retry_after{1000};

aio::outgoing_response json_response(int status, std::string body = "{}")
{
    return {status, std::move(body), "application/json", {}};
}

aio::outgoing_response error_response(int status, const std::string& text)
{
    auto body = web::json::value::object();
    body["error"] = web::json::value::string(text);
    return json_response(status, body.serialize());
}

aio::outgoing_response retry_later(milliseconds after, int status = unavailable)
{
    return {status, "{}", "application/json", after};
}

/// Returns why the leader did not accept a job; empty when it did.
std::string_view refusal_reason(reply_status status)
{
    switch (status)
    {
    case reply_status::done:
        return {};
    case reply_status::over_share:
        return "the account exceeds its share of a busy cell";
    case reply_status::withdrawn:
        return "the job was cancelled before it was accepted";
    default:
        return "the store is unavailable";
    }
}

/// Returns the answer to a submission of which the leader did not accept this
/// copy.
aio::outgoing_response refusal_response(const job_reply& reply,
                                        bool has_unanswered_copy)
{
    const milliseconds retry_after(reply.retry_after_ms);
    // A 429 or 503 would promise that the job never runs, but another copy may
    // still be accepted.
    const auto status_of_refusal = [&](int status)
    {
        return has_unanswered_copy ? gateway_timeout : status;
    };
    switch (reply.status)
    {
    case reply_status::over_share:
        return retry_later(retry_after, status_of_refusal(too_many_requests));
    case reply_status::withdrawn:
        // Under this id the job can never run, so there is no time to retry.
        return error_response(gone, "the job was cancelled before it was "
                                    "accepted; submit it under another id");
    default:
        return retry_later(retry_after, status_of_refusal(unavailable));
    }
}

/// Returns when to retry a call about a job that no leader could answer;
/// std::nullopt when one did.
std::optional<milliseconds> retry_time(const leader_result& result)
{
    if (!result.reply)
        return failover_retry_after;
    if (result.reply->status == reply_status::not_leader)
        return milliseconds(result.reply->retry_after_ms);
    return std::nullopt;
}

bool is_job_id(std::string_view text)
{
    return text.size() == job_id_digits &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c)
                       {
                           return std::isxdigit(c) != 0;
                       });
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

struct gateway::call_context
{
    std::string id;
    std::string queue;
    std::string account;
    /// Configuration version that admitted the call.
    std::int64_t configuration = 0;
    base::steady_time received;
    /// Time that the call spent in the socket before it was received.
    milliseconds unread{0};
    base::steady_time deadline;
    aio::responder respond;
};

gateway::gateway(const base::clock& time, base::metrics& metrics,
                 const operator_state& state, leader_call call,
                 std::string name)
    : clock_(time), metrics_(metrics), state_(state), call_(std::move(call)),
      name_(std::move(name))
{
}

std::optional<std::string>
gateway::account_of(const aio::incoming_request& request,
                    const jobs::queue& queue) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request.authorization;
    const auto& accounts = state_.configuration->account_of_key;
    if (header.starts_with(scheme))
    {
        const auto it = accounts.find(header.substr(scheme.size()));
        if (it != accounts.end())
            return it->second;
    }
    if (queue.is_public)
        return std::string();
    return std::nullopt;
}

void gateway::handle(const aio::incoming_request& request,
                     aio::responder respond)
{
    metrics_.add("mustardwick_requests_total");
    const auto received_at = request.received;
    const auto reply = [this, received_at, respond = std::move(respond)](
                           aio::outgoing_response response)
    {
        const std::chrono::duration<double> took = clock_.now() - received_at;
        metrics_.observe("mustardwick_request_seconds", took.count());
        metrics_.add("mustardwick_responses_" +
                     std::to_string(response.status) + "_total");
        respond(std::move(response));
    };
    if (!state_.configuration)
        return reply(retry_later(milliseconds(1000)));
    const auto path =
        std::string_view(request.target).substr(0, request.target.find('?'));
    const auto* queue =
        state_.configuration->find_queue(without_port(request.host), path);
    if (queue == nullptr)
        return reply(json_response(not_found));
    const auto account = account_of(request, *queue);
    if (!account)
        return reply(json_response(unauthorized));
    call_context context;
    context.id = path.substr(queue->path_prefix.size());
    context.queue = queue->name;
    context.account = *account;
    context.configuration = state_.configuration->version;
    context.received = received_at;
    context.unread = request.unread;
    // Callers wait from the time at which they sent the request.
    context.deadline =
        received_at - request.unread +
        std::min(request.deadline.value_or(default_deadline), max_deadline) -
        answer_margin;
    context.respond = reply;
    if (context.id.empty() && request.method == "GET")
        return count(context);
    if (!is_job_id(context.id))
        return reply(json_response(not_found));
    if (context.deadline <= clock_.now())
    {
        log_event(log_level::warning, "gateway", "call_expired",
                  {{"job", context.id},
                   {"method", request.method},
                   {"unread_ms", context.unread.count()}});
        return reply(retry_later(failover_retry_after));
    }
    if (request.method == "POST")
        return submit(context, request.body);
    if (request.method == "GET")
        return query(context);
    if (request.method == "DELETE")
        return cancel(context);
    reply(json_response(not_found));
}

milliseconds gateway::waited(const call_context& context) const
{
    return std::chrono::duration_cast<milliseconds>(clock_.now() -
                                                    context.received);
}

void gateway::log_unanswered(const call_context& context,
                             std::string_view event,
                             const leader_result& result) const
{
    log_event(log_level::warning, "gateway", event,
              {{"job", context.id},
               {"queue", context.queue},
               {"waited_ms", result.trace.age(clock_.now()).count()},
               {"attempts", result.trace.attempts()},
               {"leader", result.trace.leader()},
               {"epoch", result.trace.epoch()},
               {"maybe_sent", int(result.maybe_sent)},
               {"outcomes", result.trace.outcomes()}});
}

void gateway::submit(const call_context& context, const std::string& body)
{
    auto job = platform::decode_job(body);
    if (!job)
    {
        log_event(log_level::warning, "gateway", "job_refused",
                  {{"job", context.id}, {"reason", base::last_error().text()}});
        return context.respond(
            error_response(bad_request, base::last_error().text()));
    }
    job->id = context.id;
    job->queue = context.queue;
    job->account = context.account;
    job->arrived_ms = base::wall_ms(clock_);
    const auto bytes = wire::encode(*job).size();
    if (bytes > max_specification_bytes)
    {
        log_event(log_level::warning, "gateway", "job_refused",
                  {{"job", context.id},
                   {"bytes", bytes},
                   {"max_bytes", max_specification_bytes}});
        return context.respond(error_response(
            content_too_large,
            "the job takes " + std::to_string(bytes) + " bytes, at most " +
                std::to_string(max_specification_bytes) + " can be stored"));
    }
    const submission message{std::move(*job), name_, context.unread.count()};
    call_(message_type::submit_job, wire::encode(message), context.deadline,
          [this, context](const leader_result& result)
          {
              const auto refused = result.reply
                                       ? refusal_reason(result.reply->status)
                                       : std::string_view();
              if (!refused.empty())
              {
                  log_event(
                      log_level::warning, "gateway", "job_refused",
                      {{"job", context.id},
                       {"account", context.account},
                       {"unread_ms", context.unread.count()},
                       {"unanswered_copy", int(result.has_unanswered_copy)},
                       {"reason", refused}});
                  return context.respond(refusal_response(
                      *result.reply, result.has_unanswered_copy));
              }
              if (result.reply)
              {
                  log_event(log_level::info, "gateway", "job_accepted",
                            {{"job", context.id},
                             {"queue", context.queue},
                             {"account", context.account},
                             {"unread_ms", context.unread.count()},
                             {"waited_ms", waited(context).count()},
                             {"configuration", context.configuration}});
                  return context.respond(json_response(ok));
              }
              log_unanswered(context, "job_not_accepted", result);
              // A 503 would promise that the job never runs, but a leader may
              // have stored it.
              context.respond(result.maybe_sent
                                  ? json_response(gateway_timeout)
                                  : retry_later(failover_retry_after));
          });
}

void gateway::query(const call_context& context)
{
    call_(message_type::query_job,
          wire::encode(job_query{context.id, context.account}),
          context.deadline,
          [this, context](const leader_result& result)
          {
              if (const auto retry_after = retry_time(result))
              {
                  log_unanswered(context, "query_unanswered", result);
                  return context.respond(retry_later(*retry_after));
              }
              if (result.reply->status == reply_status::unknown_job)
                  return context.respond(json_response(gone));
              context.respond(json_response(
                  ok, platform::encode_job_state(result.reply->state)));
          });
}

void gateway::cancel(const call_context& context)
{
    call_(message_type::cancel_job,
          wire::encode(job_query{context.id, context.account}),
          context.deadline,
          [this, context](const leader_result& result)
          {
              if (const auto retry_after = retry_time(result))
              {
                  log_unanswered(context, "cancel_unanswered", result);
                  return context.respond(retry_later(*retry_after));
              }
              const bool known =
                  result.reply->status != reply_status::unknown_job;
              context.respond(json_response(known ? ok : gone));
          });
}

void gateway::count(const call_context& context)
{
    call_(message_type::count_waiting, wire::encode(queue_query{context.queue}),
          context.deadline,
          [this, context](const leader_result& result)
          {
              if (!result.reply)
              {
                  log_unanswered(context, "count_unanswered", result);
                  return context.respond(retry_later(failover_retry_after));
              }
              context.respond(json_response(
                  ok, platform::encode_waiting_count(result.reply->waiting)));
          });
}

} // namespace mustardwick::entry
