#include "mustardwick/entry/member_beats.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

using std::chrono::milliseconds;

/// A third of the silence after which members look for another leader.
constexpr milliseconds beat_interval{200};
/// The store fails for the leader: members say in the next beat's answer
/// whether it answers them.
constexpr milliseconds failing_beat_interval{80};
/// Each beat makes a member read a row, so that an outage for all is not asked
/// about as often.
constexpr milliseconds frequent_beats{1000};
constexpr milliseconds beat_timeout{700};
/// A member that does not answer is tried less often.
constexpr milliseconds slow_interval{1500};
/// After this silence a member counts as gone; its process has read nothing
/// from the store that it could act on since.
constexpr milliseconds member_forgotten{20'000};
/// Members that answered within this time are given work.
constexpr milliseconds reachable_window{1500};

} // namespace

member_beats::member_beats(boost::asio::io_context& io, const base::clock& time,
                           aio::peer_hub& peers, leader_beat beat,
                           newer_epoch superseded)
    : timer_(io), clock_(time), peers_(peers), beat_(std::move(beat)),
      superseded_(std::move(superseded))
{
}

void member_beats::start()
{
    tick();
}

void member_beats::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void member_beats::add(const member_record& record)
{
    if (record.name == beat_.leader)
        return;
    auto& it = members_[record.name];
    it.record = record;
    it.refused = false;
    it.leaving = false;
    it.next_beat = clock_.now();
    if (!stopped_)
        send(record.name);
}

void member_beats::set_configuration(std::int64_t version)
{
    beat_.configuration = version;
}

void member_beats::set_store_failing(bool failing)
{
    if (std::exchange(beat_.store_failing, failing) || !failing)
        return;
    frequent_until_ = clock_.now() + frequent_beats;
    for (auto& [name, it] : members_)
        if (it.answered_once)
            it.next_beat = clock_.now();
    if (!stopped_)
        tick();
}

milliseconds member_beats::interval() const
{
    const bool frequent = beat_.store_failing && clock_.now() < frequent_until_;
    return frequent ? failing_beat_interval : beat_interval;
}

void member_beats::tick()
{
    if (stopped_)
        return;
    const auto now = clock_.now();
    std::vector<std::string> due;
    for (const auto& [name, it] : members_)
        if (!it.beat_open && it.next_beat <= now)
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

void member_beats::send(const std::string& name)
{
    auto& it = members_[name];
    if (it.beat_open)
        return;
    it.beat_open = true;
    const auto sent = clock_.now();
    peers_.call(
        {it.record.address, it.record.port}, wire::message_type::leader_beat,
        wire::encode(beat_), beat_timeout,
        [self = shared_from_this(), name, sent](const aio::peer_result& result)
        {
            auto& member = self->members_[name];
            member.beat_open = false;
            const auto now = self->clock_.now();
            std::optional<beat_answer> answer;
            if (result.answered)
                answer = wire::decode<beat_answer>(result.payload);
            if (!answer)
            {
                if (member.answered_once && !self->stopped_)
                    base::log_event(
                        base::log_level::warning, "members", "member_silent",
                        {{"member", name}, {"refused", int(result.refused)}});
                member.answered_once = false;
                member.refused = result.refused;
                member.next_beat = now + slow_interval;
                return;
            }
            member.answered_once = true;
            member.refused = false;
            member.confirmed = sent;
            member.leaving = answer->leaving;
            if (answer->store_age_ms >= 0)
                member.store_answered =
                    sent - milliseconds(answer->store_age_ms);
            member.next_beat = sent + self->interval();
            if (answer->epoch > self->beat_.epoch && !self->stopped_)
                self->superseded_(answer->epoch);
        });
}

bool member_beats::is_recent(const member_state& it) const
{
    return it.confirmed + reachable_window > clock_.now();
}

std::optional<base::steady_time> member_beats::confirmed() const
{
    std::optional<base::steady_time> out;
    const auto now = clock_.now();
    for (const auto& [name, it] : members_)
    {
        const bool gone = it.refused || it.confirmed + member_forgotten < now;
        if (!gone)
            out = std::min(out.value_or(it.confirmed), it.confirmed);
    }
    return out;
}

std::optional<member_record>
member_beats::largest_with_store(base::steady_time after,
                                 double above_capacity) const
{
    std::optional<member_record> out;
    for (const auto& [name, it] : members_)
    {
        const bool larger =
            it.record.capacity > (out ? out->capacity : above_capacity);
        if (is_recent(it) && !it.leaving && it.store_answered > after && larger)
            out = it.record;
    }
    return out;
}

std::vector<member_record> member_beats::reachable() const
{
    std::vector<member_record> out;
    for (const auto& [name, it] : members_)
        if (is_recent(it) && !it.leaving)
            out.push_back(it.record);
    return out;
}

} // namespace mustardwick::entry
