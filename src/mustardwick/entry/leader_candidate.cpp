#include "mustardwick/entry/leader_candidate.hpp"

#include <algorithm>

#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/jobs/fencing.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

constexpr milliseconds tick_interval{50};
/// The head row is polled once a heartbeat is overdue.
constexpr milliseconds watch_delay{300};
/// A daemon may replace the leader after three intervals without a heartbeat.
constexpr milliseconds leader_timeout{600};
constexpr milliseconds read_interval{150};
/// Interval while the leader's host refuses connections.
constexpr milliseconds read_interval_when_refused{60};
constexpr milliseconds read_timeout{800};
constexpr milliseconds acquire_timeout{1000};
/// How long the head row must be unchanged before a takeover. A leader renews
/// it every 250 ms, and every 700 ms while the store is slow; a read then lasts
/// more than 50 ms instead of 3 ms.
constexpr milliseconds takeover_delay{450};
constexpr milliseconds takeover_delay_when_slow{800};
/// An idle leader renews the row within 350 ms.
constexpr milliseconds takeover_delay_when_refused{380};
constexpr milliseconds slow_read{50};
/// Time in which a more suitable host, which polls the head row every 150 ms,
/// acquires leadership.
constexpr milliseconds delay_per_tier{300};

durable::row_address head_address()
{
    return {cell_table, plan_partition, head_key};
}

} // namespace

leader_candidate::leader_candidate(boost::asio::io_context& io,
                                   const base::clock& time,
                                   platform::store_client& store,
                                   member_record self, events on)
    : timer_(io), clock_(time), store_(store), self_(std::move(self)),
      on_(std::move(on)),
      // The other hosts are not known yet.
      succession_tier_(policy::succession_tier(
          policy::suitability_of(
              self_.resources, {},
              policy::needs_of_cell(policy::assumed_workers)),
          1.0))
{
}

milliseconds leader_candidate::succession_delay() const
{
    return delay_per_tier * succession_tier_;
}

void leader_candidate::start()
{
    next_read_ = clock_.now() + succession_delay();
    tick();
}

void leader_candidate::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void leader_candidate::heartbeat_received(int succession_tier)
{
    last_heartbeat_ = clock_.now();
    succession_tier_ = std::max(0, succession_tier);
    refused_epoch_ = 0;
    observed_version_.reset();
}

void leader_candidate::leader_connection_refused(std::int64_t epoch)
{
    if (refused_epoch_ == epoch)
        return;
    refused_epoch_ = epoch;
    next_read_ = {};
    if (succession_tier_ > 0)
        next_read_ = clock_.now() + succession_delay();
    else if (!call_open_ && !paused_ && !stopped_)
        read_head();
}

void leader_candidate::take_over(const hand_over& offer)
{
    taking_over_ = true;
    last_heartbeat_ = {};
    next_read_ = {};
    if (call_open_ || paused_)
        return;
    // The version is known, so reading the row first is unnecessary.
    if (offer.head_version != 0)
        acquire(jobs::next_epoch(offer.epoch), offer.head_version);
    else
        read_head();
}

void leader_candidate::set_paused(bool paused)
{
    paused_ = paused;
    observed_version_.reset();
    last_heartbeat_ = clock_.now();
    refused_epoch_ = 0;
    taking_over_ = false;
}

void leader_candidate::tick()
{
    if (stopped_)
        return;
    const auto now = clock_.now();
    const bool watches =
        refused_epoch_ != 0 || now - last_heartbeat_ >= watch_delay;
    if (!paused_ && !call_open_ && watches && now >= next_read_)
        read_head();
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec)
                self->tick();
        });
}

void leader_candidate::read_head()
{
    call_open_ = true;
    read_started_ = clock_.now();
    next_read_ =
        read_started_ +
        (refused_epoch_ != 0 ? read_interval_when_refused : read_interval);
    store_.read(cell_table, plan_partition, head_key, 1, read_timeout,
                [self = shared_from_this()](const durable::store_reply& reply)
                {
                    self->call_open_ = false;
                    if (!self->stopped_ && !self->paused_)
                        self->head_read(reply);
                });
}

void leader_candidate::head_read(const durable::store_reply& reply)
{
    if (!reply.ok())
    {
        // The row may have changed since the last successful read.
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
        return acquire(jobs::next_epoch(0), 0);
    const auto head = wire::decode<head_record>(it->value);
    if (!head)
    {
        log_event(log_level::error, "leadership", "head_row_unreadable");
        return;
    }
    if (attempt_ && head->transaction == attempt_->transaction)
        return acquired(it->version);
    const bool own = head->leader == self_.name;
    const bool free = head->released && succession_tier_ == 0;
    if (free || own || taking_over_)
        return acquire(jobs::next_epoch(head->epoch), it->version);
    if (observed_version_ != it->version)
    {
        observed_version_ = it->version;
        observed_since_ = now;
        if (!head->released)
            on_.leader_seen(*head);
        return;
    }
    if (head->released && now - observed_since_ >= succession_delay())
        return acquire(jobs::next_epoch(head->epoch), it->version);
    const bool refused = head->epoch == refused_epoch_;
    auto wait = refused ? takeover_delay_when_refused : takeover_delay;
    if (now - read_started_ > slow_read)
        wait = takeover_delay_when_slow;
    wait += succession_delay();
    // The refusal may come from the host of a former leader.
    const bool is_silent = refused || now - last_heartbeat_ >= leader_timeout;
    if (is_silent && now - observed_since_ >= wait)
        acquire(jobs::next_epoch(head->epoch), it->version);
}

void leader_candidate::acquire(std::int64_t epoch, std::int64_t version)
{
    if (!on_.is_configured())
        return;
    log_event(log_level::info, "leadership", "acquisition_started",
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
                      // If the answer was lost, the next read of the row shows
                      // the outcome.
                      if (reply.end == durable::store_outcome::conflict)
                          self->head_read(reply);
                  });
}

void leader_candidate::acquired(std::int64_t version)
{
    auto head = std::move(*attempt_);
    attempt_.reset();
    set_paused(true);
    on_.acquired(std::move(head), version);
}

} // namespace mustardwick::entry
