#include "entry_node_impl.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

constexpr milliseconds configuration_timeout{1000};
constexpr milliseconds probe_timeout{500};
/// Delay between two attempts to reach a leader.
constexpr milliseconds leader_retry{60};
/// Maximum wait for one answer of the leader; a commit to a slow store takes
/// most of a second.
constexpr milliseconds leader_call_timeout{1500};

} // namespace

void entry_node::impl::on_peer_message(message_type type,
                                       const std::string& payload,
                                       const aio::peer_responder& respond)
{
    if (type == message_type::leader_heartbeat)
        return on_heartbeat(payload, respond);
    if (type == message_type::query_advice)
        return on_advice(payload, respond);
    if (type == message_type::fetch_configuration)
        return respond(config->state().configuration_text);
    if (type == message_type::join_cell)
    {
        const auto record = wire::decode<member_record>(payload);
        if (record && leader)
            leader->member_joined(*record);
        return respond({});
    }
    if (type == message_type::hand_over)
    {
        const auto message = wire::decode<hand_over>(payload);
        if (message && message->epoch == known_leader.epoch && !leader &&
            !leaving)
        {
            accepted_offer = *message;
            candidate->take_over(*message);
        }
        return respond({});
    }
    const bool taken = leader && leader->handle(type, payload, respond);
    if (!taken)
        respond(wire::encode(job_reply{}));
}

void entry_node::impl::on_heartbeat(const std::string& payload,
                                    const aio::peer_responder& respond)
{
    const auto heartbeat = wire::decode<leader_heartbeat>(payload);
    if (!heartbeat)
        return;
    if (heartbeat->epoch >= known_leader.epoch)
    {
        update_leader(heartbeat->epoch, heartbeat->leader,
                      {heartbeat->address, heartbeat->port});
        // This daemon may have been stopped while another one took over.
        if (leader && leader->epoch() < heartbeat->epoch)
            leader->superseded();
        if (!leader)
            candidate->heartbeat_received(heartbeat->succession_tier);
        const auto& known = config->state().configuration;
        if (!known || known->version < heartbeat->configuration)
            fetch_configuration();
        if (heartbeat->store_failing)
            probe_store();
    }
    heartbeat_reply answer;
    answer.epoch = known_leader.epoch;
    answer.leaving = leaving;
    answer.speed = processor.speed();
    answer.store_age_ms = store_answers.age_ms(
        heartbeat->store_failing, store.last_answer(), clock.now());
    respond(wire::encode(answer));
}

void entry_node::impl::probe_store()
{
    if (probing_store || leader)
        return;
    probing_store = true;
    // The reply to the next heartbeat reports whether the store answered.
    store.read(cell_table, plan_partition, head_key, 1, probe_timeout,
               [this](const durable::store_reply& reply)
               {
                   probing_store = false;
                   if (reply.ok())
                       store_answers.partition_answered(clock.now());
               });
}

void entry_node::impl::fetch_configuration()
{
    if (fetching_configuration || leader)
        return;
    fetching_configuration = true;
    peers->call(known_leader.endpoint, message_type::fetch_configuration, {},
                configuration_timeout,
                [this](const aio::peer_result& result)
                {
                    fetching_configuration = false;
                    if (result.answered && !result.payload.empty())
                        config->apply_from_peer(result.payload);
                });
}

void entry_node::impl::on_advice(const std::string& payload,
                                 const aio::peer_responder& respond)
{
    const auto request = wire::decode<advice_request>(payload);
    if (!request)
        return respond(wire::encode(advice_reply{}));
    dispatch::advice_query query;
    query.job = request->job;
    query.occurrence = request->occurrence;
    query.step = request->step;
    query.workers = request->workers;
    advice.send_query(query, milliseconds(request->timeout_ms),
                      [respond](auto allowed)
                      {
                          advice_reply out;
                          out.answered = allowed.has_value();
                          if (allowed)
                              out.allowed = std::move(*allowed);
                          respond(wire::encode(out));
                      });
}

base::steady_time
entry_node::impl::answer_time(base::steady_time deadline) const
{
    return last_answer ? std::min(deadline, *last_answer) : deadline;
}

void entry_node::impl::call_leader(
    message_type type, const std::string& payload, base::steady_time deadline,
    bool maybe_sent, const std::function<void(leader_result)>& done)
{
    const bool may_refuse = !maybe_sent && type == message_type::submit_job;
    if (may_refuse && availability.is_missing(clock.now()))
        return done({std::nullopt, false});
    const auto again = [this, type, payload, deadline, done](bool sent)
    {
        availability.call_failed(clock.now());
        const auto next = clock.now() + leader_retry;
        if (next >= answer_time(deadline))
            return done({std::nullopt, sent});
        auto timer = std::make_shared<asio::steady_timer>(io, leader_retry);
        timer->async_wait(
            [this, timer, type, payload, deadline, sent,
             done](boost::system::error_code)
            {
                call_leader(type, payload, deadline, sent, done);
            });
    };
    const auto left = std::chrono::duration_cast<milliseconds>(
        answer_time(deadline) - clock.now());
    if (left.count() <= 0)
        return done({std::nullopt, maybe_sent});
    if (leader)
    {
        auto timer = std::make_shared<asio::steady_timer>(
            io, std::min(left, leader_call_timeout));
        const auto open = std::make_shared<bool>(true);
        const auto respond =
            [this, done, again, timer, open](const std::string& answer)
        {
            if (!std::exchange(*open, false))
                return;
            timer->cancel();
            const auto reply = wire::decode<job_reply>(answer);
            if (!reply)
                return again(true);
            availability.call_succeeded();
            done({reply, true});
        };
        if (!leader->handle(type, payload, respond))
            return again(maybe_sent);
        if (*open)
            timer->async_wait(
                [timer, open, again](boost::system::error_code ec)
                {
                    if (!ec && std::exchange(*open, false))
                        again(true);
                });
        return;
    }
    if (known_leader.epoch == 0 || !peers || known_leader.name == options.name)
        return again(maybe_sent);
    peers->call(known_leader.endpoint, type, payload,
                std::min(left, leader_call_timeout),
                [this, maybe_sent, again, done,
                 epoch = known_leader.epoch](const aio::peer_result& result)
                {
                    std::optional<job_reply> reply;
                    if (result.answered)
                        reply = wire::decode<job_reply>(result.payload);
                    if (reply && reply->status != reply_status::not_leader)
                    {
                        availability.call_succeeded();
                        return done({reply, true});
                    }
                    if (result.connection_refused &&
                        epoch == known_leader.epoch && !leader)
                        candidate->leader_connection_refused(epoch);
                    again(maybe_sent || !(reply || result.connection_refused));
                });
}

} // namespace mustardwick::entry
