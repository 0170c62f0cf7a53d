#include "entry_node_impl.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

/// Delay between two attempts to reach a leader.
constexpr milliseconds leader_retry{60};
/// Maximum wait for one answer of the leader; a commit to a slow store takes
/// most of a second.
constexpr milliseconds leader_call_timeout{1500};

constexpr std::string_view no_time_left = "no time left";
constexpr std::string_view leader_unknown = "leader unknown";
constexpr std::string_view not_serving = "not serving as leader";
constexpr std::string_view leadership_ended = "leadership ended";
constexpr std::string_view not_confirmed = "not confirmed by the store";

} // namespace

/// A call that is sent to the leader until it answers or time is up.
struct entry_node::impl::leader_attempt
{
    message_type type;
    std::string payload;
    base::steady_time deadline;
    std::function<void(leader_result)> done;
    call_trace trace;
    /// A copy of the call that was not answered may have reached a leader, or
    /// may still do so after a partition.
    bool maybe_sent = false;
};

base::steady_time
entry_node::impl::answer_time(base::steady_time deadline) const
{
    return last_answer ? std::min(deadline, *last_answer) : deadline;
}

void entry_node::impl::call_leader(message_type type,
                                   const std::string& payload,
                                   base::steady_time deadline,
                                   std::function<void(leader_result)> done)
{
    try_leader(std::make_shared<leader_attempt>(leader_attempt{
        type, payload, deadline, std::move(done), call_trace(clock.now())}));
}

void entry_node::impl::answered(leader_attempt& call, const job_reply& reply)
{
    availability.call_succeeded();
    if (reply.status == reply_status::not_leader)
        call.trace.failed(not_confirmed, known_leader.name, known_leader.epoch,
                          clock.now());
    call.done({reply, true, call.trace, call.maybe_sent});
}

void entry_node::impl::give_up(const leader_attempt& call)
{
    call.done({std::nullopt, call.maybe_sent, call.trace, call.maybe_sent});
}

void entry_node::impl::retry_leader(const std::shared_ptr<leader_attempt>& call,
                                    std::string_view outcome)
{
    const auto now = clock.now();
    availability.call_failed(now);
    call->trace.failed(outcome, known_leader.name, known_leader.epoch, now);
    if (now + leader_retry >= answer_time(call->deadline))
        return give_up(*call);
    auto timer = std::make_shared<asio::steady_timer>(io, leader_retry);
    timer->async_wait(
        [this, timer, call](boost::system::error_code)
        {
            try_leader(call);
        });
}

void entry_node::impl::try_leader(const std::shared_ptr<leader_attempt>& call)
{
    const bool may_refuse =
        !call->maybe_sent && call->type == message_type::submit_job;
    if (may_refuse && availability.is_missing(clock.now()))
        return give_up(*call);
    const auto left = std::chrono::duration_cast<milliseconds>(
        answer_time(call->deadline) - clock.now());
    if (left.count() <= 0)
    {
        call->trace.failed(no_time_left, known_leader.name, known_leader.epoch,
                           clock.now());
        return give_up(*call);
    }
    const auto timeout = std::min(left, leader_call_timeout);
    if (leader)
        return try_own_leader(call, timeout);
    if (known_leader.epoch == 0 || !peers || known_leader.name == options.name)
        return retry_leader(call, leader_unknown);
    peers->call(
        known_leader.endpoint, call->type, call->payload, timeout,
        [this, call, epoch = known_leader.epoch](const aio::peer_result& result)
        {
            leader_answered(call, epoch, result);
        });
}

void entry_node::impl::try_own_leader(
    const std::shared_ptr<leader_attempt>& call, milliseconds timeout)
{
    auto timer = std::make_shared<asio::steady_timer>(io, timeout);
    const auto open = std::make_shared<bool>(true);
    const auto respond = [this, call, timer, open](const std::string& answer)
    {
        if (!std::exchange(*open, false))
            return;
        timer->cancel();
        const auto reply = wire::decode<job_reply>(answer);
        if (reply)
            return answered(*call, *reply);
        call->maybe_sent = true;
        retry_leader(call, leadership_ended);
    };
    if (!leader->handle(call->type, call->payload, respond))
        return retry_leader(call, not_serving);
    if (*open)
        timer->async_wait(
            [this, call, timer, open](boost::system::error_code ec)
            {
                if (ec || !std::exchange(*open, false))
                    return;
                call->maybe_sent = true;
                retry_leader(call, to_string(aio::peer_failure::timed_out));
            });
}

void entry_node::impl::leader_answered(
    const std::shared_ptr<leader_attempt>& call, std::int64_t epoch,
    const aio::peer_result& result)
{
    std::optional<job_reply> reply;
    if (result.answered())
        reply = wire::decode<job_reply>(result.payload);
    if (reply && !reply->should_ask_again())
        return answered(*call, *reply);
    if (result.connection_refused() && epoch == known_leader.epoch && !leader)
        candidate->leader_connection_refused(epoch);
    if (!reply && !result.connection_refused())
        call->maybe_sent = true;
    const auto unusable = reply ? not_serving : leadership_ended;
    retry_leader(call,
                 result.answered() ? unusable : to_string(result.failure));
}

} // namespace mustardwick::entry
