#include "mustardwick/entry/duty_seeker.hpp"

#include <algorithm>

#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

constexpr milliseconds tick_interval{50};
/// The head row is watched after a missing beat.
constexpr milliseconds watch_after{300};
/// Three beats without a sign of life.
constexpr milliseconds silence_limit{600};
constexpr milliseconds read_interval{150};
constexpr milliseconds read_timeout{800};
constexpr milliseconds acquire_timeout{1000};
/// A leader renews the row every 250 ms, and every 700 ms while the store is
/// slow; a read then takes over 50 ms instead of 3 ms.
constexpr milliseconds takeover_after{450};
constexpr milliseconds takeover_after_when_slow{800};
constexpr milliseconds slow_read{50};
/// Small hosts let larger ones go first, since the leader works most.
constexpr milliseconds small_host_delay{500};

durable::row_address head_address()
{
    return {cell_table, plan_partition, head_key};
}

} // namespace

duty_seeker::duty_seeker(boost::asio::io_context& io, const base::clock& time,
                         platform::store_client& store, member_record self,
                         events on)
    : timer_(io), clock_(time), store_(store), self_(std::move(self)),
      on_(std::move(on))
{
}

bool duty_seeker::is_small() const
{
    return self_.capacity < small_host_capacity;
}

void duty_seeker::start()
{
    if (is_small())
        next_read_ = clock_.now() + small_host_delay;
    tick();
}

void duty_seeker::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void duty_seeker::heard()
{
    last_heard_ = clock_.now();
    gone_epoch_ = 0;
    observed_version_.reset();
}

void duty_seeker::leader_refuses(std::int64_t epoch)
{
    if (gone_epoch_ == epoch)
        return;
    gone_epoch_ = epoch;
    last_heard_ = {};
    next_read_ = {};
    if (is_small())
        next_read_ = clock_.now() + small_host_delay;
    else if (!call_open_ && !paused_ && !stopped_)
        read_head();
}

void duty_seeker::take_now(const hand_over& offer)
{
    take_now_ = true;
    last_heard_ = {};
    next_read_ = {};
    if (call_open_ || paused_)
        return;
    // Reading the row first would only add a call.
    if (offer.head_version != 0)
        acquire(offer.epoch + 1, offer.head_version);
    else
        read_head();
}

void duty_seeker::set_paused(bool paused)
{
    paused_ = paused;
    observed_version_.reset();
    last_heard_ = clock_.now();
    take_now_ = false;
}

void duty_seeker::tick()
{
    if (stopped_)
        return;
    const auto now = clock_.now();
    if (!paused_ && !call_open_ && now - last_heard_ >= watch_after &&
        now >= next_read_)
        read_head();
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec)
                self->tick();
        });
}

void duty_seeker::read_head()
{
    call_open_ = true;
    read_began_ = clock_.now();
    next_read_ = read_began_ + read_interval;
    store_.read(cell_table, plan_partition, head_key, 1, read_timeout,
                [self = shared_from_this()](const durable::store_reply& reply)
                {
                    self->call_open_ = false;
                    if (!self->stopped_ && !self->paused_)
                        self->head_read(reply);
                });
}

void duty_seeker::head_read(const durable::store_reply& reply)
{
    if (!reply.ok())
    {
        // Nothing is known of the time in between.
        observed_version_.reset();
        return;
    }
    const auto now = clock_.now();
    const auto it = std::find_if(reply.rows.begin(), reply.rows.end(),
                                 [](const auto& row)
                                 {
                                     return row.address == head_address();
                                 });
    if (it == reply.rows.end())
        return acquire(1, 0);
    const auto head = wire::decode<head_record>(it->value);
    if (!head)
    {
        log_event(log_level::error, "duty", "head_row_unreadable");
        return;
    }
    if (attempt_ && head->transaction == attempt_->transaction)
        return acquired(it->version);
    const bool own = head->leader == self_.name;
    const bool gone = head->epoch == gone_epoch_;
    if (head->released || own || gone || take_now_)
        return acquire(head->epoch + 1, it->version);
    if (observed_version_ != it->version)
    {
        observed_version_ = it->version;
        observed_since_ = now;
        on_.leader_seen(*head);
        return;
    }
    auto wait = now - read_began_ > slow_read ? takeover_after_when_slow
                                              : takeover_after;
    if (is_small())
        wait += small_host_delay;
    if (now - observed_since_ >= wait && now - last_heard_ >= silence_limit)
        acquire(head->epoch + 1, it->version);
}

void duty_seeker::acquire(std::int64_t epoch, std::int64_t version)
{
    log_event(log_level::info, "duty", "duty_sought",
              {{"epoch", epoch}, {"head_version", version}});
    attempt_ = head_record{epoch,      self_.name,        self_.address,
                           self_.port, base::unique_id(), false};
    durable::transaction tx;
    tx.conditions.push_back({head_address(), version});
    tx.writes.push_back({head_address(), wire::encode(*attempt_)});
    call_open_ = true;
    store_.commit(tx, acquire_timeout,
                  [self = shared_from_this()](const durable::store_reply& reply)
                  {
                      self->call_open_ = false;
                      self->observed_version_.reset();
                      if (self->stopped_ || self->paused_)
                          return;
                      if (reply.ok())
                          return self->acquired(reply.version);
                      // A lost answer shows in the row at the next read.
                      if (reply.end == durable::store_outcome::conflict)
                          self->head_read(reply);
                  });
}

void duty_seeker::acquired(std::int64_t version)
{
    auto head = std::move(*attempt_);
    attempt_.reset();
    set_paused(true);
    on_.acquired(std::move(head), version);
}

} // namespace mustardwick::entry
