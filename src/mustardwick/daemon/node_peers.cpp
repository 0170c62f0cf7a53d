#include "mustardwick/daemon/node.hpp"

#include <future>

#include "mustardwick/base/error.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::daemon
{

using std::chrono::milliseconds;
using wire::message_type;

namespace
{

constexpr milliseconds deliver_timeout{2000};
constexpr milliseconds report_timeout{2000};
constexpr milliseconds inbox_notification_timeout{200};
constexpr milliseconds escrow_timeout{500};
constexpr milliseconds freshness_timeout{400};

/// Decodes a message, calls the function with it and encodes its answer.
template <typename Message, typename Function>
std::optional<std::string> serve(const std::string& payload,
                                 Function&& function)
{
    const auto message = wire::decode<Message>(payload);
    if (!message)
        return std::nullopt;
    const auto answer = function(*message);
    if (!answer)
        return std::nullopt;
    return wire::encode(*answer);
}

template <typename Value>
std::optional<Value> as_optional(Value value)
{
    return std::optional<Value>(std::move(value));
}

} // namespace

std::optional<std::string> node::handle_rpc(message_type type,
                                            const std::string& payload)
{
    switch (type)
    {
    case message_type::forward_request:
        return serve<wire::forward_request>(payload,
                                            [this](const auto& it)
                                            {
                                                return as_optional(
                                                    handle_forward(it));
                                            });
    case message_type::deliver:
        return serve<wire::deliver>(payload,
                                    [this](const auto& it)
                                    {
                                        return orders_.execute(it);
                                    });
    case message_type::task_events:
        return serve<wire::task_events>(payload,
                                        [this](const auto& it)
                                        {
                                            return planner_.submit_reports(it);
                                        });
    case message_type::members_changed:
        mark_members_changed();
        return wire::encode(wire::empty{});
    case message_type::notify_inbox:
        planner_.notify_inbox();
        return wire::encode(wire::empty{});
    case message_type::escrow_request:
        return serve<wire::escrow_request>(
            payload,
            [this](const auto& it)
            {
                return as_optional(wire::escrow_answer{
                    escrow_.transfer(it.team, it.receiver, it.amount)});
            });
    case message_type::attempt_query:
        return serve<wire::attempt_query>(payload,
                                          [this](const auto& it)
                                          {
                                              coordination::claim_record claim;
                                              claim.host = it.host;
                                              claim.attempt = it.attempt;
                                              claim.lease = it.lease;
                                              return as_optional(
                                                  owner_.resolve(claim));
                                          });
    case message_type::freshness_query:
        return serve<wire::freshness_query>(payload,
                                            [this](const auto& it)
                                            {
                                                return as_optional(
                                                    confirmation_.answer(it));
                                            });
    default:
        break;
    }
    return base::fail(base::error_kind::invalid_input,
                      "this message is not a call",
                      "run the same release on all entry hosts");
}

wire::forward_answer node::handle_forward(const wire::forward_request& call)
{
    events_.receive({call.sent_microseconds, call.sent_counter});
    return owner_.serve(call);
}

std::optional<wire::deliver_answer> node::deliver(const wire::deliver& orders)
{
    const auto owner = view_.assigned_to(orders.host);
    if (owner == settings_.name)
        return orders_.execute(orders);
    const auto peer = view_.endpoint_of(owner);
    if (!peer)
        return std::nullopt;
    return peers_.call<wire::deliver_answer>(*peer, message_type::deliver,
                                             orders, deliver_timeout, true);
}

std::optional<wire::task_events_answer>
node::deliver_reports(const wire::task_events& events)
{
    std::optional<wire::task_events_answer> answer;
    const auto holder = planner_leadership_.holder();
    if (holder == settings_.name)
        answer = planner_.submit_reports(events);
    else if (const auto peer = view_.endpoint_of(holder))
        answer = peers_.call<wire::task_events_answer>(
            *peer, message_type::task_events, events, report_timeout, true);
    return answer;
}

void node::notify_planner_inbox()
{
    const auto holder = planner_leadership_.holder();
    if (holder == settings_.name)
        return planner_.notify_inbox();
    const auto peer = view_.endpoint_of(holder);
    // A lost notification only causes a delay, because the planner also polls
    // its inbox.
    if (peer)
        peers_.call(*peer, message_type::notify_inbox,
                    wire::encode(wire::empty{}), inbox_notification_timeout,
                    true);
}

std::optional<std::int64_t>
node::request_escrow_transfer(const std::string& peer, const std::string& team,
                              std::int64_t amount)
{
    const auto address = view_.endpoint_of(coordination::daemon_of(peer));
    if (!address)
        return std::nullopt;
    const auto answer = peers_.call<wire::escrow_answer>(
        *address, message_type::escrow_request,
        wire::escrow_request{team, escrow_holders_.self(), amount},
        escrow_timeout, false);
    if (!answer)
        return std::nullopt;
    return answer->granted;
}

std::vector<std::optional<wire::freshness_answer>>
node::query_freshness(const std::vector<std::string>& peers,
                      const wire::freshness_query& query)
{
    std::vector<std::future<std::optional<wire::freshness_answer>>> calls;
    calls.reserve(peers.size());
    for (const auto& it : peers)
    {
        const auto address = view_.endpoint_of(it);
        calls.push_back(std::async(
            std::launch::async,
            [this, address, &query]() -> std::optional<wire::freshness_answer>
            {
                if (!address)
                    return std::nullopt;
                return peers_.call<wire::freshness_answer>(
                    *address, message_type::freshness_query, query,
                    freshness_timeout, true);
            }));
    }
    std::vector<std::optional<wire::freshness_answer>> out;
    out.reserve(calls.size());
    for (auto& it : calls)
        out.push_back(it.get());
    return out;
}

} // namespace mustardwick::daemon
