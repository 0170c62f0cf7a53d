#include "mustardwick/coordination/membership.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <set>
#include <utility>

namespace mustardwick::coordination
{

using base::steady_time;
using wire::member_claim;
using wire::member_state;
using wire::message_type;

namespace
{

constexpr std::size_t indirect_peers = 2;
/// Probe periods between two probes of dead peers.
constexpr std::uint64_t dead_probe_interval = 3;
/// Each claim is sent this many times the binary logarithm of the member count,
/// which reaches all members with high probability despite packet loss.
constexpr int retransmit_multiplier = 3;
/// Keeps a datagram with two long names below wire::max_datagram_bytes.
constexpr std::size_t max_claim_bytes = 500;
/// Claims with this incarnation are ignored, because no higher incarnation
/// exists to refute them.
constexpr auto max_incarnation = std::numeric_limits<std::uint64_t>::max();

int transmissions(std::size_t members)
{
    return retransmit_multiplier *
           static_cast<int>(std::bit_width(members + 1));
}

bool supersedes(const member_claim& claim, std::uint64_t incarnation,
                member_state state)
{
    if (claim.incarnation != incarnation)
        return claim.incarnation > incarnation;
    return claim.state > state;
}

} // namespace

membership::membership(std::string self, std::uint64_t incarnation,
                       std::uint64_t seed, membership_timing timing)
    : self_(std::move(self)), incarnation_(incarnation), random_(seed),
      timing_(timing), next_sequence_(random_())
{
}

void membership::set_peers(std::span<const peer> peers)
{
    std::set<std::string_view> names;
    for (const auto& it : peers)
    {
        if (it.name == self_)
        {
            incarnation_ = std::max(incarnation_, it.incarnation);
            continue;
        }
        names.insert(it.name);
        auto& known = peers_[it.name];
        known.address = it.address;
        if (it.incarnation <= known.incarnation)
            continue;
        known.incarnation = it.incarnation;
        known.state = member_state::alive;
        queue_.erase(it.name);
    }
    std::erase_if(peers_,
                  [&](const auto& it)
                  {
                      const bool removed = !names.contains(it.first);
                      if (removed)
                          queue_.erase(it.first);
                      return removed;
                  });
}

membership::datagrams membership::tick(steady_time now)
{
    datagrams out;
    if (last_tick_ && now - *last_tick_ > timing_.max_tick_gap)
        resume_after_pause(now);
    last_tick_ = now;
    expire(now, out);
    notify_suspects(out);
    if (now < next_probe_)
        return out;
    next_probe_ = now + timing_.probe_period;
    ++periods_;
    start_probe(now, out);
    if (periods_ % dead_probe_interval == 0)
        probe_dead_peer(out);
    return out;
}

// Answers that arrived while this process was paused were not read in time, so
// expired probes are no evidence against their targets.
void membership::resume_after_pause(steady_time now)
{
    pending_.clear();
    relayed_.clear();
    for (auto& [name, it] : peers_)
        it.suspected_at = now;
}

void membership::expire(steady_time now, datagrams& out)
{
    expire_probe(now, out);
    expire_suspects(now);
    std::erase_if(relayed_,
                  [&](const auto& it)
                  {
                      return now - it.second.sent_at >= timing_.probe_timeout;
                  });
}

void membership::expire_probe(steady_time now, datagrams& out)
{
    for (auto it = pending_.begin(); it != pending_.end();)
    {
        auto& [sequence, probe] = *it;
        const auto age = now - probe.sent_at;
        if (age < timing_.probe_timeout)
        {
            if (age >= timing_.direct_timeout &&
                !std::exchange(probe.indirect_sent, true))
                send_indirect(probe.target, sequence, out);
            ++it;
            continue;
        }
        const auto target = peers_.find(probe.target);
        if (target != peers_.end())
            apply({probe.target, target->second.incarnation,
                   member_state::suspect},
                  now);
        it = pending_.erase(it);
    }
}

void membership::expire_suspects(steady_time now)
{
    for (auto& [name, it] : peers_)
    {
        const bool timed_out =
            now - it.suspected_at >= timing_.suspicion_timeout;
        if (it.state == member_state::suspect && timed_out)
            apply({name, it.incarnation, member_state::dead}, now);
    }
}

// Tells a suspect of the suspicion immediately, so that it can refute in time.
void membership::notify_suspects(datagrams& out)
{
    for (auto& [name, it] : peers_)
    {
        if (it.state == member_state::suspect &&
            std::exchange(it.notification_pending, false))
            out.push_back(make_datagram(it.address, message_type::probe,
                                        next_sequence_++, name));
    }
}

void membership::start_probe(steady_time now, datagrams& out)
{
    const auto target = next_peer(live_order_, false);
    if (target == peers_.end())
        return;
    const auto sequence = next_sequence_++;
    pending_[sequence] = {target->first, now};
    out.push_back(make_datagram(target->second.address, message_type::probe,
                                sequence, target->first));
}

void membership::probe_dead_peer(datagrams& out)
{
    const auto target = next_peer(dead_order_, true);
    if (target != peers_.end())
        out.push_back(make_datagram(target->second.address, message_type::probe,
                                    next_sequence_++, target->first));
}

membership::records::iterator
membership::next_peer(std::vector<std::string>& order, bool dead)
{
    const auto wanted = [&](const record& it)
    {
        return (it.state == member_state::dead) == dead;
    };
    for (int round = 0; round < 2; ++round)
    {
        while (!order.empty())
        {
            const auto it = peers_.find(order.back());
            order.pop_back();
            if (it != peers_.end() && wanted(it->second))
                return it;
        }
        for (const auto& [name, it] : peers_)
            if (wanted(it))
                order.push_back(name);
        std::shuffle(order.begin(), order.end(), random_);
    }
    return peers_.end();
}

void membership::send_indirect(const std::string& target,
                               std::uint64_t sequence, datagrams& out)
{
    std::vector<std::string> names;
    for (const auto& [name, it] : peers_)
        if (name != target && it.state == member_state::alive)
            names.push_back(name);
    std::vector<std::string> chosen;
    std::sample(names.begin(), names.end(), std::back_inserter(chosen),
                indirect_peers, random_);
    for (const auto& it : chosen)
    {
        auto request = make_datagram(
            peers_[it].address, message_type::indirect_probe, sequence, it);
        request.message.subject = target;
        out.push_back(std::move(request));
    }
}

void membership::apply(const member_claim& claim, steady_time now)
{
    if (claim.incarnation == max_incarnation)
        return;
    if (claim.name == self_)
        return refute(claim);
    const auto it = peers_.find(claim.name);
    if (it == peers_.end())
        return;
    auto& known = it->second;
    if (!supersedes(claim, known.incarnation, known.state))
        return;
    known.incarnation = claim.incarnation;
    known.state = claim.state;
    if (claim.state == member_state::suspect)
    {
        known.suspected_at = now;
        known.notification_pending = true;
    }
    queue_.put(claim, transmissions(peers_.size()));
}

void membership::refute(const member_claim& claim)
{
    const bool contradicts =
        supersedes(claim, incarnation_, member_state::alive);
    if (!contradicts)
        return;
    incarnation_ = claim.incarnation + 1;
    queue_.put({self_, incarnation_, member_state::alive},
               transmissions(peers_.size()));
}

membership::datagrams membership::receive(steady_time now,
                                          const membership_datagram& input)
{
    datagrams out;
    const auto& message = input.message;
    if (message.sender == self_)
        return out;
    highest_config_version_ =
        std::max(highest_config_version_, message.config_version);
    const auto sender = peers_.find(message.sender);
    if (sender != peers_.end())
        sender->second.last_datagram_at = now;
    apply({message.sender, message.incarnation, member_state::alive}, now);
    for (const auto& it : message.claims)
        apply(it, now);
    if (input.type == message_type::probe)
        out.push_back(make_datagram(input.remote, message_type::probe_answer,
                                    input.sequence, message.sender));
    else if (input.type == message_type::indirect_probe)
        relay(now, input, out);
    else
        accept_answer(input, out);
    return out;
}

void membership::relay(steady_time now, const membership_datagram& input,
                       datagrams& out)
{
    const auto target = peers_.find(input.message.subject);
    if (target == peers_.end())
        return;
    const auto sequence = next_sequence_++;
    relayed_[sequence] = {input.remote, input.sequence, target->first, now};
    out.push_back(make_datagram(target->second.address, message_type::probe,
                                sequence, target->first));
}

void membership::accept_answer(const membership_datagram& input, datagrams& out)
{
    const auto& message = input.message;
    const auto it = pending_.find(input.sequence);
    const bool direct = message.subject.empty();
    const auto& answered = direct ? message.sender : message.subject;
    if (it != pending_.end() && it->second.target == answered)
        pending_.erase(it);
    const auto origin = relayed_.find(input.sequence);
    if (origin == relayed_.end() || origin->second.target != answered)
        return;
    auto answer =
        make_datagram(origin->second.origin, message_type::probe_answer,
                      origin->second.origin_sequence, {});
    answer.message.subject = answered;
    out.push_back(std::move(answer));
    relayed_.erase(origin);
}

/// Returns the claim that a suspect or dead receiver needs in order to refute
/// it.
std::optional<member_claim>
membership::claim_about(std::string_view receiver) const
{
    const auto it = peers_.find(receiver);
    if (it == peers_.end() || it->second.state == member_state::alive)
        return std::nullopt;
    return member_claim{it->first, it->second.incarnation, it->second.state};
}

membership_datagram membership::make_datagram(const wire::endpoint& remote,
                                              message_type type,
                                              std::uint64_t sequence,
                                              std::string_view receiver)
{
    membership_datagram out{remote, type, sequence, {}};
    out.message.sender = self_;
    out.message.incarnation = incarnation_;
    out.message.config_version = config_version_;
    out.message.claims = queue_.take(max_claim_bytes);
    const auto about = claim_about(receiver);
    const auto is_about_receiver = [&](const member_claim& it)
    {
        return it.name == receiver;
    };
    if (about && std::none_of(out.message.claims.begin(),
                              out.message.claims.end(), is_about_receiver))
        out.message.claims.push_back(*about);
    return out;
}

std::optional<member_state> membership::peer_state(std::string_view name) const
{
    const auto it = peers_.find(name);
    if (it == peers_.end())
        return std::nullopt;
    return it->second.state;
}

std::optional<std::uint64_t>
membership::peer_incarnation(std::string_view name) const
{
    const auto it = peers_.find(name);
    if (it == peers_.end())
        return std::nullopt;
    return it->second.incarnation;
}

std::optional<base::milliseconds>
membership::since_last_datagram(std::string_view name, steady_time now) const
{
    const auto it = peers_.find(name);
    if (it == peers_.end() || !it->second.last_datagram_at)
        return std::nullopt;
    return std::chrono::duration_cast<base::milliseconds>(
        now - *it->second.last_datagram_at);
}

void membership::set_config_version(std::uint64_t version)
{
    config_version_ = std::max(config_version_, version);
    highest_config_version_ = std::max(highest_config_version_, version);
}

} // namespace mustardwick::coordination
