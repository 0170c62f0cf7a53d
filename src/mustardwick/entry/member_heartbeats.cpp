#include "mustardwick/entry/member_heartbeats.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

using std::chrono::milliseconds;

/// Members may replace the leader after three intervals without a heartbeat.
constexpr milliseconds heartbeat_interval{200};
/// Interval while the store fails for the leader: the reply to the next
/// heartbeat says whether the store answers the member.
constexpr milliseconds frequent_heartbeat_interval{80};
/// How long the shorter interval is used. Each of these heartbeats makes a
/// member read a row, and members must not probe the store at that rate
/// throughout an outage that affects all daemons.
constexpr milliseconds frequent_heartbeat_duration{1000};
constexpr milliseconds heartbeat_timeout{700};
/// Interval of heartbeats to an unresponsive member.
constexpr milliseconds unresponsive_interval{1500};
/// A member that has not replied for this long is considered terminated. Its
/// process has since read nothing from the store that it could act on.
constexpr milliseconds member_expiry{20'000};
/// Members that replied within this time receive work.
constexpr milliseconds reachable_window{1500};
/// A lower reported speed is a measurement error.
constexpr double min_speed = 0.01;

} // namespace

member_heartbeats::member_heartbeats(boost::asio::io_context& io,
                                     const base::clock& time,
                                     aio::peer_hub& peers,
                                     leader_heartbeat heartbeat,
                                     newer_epoch_handler superseded)
    : timer_(io), clock_(time), peers_(peers), heartbeat_(std::move(heartbeat)),
      superseded_(std::move(superseded))
{
}

void member_heartbeats::start()
{
    tick();
}

void member_heartbeats::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void member_heartbeats::add(const member_record& record)
{
    if (record.name == heartbeat_.leader)
        return;
    auto& it = members_[record.name];
    it.record = record;
    it.leaving = false;
    it.next_heartbeat = clock_.now();
    if (!stopped_)
        send(record.name);
}

void member_heartbeats::set_configuration(std::int64_t version)
{
    heartbeat_.configuration = version;
}

void member_heartbeats::set_needs(const policy::leader_needs& needs)
{
    needs_ = needs;
}

void member_heartbeats::set_store_failing(bool failing)
{
    if (std::exchange(heartbeat_.store_failing, failing) || !failing)
        return;
    frequent_until_ = clock_.now() + frequent_heartbeat_duration;
    for (auto& [name, it] : members_)
        if (it.responsive)
            it.next_heartbeat = clock_.now();
    if (!stopped_)
        tick();
}

milliseconds member_heartbeats::interval() const
{
    const bool frequent =
        heartbeat_.store_failing && clock_.now() < frequent_until_;
    return frequent ? frequent_heartbeat_interval : heartbeat_interval;
}

void member_heartbeats::tick()
{
    if (stopped_)
        return;
    update_summary();
    const auto now = clock_.now();
    std::vector<std::string> due;
    for (const auto& [name, it] : members_)
        if (!it.heartbeat_open && it.next_heartbeat <= now)
            due.push_back(name);
    for (const auto& name : due)
        send(name);
    timer_.expires_after(interval());
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec)
                self->tick();
        });
}

void member_heartbeats::send(const std::string& name)
{
    auto& it = members_[name];
    if (it.heartbeat_open)
        return;
    it.heartbeat_open = true;
    heartbeat_.succession_tier =
        policy::succession_tier(suitability(it), best_suitability_);
    const auto sent = clock_.now();
    peers_.call(
        {it.record.address, it.record.port},
        wire::message_type::leader_heartbeat, wire::encode(heartbeat_),
        heartbeat_timeout,
        [self = shared_from_this(), name, sent](const aio::peer_result& result)
        {
            auto& member = self->members_[name];
            member.heartbeat_open = false;
            const auto now = self->clock_.now();
            std::optional<heartbeat_reply> answer;
            if (result.answered())
                answer = wire::decode<heartbeat_reply>(result.payload);
            if (!answer)
            {
                if (member.responsive && !self->stopped_)
                    base::log_event(base::log_level::warning, "members",
                                    "member_unresponsive",
                                    {{"member", name},
                                     {"reason", to_string(result.failure)}});
                member.responsive = false;
                member.next_heartbeat = now + unresponsive_interval;
                return;
            }
            member.responsive = true;
            member.confirmed = sent;
            member.leaving = answer->leaving;
            member.speed = std::clamp(answer->speed, min_speed, 1.0);
            member.round_trip =
                std::chrono::duration_cast<milliseconds>(now - sent);
            if (answer->store_age_ms >= 0)
                member.store_answered =
                    sent - milliseconds(answer->store_age_ms);
            member.next_heartbeat = sent + self->interval();
            if (answer->epoch > self->heartbeat_.epoch && !self->stopped_)
                self->superseded_(answer->epoch);
        });
}

bool member_heartbeats::is_recent(const member_state& it) const
{
    return it.confirmed + reachable_window > clock_.now();
}

std::optional<base::steady_time> member_heartbeats::confirmed() const
{
    std::optional<base::steady_time> out;
    const auto now = clock_.now();
    for (const auto& [name, it] : members_)
    {
        // A member that refuses connections may be running behind a path that
        // rejects them, and may have taken over.
        if (it.confirmed + member_expiry >= now)
            out = std::min(out.value_or(it.confirmed), it.confirmed);
    }
    return out;
}

double member_heartbeats::suitability(const member_state& it) const
{
    const auto delay = it.round_trip - median_round_trip_;
    return policy::suitability_of(it.record.resources,
                                  {it.speed, std::max(delay, milliseconds(0))},
                                  needs_);
}

std::optional<successor>
member_heartbeats::best_with_store_access(base::steady_time after) const
{
    std::optional<successor> out;
    for (const auto& [name, it] : members_)
    {
        if (!is_recent(it) || it.leaving || it.store_answered <= after)
            continue;
        const double found = suitability(it);
        if (!out || found > out->suitability)
            out = successor{it.record, found};
    }
    return out;
}

void member_heartbeats::update_summary()
{
    std::vector<milliseconds> round_trips;
    for (const auto& [name, it] : members_)
        if (is_recent(it))
            round_trips.push_back(it.round_trip);
    median_round_trip_ = milliseconds(0);
    if (!round_trips.empty())
    {
        const auto middle =
            round_trips.begin() + std::ptrdiff_t(round_trips.size() / 2);
        std::nth_element(round_trips.begin(), middle, round_trips.end());
        median_round_trip_ = *middle;
    }
    best_suitability_ = 0;
    for (const auto& [name, it] : members_)
        if (is_recent(it) && !it.leaving)
            best_suitability_ = std::max(best_suitability_, suitability(it));
}

std::vector<const member_record*> member_heartbeats::reachable() const
{
    std::vector<const member_record*> out;
    for (const auto& [name, it] : members_)
        if (is_recent(it) && !it.leaving)
            out.push_back(&it.record);
    return out;
}

} // namespace mustardwick::entry
