#include "mustardwick/caller/claim_resolver.hpp"

#include <chrono>
#include <utility>

#include "mustardwick/base/error.hpp"

namespace mustardwick::caller
{

using coordination::claim_state;
using wire::outcome;

namespace
{

constexpr std::chrono::milliseconds query_timeout{2000};

} // namespace

claim_resolver::claim_resolver(coordination::claim_log& claims,
                               const coordination::cluster_view& view,
                               coordination::request_owner& owner,
                               wire::rpc_client& peers, std::string self)
    : claims_(claims), view_(view), owner_(owner), peers_(peers),
      self_(std::move(self))
{
}

std::optional<wire::forward_answer>
claim_resolver::resolve(const std::string& team, const std::string& request)
{
    const auto key = coordination::claim_key(team, request);
    const auto stored = claims_.read(key);
    if (!stored)
        return std::nullopt;
    const auto& claim = stored->record;
    if (claim.state == claim_state::done)
        return wire::forward_answer{outcome::done,
                                    static_cast<std::uint16_t>(claim.status),
                                    claim.body,
                                    {},
                                    {}};
    if (claim.state == claim_state::not_run)
        return coordination::refused_answer("the request did not run",
                                            "send it again");
    auto answer = query_owner(claim);
    record(key, *stored, answer);
    return answer;
}

wire::forward_answer
claim_resolver::query_owner(const coordination::claim_record& claim)
{
    const auto owner = view_.assigned_to(claim.host);
    if (owner == self_)
        return owner_.resolve(claim);
    const auto peer = view_.endpoint_of(owner);
    if (!peer)
        return coordination::unknown_answer("no daemon owns host " +
                                            claim.host);
    const wire::attempt_query query{claim.host, claim.attempt, claim.lease};
    auto answer = peers_.call<wire::forward_answer>(
        *peer, wire::message_type::attempt_query, query, query_timeout, true);
    if (answer)
        return std::move(*answer);
    return coordination::unknown_answer("daemon " + owner + " did not answer");
}

void claim_resolver::record(const std::string& key,
                            const coordination::stored_claim& stored,
                            const wire::forward_answer& answer)
{
    if (answer.result == outcome::unknown)
        return;
    auto next = stored.record;
    const bool done = answer.result == outcome::done;
    next.state = done ? claim_state::done : claim_state::not_run;
    next.status = answer.status;
    next.body = answer.body;
    claims_.record_and_wait(key, next, stored.version);
}

} // namespace mustardwick::caller
