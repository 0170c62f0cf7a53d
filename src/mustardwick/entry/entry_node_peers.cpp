#include "entry_node_impl.hpp"

#include <utility>

#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

constexpr milliseconds probe_timeout{500};

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
    {
        const auto& [configuration, text, evacuated] = config->state();
        return respond(configuration_reply(
            payload, configuration ? configuration->version : 0, text));
    }
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
        if (leader || (known && known->version >= heartbeat->configuration))
            fetch->clear();
        else
            fetch->advance(known_leader.endpoint, heartbeat->configuration);
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

} // namespace mustardwick::entry
