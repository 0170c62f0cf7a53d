#include "mustardwick/cli/daemon_client.hpp"

#include <utility>

#include <cpprest/base_uri.h>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::cli
{

namespace
{

/// Limit on the size of an answer. It is higher than the daemon's limit for one
/// request, because a list of jobs can be longer than that.
constexpr std::size_t max_answer_bytes = 64U << 20U;

bool is_read_only(const api_call& call)
{
    return call.method == "GET";
}

std::nullopt_t fail_unanswered(const api_call& call, bool answer_lost)
{
    auto reason = base::last_error();
    if (answer_lost && !is_read_only(call) &&
        reason.kind != base::error_kind::timeout)
    {
        reason.kind = base::error_kind::timeout;
        reason.message += " (the call may have taken effect)";
    }
    return base::fail(std::move(reason));
}

} // namespace

std::optional<web::json::value> api_answer::json() const
{
    auto out = base::parse_json(body, max_answer_bytes);
    if (out)
        return out;
    return base::fail(base::error_kind::internal,
                      daemon + " sent an answer that is not JSON",
                      "check that the address is that of a daemon");
}

daemon_client::daemon_client(daemon_settings settings)
    : settings_(std::move(settings))
{
}

const std::vector<wire::endpoint>& daemon_client::daemons() const
{
    return settings_.daemons;
}

transport_call daemon_client::prepare(const wire::endpoint& daemon,
                                      const api_call& call) const
{
    transport_call out;
    out.daemon = daemon;
    out.method = call.method;
    out.target = call.target;
    out.body = call.body;
    out.key = settings_.key;
    out.ca_file = settings_.ca_file;
    out.timeout = settings_.timeout + call.extra_time;
    return out;
}

std::optional<api_answer> daemon_client::call_at(const wire::endpoint& daemon,
                                                 const api_call& call) const
{
    auto progress = http::delivery::not_sent;
    auto reply = send_once(prepare(daemon, call), progress);
    if (!reply)
        return fail_unanswered(call, progress != http::delivery::not_sent);
    return api_answer{reply->status, std::move(reply->body),
                      wire::to_string(daemon), false};
}

std::optional<api_answer> daemon_client::call(const api_call& call)
{
    bool answer_lost = false;
    for (std::size_t n = 0; n < settings_.daemons.size(); ++n)
    {
        const auto index = (last_reachable_ + n) % settings_.daemons.size();
        auto answer = call_at(settings_.daemons[index], call);
        if (answer)
        {
            last_reachable_ = index;
            answer->earlier_attempt_lost = answer_lost && !is_read_only(call);
            return answer;
        }
        const bool outcome_unknown =
            base::last_error().kind == base::error_kind::timeout;
        answer_lost = answer_lost || outcome_unknown;
        if (outcome_unknown && call.policy == resend::only_if_not_sent)
            break;
    }
    return fail_unanswered(call, answer_lost);
}

std::string path_of(std::initializer_list<std::string_view> segments)
{
    std::string out;
    for (const auto it : segments)
        out += "/" + encode(it);
    return out;
}

std::string encode(std::string_view text)
{
    return web::uri::encode_data_string(std::string(text));
}

} // namespace mustardwick::cli
