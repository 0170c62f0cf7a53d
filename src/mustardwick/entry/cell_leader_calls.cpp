#include "mustardwick/entry/cell_leader.hpp"

#include <algorithm>
#include <iterator>

#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// New jobs are rejected once transactions have failed for this long; a single
/// lost answer is resolved sooner.
constexpr milliseconds refusal_timeout{600};
/// A slow store answers the second, longer attempt within this time.
constexpr milliseconds refusal_timeout_when_unresponsive{1500};
constexpr milliseconds min_retry_after{1000};
constexpr milliseconds max_retry_after{4000};

/// Calls that wait longer are reported; a transaction of a slow store takes
/// less.
constexpr milliseconds reported_wait{1000};

constexpr std::string_view submit_call = "submit";
constexpr std::string_view query_call = "query";
constexpr std::string_view cancel_call = "cancel";
/// The cancellation of a job that the leader does not know.
constexpr std::string_view withdraw_call = "withdraw";

std::string answer(const job_reply& reply)
{
    return wire::encode(reply);
}

} // namespace

std::optional<milliseconds> cell_leader::store_retry_after() const
{
    const auto failing = log_->failing_since();
    if (!failing)
        return std::nullopt;
    const auto outage_time =
        std::chrono::duration_cast<milliseconds>(env_.clock.now() - *failing);
    const auto timeout = log_->is_unresponsive()
                             ? refusal_timeout_when_unresponsive
                             : refusal_timeout;
    if (outage_time < timeout)
        return std::nullopt;
    // The expected remaining time of an outage is the time it has lasted so
    // far.
    return std::clamp(outage_time, min_retry_after, max_retry_after);
}

bool cell_leader::submit(const std::string& payload,
                         const aio::peer_responder& respond)
{
    auto received = wire::decode<submission>(payload);
    if (!received)
        return false;
    auto& job = received->job;
    if (const auto since = planner_.withdrawn_for(job.id))
    {
        log_event(log_level::warning, "leader", "withdrawn_job_submitted",
                  {{"job", job.id},
                   {"gateway", received->gateway},
                   {"unread_ms", received->unread_ms},
                   {"forwarded_ms", base::wall_ms(env_.clock) - job.arrived_ms},
                   {"withdrawn_ms", since->count()}});
        respond(answer({reply_status::withdrawn}));
        return true;
    }
    const bool is_known = planner_.state_of(job.id).has_value();
    // The gateway's configuration may be older or newer than this one. Without
    // the terms of its queue the job would never run.
    if (!is_known && !configured_queues_.contains(job.queue))
        return false;
    const auto tracked = calls_.track(submit_call, env_.clock.now(), respond);
    if (!is_known)
        if (const auto retry_after = planner_.refuse_surplus(job))
        {
            job_reply out{reply_status::over_share};
            out.retry_after_ms = retry_after->count();
            tracked(answer(out));
            return true;
        }
    // The planner keeps the handler and is part of this object.
    const auto refuse = [this, tracked]
    {
        job_reply out{reply_status::store_unavailable};
        out.retry_after_ms =
            store_retry_after().value_or(min_retry_after).count();
        tracked(answer(out));
    };
    if (store_retry_after() && !is_known)
    {
        refuse();
        return true;
    }
    planner_.submit(
        std::move(job),
        [tracked]
        {
            tracked(answer({reply_status::done}));
        },
        refuse);
    schedule_work();
    return true;
}

bool cell_leader::handle(wire::message_type type, const std::string& payload,
                         const aio::peer_responder& respond)
{
    using wire::message_type;
    if (!loaded_)
        return false;
    if (releasing_ || !has_authority())
        return type == message_type::query_job && query_ended(payload, respond);
    if (type == message_type::submit_job)
        return submit(payload, respond);
    if (type == message_type::count_waiting)
    {
        const auto query = wire::decode<queue_query>(payload);
        if (!query)
            return false;
        job_reply out{reply_status::done};
        out.waiting = planner_.waiting_jobs(query->queue);
        respond(answer(out));
        return true;
    }
    const auto call = wire::decode<job_query>(payload);
    if (!call)
        return false;
    const auto now = env_.clock.now();
    if (type == message_type::cancel_job)
    {
        const bool is_known = planner_.state_of(call->id).has_value();
        const auto kind = is_known ? cancel_call : withdraw_call;
        cancel(*call, calls_.track(kind, now, respond));
    }
    else
        query(call->id, calls_.track(query_call, now, respond), false);
    return true;
}

void cell_leader::report_waiting_calls()
{
    if (const auto n = std::exchange(refused_unconfirmed_, 0))
        log_event(log_level::warning, "leader", "calls_not_confirmed",
                  {{"calls", n},
                   {"oldest_ms", std::chrono::duration_cast<milliseconds>(
                                     std::exchange(longest_unconfirmed_, {}))
                                     .count()}});
    const auto now = env_.clock.now();
    const auto open = calls_.summary(now);
    if (open.oldest < reported_wait)
        return;
    const auto failing = now - log_->failing_since().value_or(now);
    log_event(log_level::warning, "leader", "calls_waiting",
              {{"calls", open.total},
               {"kinds", open.kinds()},
               {"oldest_ms", open.oldest.count()},
               {"unconfirmed", unconfirmed_.size()},
               {"store_failing_ms",
                std::chrono::duration_cast<milliseconds>(failing).count()}});
}

std::size_t cell_leader::abandon_calls(std::string_view reason)
{
    const auto open = calls_.abandon(env_.clock.now());
    if (open.total > 0)
        log_event(log_level::warning, "leader", "calls_abandoned",
                  {{"reason", reason},
                   {"calls", open.total},
                   {"kinds", open.kinds()},
                   {"oldest_ms", open.oldest.count()},
                   {"unconfirmed", unconfirmed_.size()}});
    return open.total;
}

bool cell_leader::query_ended(const std::string& payload,
                              const aio::peer_responder& respond) const
{
    const auto call = wire::decode<job_query>(payload);
    const auto state = call ? planner_.state_of(call->id) : std::nullopt;
    // The state is stored, and no successor changes it.
    if (!state || !is_final(*state))
        return false;
    job_reply out{reply_status::done};
    out.state = *state;
    respond(answer(out));
    return true;
}

void cell_leader::query(const std::string& id,
                        const aio::peer_responder& respond, bool is_confirmed)
{
    const auto state = planner_.state_of(id);
    if (!state && !is_confirmed)
        return when_confirmed(respond,
                              [this, id, respond]
                              {
                                  query(id, respond, true);
                              });
    job_reply out{state ? reply_status::done : reply_status::unknown_job};
    out.state = state.value_or(jobs::job_state::queued);
    respond(answer(out));
}

void cell_leader::cancel(const job_query& call,
                         const aio::peer_responder& respond)
{
    planner_.cancel(
        call.id,
        [this, id = call.id, respond](dispatch::cancel_result result)
        {
            using dispatch::cancel_result;
            if (result == cancel_result::not_stored)
                return respond(answer(unconfirmed_reply()));
            const bool known = result == cancel_result::cancelled;
            if (!known)
                log_event(log_level::info, "leader", "unknown_job_cancelled",
                          {{"job", id}, {"epoch", head_.epoch}});
            respond(answer(
                {known ? reply_status::done : reply_status::unknown_job}));
        },
        call.account);
    refuse_unconfirmed();
    schedule_work();
}

job_reply cell_leader::unconfirmed_reply() const
{
    job_reply out{reply_status::not_leader};
    out.retry_after_ms = store_retry_after().value_or(min_retry_after).count();
    return out;
}

void cell_leader::when_confirmed(const aio::peer_responder& respond,
                                 std::function<void()> then)
{
    unconfirmed_.push_back({env_.clock.now(), respond, std::move(then)});
    refuse_unconfirmed();
    schedule_work();
}

void cell_leader::refuse_unconfirmed()
{
    if (!store_retry_after())
        return;
    const auto out = answer(unconfirmed_reply());
    const auto now = env_.clock.now();
    const auto withdrawals = calls_.answer_all(withdraw_call, out, now);
    refused_unconfirmed_ += withdrawals.total;
    longest_unconfirmed_ = std::max<base::steady_time::duration>(
        longest_unconfirmed_, withdrawals.oldest);
    for (const auto& it : std::exchange(unconfirmed_, {}))
    {
        ++refused_unconfirmed_;
        longest_unconfirmed_ = std::max(longest_unconfirmed_, now - it.since);
        it.respond(out);
    }
}

void cell_leader::run_confirmed()
{
    const auto confirmed = log_->confirmed();
    const auto begin =
        std::stable_partition(unconfirmed_.begin(), unconfirmed_.end(),
                              [&](const auto& it)
                              {
                                  return it.since > confirmed;
                              });
    const std::vector<unconfirmed_call> ready(
        std::make_move_iterator(begin),
        std::make_move_iterator(unconfirmed_.end()));
    unconfirmed_.erase(begin, unconfirmed_.end());
    for (const auto& it : ready)
        it.then();
}

} // namespace mustardwick::entry
