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
/// Accepted probes, each after a rejected copy, that show that the store
/// rejects the content of a transaction.
constexpr int probes_to_reject = 6;
/// The same if the store says that the transaction is invalid.
constexpr int probes_to_reject_invalid = 2;

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
    failures_ = 0;
    accepted_probes_ = 0;
    is_invalid_ = false;
    current_ = std::move(change);
    probe_.reset();
    head_.transaction = base::unique_id();
    current_.conditions.push_back({head_address(), version_});
    current_.writes.push_back({head_address(), wire::encode(head_)});
    ++commit_number_;
    send();
}

const durable::transaction& state_log::probe()
{
    if (!probe_)
    {
        auto head = head_;
        head.transaction = base::unique_id();
        probe_id_ = head.transaction;
        probe_.emplace();
        probe_->conditions.push_back({head_address(), version_});
        probe_->writes.push_back({head_address(), wire::encode(head)});
    }
    return *probe_;
}

state_log::copy_kind state_log::next_copy() const
{
    const bool has_content =
        current_.writes.size() + current_.removals.size() > 1;
    return has_content && failures_ % 2 == 1 ? copy_kind::probe
                                             : copy_kind::whole;
}

void state_log::send()
{
    if (stopped_ || !busy_)
        return;
    const auto sent = clock_.now();
    sent_ = sent;
    const auto copy = next_copy();
    store_.commit(copy == copy_kind::probe ? probe() : current_, answer_timeout,
                  [self = shared_from_this(), sent, copy,
                   number = commit_number_](const durable::store_reply& reply)
                  {
                      if (!self->stopped_ && self->busy_ &&
                          self->commit_number_ == number)
                          self->answered(reply, sent, copy);
                  });
    resend_unless_answered();
}

void state_log::resend_unless_answered()
{
    const bool outage =
        failing_since_ && sent_ - *failing_since_ > outage_timeout;
    timer_.expires_after(outage ? outage_resend_interval : resend_interval_);
    timer_.async_wait(
        [self = shared_from_this(),
         number = commit_number_](boost::system::error_code ec)
        {
            if (ec || self->stopped_ || !self->busy_ ||
                self->commit_number_ != number)
                return;
            // Another copy would share the path with this one.
            if (self->store_.is_sending())
                return self->resend_unless_answered();
            self->unresponsive_ = true;
            self->record_failure("no answer yet");
            self->send();
        });
}

void state_log::renew(std::int64_t version, base::steady_time sent)
{
    version_ = version;
    confirmed_ = sent;
}

void state_log::answered(const durable::store_reply& reply,
                         base::steady_time sent, copy_kind copy)
{
    using durable::store_outcome;
    if (reply.end == store_outcome::conflict)
        return conflicted(reply, sent);
    if (reply.end != store_outcome::done)
        return failed(reply, sent, copy);
    if (copy == copy_kind::probe)
        return probe_succeeded(reply.version, sent);
    renew(reply.version, sent);
    finish(log_result::durable);
}

void state_log::conflicted(const durable::store_reply& reply,
                           base::steady_time sent)
{
    const auto it = std::find_if(reply.rows.begin(), reply.rows.end(),
                                 [](const auto& row)
                                 {
                                     return row.address == head_address();
                                 });
    std::optional<head_record> found;
    if (it != reply.rows.end())
        found = wire::decode<head_record>(it->value);
    // An earlier copy of this transaction, or a probe, took effect.
    if (found && probe_ && found->transaction == probe_id_)
    {
        // The copy that failed now knew an older version than the probe left.
        if (it->version != version_)
            return probe_succeeded(it->version, sent);
        return;
    }
    if (!found || found->transaction != head_.transaction)
        return finish(log_result::superseded);
    renew(it->version, sent);
    finish(log_result::durable);
}

void state_log::probe_succeeded(std::int64_t version, base::steady_time sent)
{
    renew(version, sent);
    ++accepted_probes_;
    const int needed =
        is_invalid_ ? probes_to_reject_invalid : probes_to_reject;
    // A successor may follow a probe that released leadership.
    if (head_.released || accepted_probes_ >= needed)
    {
        log_rejection();
        return finish(log_result::rejected);
    }
    failing_since_.reset();
    unresponsive_ = false;
    ++failures_;
    for (auto* it : {&current_, &*probe_})
        it->conditions.front().version = version_;
    send();
}

void state_log::failed(const durable::store_reply& reply,
                       base::steady_time sent, copy_kind copy)
{
    using durable::store_outcome;
    unresponsive_ = reply.end == store_outcome::unknown;
    record_failure(reply.reason);
    // A newer copy is still awaiting its answer.
    if (sent != sent_)
        return;
    ++failures_;
    if (copy == copy_kind::whole)
    {
        rejection_ = reply.reason;
        is_invalid_ = reply.end == store_outcome::invalid;
    }
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

void state_log::log_rejection() const
{
    std::size_t bytes = 0;
    const auto largest =
        std::max_element(current_.writes.begin(), current_.writes.end(),
                         [](const auto& left, const auto& right)
                         {
                             return left.value.size() < right.value.size();
                         });
    for (const auto& it : current_.writes)
        bytes += it.value.size();
    base::log_event(base::log_level::error, "state_log", "content_rejected",
                    {{"reason", rejection_},
                     {"writes", current_.writes.size()},
                     {"removals", current_.removals.size()},
                     {"bytes", bytes},
                     {"largest_row", largest->address.key},
                     {"largest_row_bytes", largest->value.size()}});
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
