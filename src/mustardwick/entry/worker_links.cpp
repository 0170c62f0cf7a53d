#include "mustardwick/entry/worker_links.hpp"

#include <utility>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/call_times.hpp"

namespace mustardwick::entry
{

namespace
{

using std::chrono::milliseconds;

/// Delay between two renewals; runs that end within it are reported together.
constexpr milliseconds renewal_delay{20};
/// How often a renewal is postponed until the effect of a reported end of a run
/// is committed, which takes 6 ms plus the remaining time of the preceding
/// transaction. Until then the worker would answer at once with the same end.
/// After 100 ms the renewal is sent even while the store is slow, so that the
/// worker can report further ends.
constexpr int max_deferrals = 4;
constexpr milliseconds min_retry_delay{250};
constexpr int max_retry_doublings = 2;
/// Delay while this daemon has no authority to act as leader.
constexpr milliseconds no_authority_delay{100};

} // namespace

worker_links::worker_links(boost::asio::io_context& io, const base::clock& time,
                           base::metrics& metrics, dispatch::planner& planner,
                           std::int64_t epoch, events on)
    : io_(io), clock_(time), metrics_(metrics), planner_(planner),
      epoch_(epoch), on_(std::move(on))
{
}

void worker_links::stop()
{
    stopped_ = true;
    for (auto& [id, it] : links_)
        it.timer->cancel();
    links_.clear();
}

void worker_links::listed(const jobs::worker_info& info)
{
    if (stopped_)
        return;
    auto& it = links_[info.id];
    const bool moved = !it.client || it.info.address != info.address;
    it.info = info;
    const bool newly_listed = !it.listed;
    it.listed = true;
    auto& tokens = tokens_[info.id];
    if (!tokens)
        tokens = std::make_shared<jobs::fencing_tokens>(epoch_);
    if (moved)
    {
        ++it.generation;
        it.client = std::make_unique<platform::worker_client>(
            io_, info.id, info.address, tokens);
        it.timer = std::make_unique<boost::asio::steady_timer>(io_);
        it.failures = 0;
    }
    if (moved || newly_listed)
        return renew(info.id);
    const auto host = planner_.hosts().find(info.id);
    if (host != planner_.hosts().end() && host->second.adopted &&
        info.incarnation_start_ms > host->second.incarnation_start_ms)
        ask_at_once(info.id);
}

void worker_links::unlisted(const std::string& id)
{
    const auto it = links_.find(id);
    if (stopped_ || it == links_.end())
        return;
    it->second.listed = false;
    const auto host = planner_.hosts().find(id);
    if (host == planner_.hosts().end() || host->second.runs.empty())
        return;
    // A worker that was lost would leave the renewal under way unanswered for
    // longer.
    ask_at_once(id);
}

void worker_links::ask_at_once(const std::string& id)
{
    const auto it = links_.find(id);
    if (it == links_.end() || it->second.asked == it->second.generation)
        return;
    it->second.asks_at_once = true;
    renew(id);
}

void worker_links::renew_after(link& it, milliseconds delay)
{
    it.timer->expires_after(delay);
    it.timer->async_wait(
        [self = shared_from_this(), id = it.info.id,
         generation = it.generation](boost::system::error_code ec)
        {
            const auto found = self->links_.find(id);
            if (!ec && found != self->links_.end() &&
                found->second.generation == generation)
                self->renew(id);
        });
}

void worker_links::renew(const std::string& id)
{
    if (stopped_)
        return;
    auto& it = links_.at(id);
    if (!on_.has_authority())
        return renew_after(it, no_authority_delay);
    const bool awaits_ends =
        planner_.has_uncommitted_ends(id) || it.withheld_ends;
    if (awaits_ends && it.deferrals < max_deferrals)
    {
        ++it.deferrals;
        return renew_after(it, renewal_delay);
    }
    it.deferrals = 0;
    it.withheld_ends = false;
    ++it.generation;
    platform::lease_renewal renewal;
    // The first answer is needed immediately, to learn the worker's clock.
    const auto host = planner_.hosts().find(id);
    const bool adopted = host != planner_.hosts().end() && host->second.adopted;
    const bool asks_at_once = std::exchange(it.asks_at_once, false);
    if (asks_at_once)
        it.asked = it.generation;
    else if (adopted)
    {
        renewal.incarnation_start_ms = host->second.incarnation_start_ms;
        renewal.acknowledged_end = planner_.acknowledged_end(id);
        renewal.acknowledged_unverified = [self = shared_from_this(), id]
        {
            return self->acknowledge_unverified(id);
        };
        renewal.deadline_ms = planner_.lease_deadline(id);
        if (renewal.deadline_ms)
            renewal.wait = planner_.renewal_wait(id);
    }
    metrics_.add("mustardwick_renewals_total");
    it.client->renew(renewal,
                     [self = shared_from_this(), id, generation = it.generation,
                      asked = clock_.now()](platform::renewal_reply reply)
                     {
                         self->renewed(id, generation, std::move(reply), asked);
                     });
}

std::int64_t worker_links::acknowledge_unverified(const std::string& id)
{
    const auto found = links_.find(id);
    if (found == links_.end())
        return 0;
    const auto out = planner_.acknowledged_unverified(id);
    found->second.withheld_ends = out != planner_.acknowledged_end(id);
    return out;
}

void worker_links::renewed(const std::string& id, std::uint64_t generation,
                           platform::renewal_reply reply,
                           base::steady_time asked)
{
    const auto found = links_.find(id);
    if (stopped_ || found == links_.end() ||
        found->second.generation != generation)
        return;
    auto& it = found->second;
    if (reply.fenced)
        return on_.fenced();
    if (reply.other_incarnation)
        return ask_at_once(id);
    if (reply.overtaken)
        return renew_after(it, renewal_delay);
    if (reply.report)
    {
        it.failures = 0;
        it.withheld_ends = it.withheld_ends && !reply.report->ended.empty();
        const auto host = planner_.hosts().find(id);
        const bool first =
            host == planner_.hosts().end() || !host->second.adopted;
        planner_.worker_reported(id, *reply.report, asked);
        on_.changed();
        // A worker's first report is followed by a renewal without delay.
        return renew_after(it, first ? milliseconds(0) : renewal_delay);
    }
    // A refused or reset connection says as little about the worker's runs as
    // silence does: a device on the path can reject it while they go on.
    planner_.worker_unresponsive(id);
    on_.changed();
    const int doublings = std::min(it.failures++, max_retry_doublings);
    if (!it.listed && it.failures > max_retry_doublings)
    {
        base::log_event(base::log_level::info, "workers", "worker_dropped",
                        {{"worker", id}});
        it.timer->cancel();
        links_.erase(found);
        return;
    }
    renew_after(it, min_retry_delay * (1 << doublings));
}

void worker_links::deliver(const dispatch::orders& orders)
{
    for (const auto& it : orders.stops)
        stop_run(it);
    for (const auto& it : orders.starts)
        start(it);
}

void worker_links::start(const dispatch::start_order& order)
{
    const auto found = links_.find(order.worker);
    if (found == links_.end() || !on_.has_authority())
    {
        planner_.start_answered(order, {jobs::order_result::not_sent, 0});
        return on_.changed();
    }
    const auto sent = clock_.now();
    auto& client = *found->second.client;
    client.start(
        order,
        [self = shared_from_this(), order, sent](jobs::order_reply reply)
        {
            if (self->stopped_)
                return;
            const std::chrono::duration<double> took =
                self->clock_.now() - sent;
            self->metrics_.observe("mustardwick_start_seconds", took.count());
            self->planner_.start_answered(order, reply);
            if (reply.result == jobs::order_result::other_incarnation)
                self->met_other_incarnation(order);
            self->on_.changed();
            if (reply.result == jobs::order_result::fenced)
                self->on_.fenced();
        });
}

void worker_links::met_other_incarnation(const dispatch::start_order& order)
{
    // Once the worker has reported, other orders that were decided before tell
    // nothing new.
    const auto host = planner_.hosts().find(order.worker);
    if (host != planner_.hosts().end() &&
        host->second.incarnation_start_ms == order.worker_incarnation_start_ms)
        ask_at_once(order.worker);
}

void worker_links::stop_run(const dispatch::stop_order& order)
{
    const auto found = links_.find(order.worker);
    if (found == links_.end() || !on_.has_authority())
        return;
    auto& client = *found->second.client;
    client.stop(order,
                [self = shared_from_this(), order](jobs::order_reply reply)
                {
                    if (self->stopped_)
                        return;
                    self->planner_.stop_answered(order, reply);
                    self->on_.changed();
                });
}

} // namespace mustardwick::entry
