#include "mustardwick/entry/state_log.hpp"

#include <algorithm>
#include <string_view>

#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

using std::chrono::milliseconds;

/// A transaction and its answer take 10 ms, and up to 70 times as long while
/// the store is slow.
constexpr milliseconds min_resend_interval{350};
constexpr milliseconds max_resend_interval{1500};
/// How long an answer to a copy is awaited.
constexpr milliseconds answer_timeout{2000};
constexpr int response_time_factor = 3;
/// A store that has not answered for this long is down rather than slow.
/// Callers retry for 3 s only, so its recovery must be detected quickly.
constexpr milliseconds outage_timeout{1300};
constexpr milliseconds outage_resend_interval{120};
constexpr milliseconds refused_resend_delay{60};
constexpr milliseconds unknown_resend_delay{5};

durable::row_address head_address()
{
    return {cell_table, plan_partition, head_key};
}

} // namespace

state_log::state_log(boost::asio::io_context& io, const base::clock& time,
                     platform::store_client& store, base::metrics& metrics,
                     head_record head, std::int64_t head_version)
    : timer_(io), clock_(time), store_(store), metrics_(metrics),
      head_(std::move(head)), version_(head_version), confirmed_(time.now())
{
}

void state_log::set_released()
{
    head_.released = true;
}

void state_log::stop()
{
    stopped_ = true;
    timer_.cancel();
    // The handler owns the leader, and its call may stay open for seconds.
    done_ = {};
}

void state_log::commit(durable::transaction change, done_handler done)
{
    busy_ = true;
    done_ = std::move(done);
    started_ = clock_.now();
    head_.transaction = base::unique_id();
    current_ = std::move(change);
    current_.conditions.push_back({head_address(), version_});
    current_.writes.push_back({head_address(), wire::encode(head_)});
    ++commit_number_;
    send();
}

void state_log::send()
{
    if (stopped_ || !busy_)
        return;
    const auto sent = clock_.now();
    sent_ = sent;
    store_.commit(current_, answer_timeout,
                  [self = shared_from_this(), sent,
                   number = commit_number_](durable::store_reply reply)
                  {
                      if (!self->stopped_ && self->busy_ &&
                          self->commit_number_ == number)
                          self->answered(std::move(reply), sent);
                  });
    const bool outage =
        failing_since_ && sent - *failing_since_ > outage_timeout;
    timer_.expires_after(outage ? outage_resend_interval : resend_interval_);
    timer_.async_wait(
        [self = shared_from_this(),
         number = commit_number_](boost::system::error_code ec)
        {
            if (ec || self->stopped_ || !self->busy_ ||
                self->commit_number_ != number)
                return;
            self->unresponsive_ = true;
            self->record_failure("no answer yet");
            self->send();
        });
}

void state_log::answered(durable::store_reply reply, base::steady_time sent)
{
    using durable::store_outcome;
    if (reply.end == store_outcome::done)
    {
        version_ = reply.version;
        confirmed_ = sent;
        return finish(log_result::durable);
    }
    if (reply.end == store_outcome::conflict)
    {
        const auto it = std::find_if(reply.rows.begin(), reply.rows.end(),
                                     [](const auto& row)
                                     {
                                         return row.address == head_address();
                                     });
        std::optional<head_record> found;
        if (it != reply.rows.end())
            found = wire::decode<head_record>(it->value);
        if (!found || found->transaction != head_.transaction)
            return finish(log_result::superseded);
        // An earlier copy of this transaction took effect.
        version_ = it->version;
        confirmed_ = sent;
        return finish(log_result::durable);
    }
    failed(reply, sent);
}

void state_log::failed(const durable::store_reply& reply,
                       base::steady_time sent)
{
    using durable::store_outcome;
    unresponsive_ = reply.end == store_outcome::unknown;
    record_failure(reply.reason);
    // A newer copy is still awaiting its answer.
    if (sent != sent_)
        return;
    resend_after(reply.end == store_outcome::refused ? refused_resend_delay
                                                     : unknown_resend_delay);
}

void state_log::record_failure(std::string_view reason)
{
    if (failing_since_)
        return;
    failing_since_ = sent_;
    base::log_event(base::log_level::warning, "state_log", "store_failing",
                    {{"reason", reason}});
}

void state_log::resend_after(milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec)
                self->send();
        });
}

void state_log::finish(log_result result)
{
    if (failing_since_)
        base::log_event(base::log_level::info, "state_log", "store_recovered");
    failing_since_.reset();
    busy_ = false;
    timer_.cancel();
    const std::chrono::duration<double> took = clock_.now() - started_;
    metrics_.observe("mustardwick_commit_seconds", took.count());
    const auto response_time =
        std::chrono::duration_cast<milliseconds>(clock_.now() - confirmed_);
    resend_interval_ = std::clamp(response_time * response_time_factor,
                                  min_resend_interval, max_resend_interval);
    const auto done = std::move(done_);
    done(result);
}

} // namespace mustardwick::entry
