#include "mustardwick/entry/advice_pool.hpp"

#include <algorithm>

#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

using std::chrono::milliseconds;

/// Fraction of the channels that long queries may occupy.
constexpr double long_query_share = 0.65;
/// Margin above the expected response time after which a query times out.
constexpr milliseconds answer_timeout_margin{700};
/// How long a member receives no queries after a failed one.
constexpr milliseconds failed_member_backoff{800};
/// Key of the leader's own channel; members have their names.
const std::string own_channel;

} // namespace

advice_pool::advice_pool(const base::clock& time, aio::peer_hub& peers,
                         platform::advice_client& local, base::metrics& metrics,
                         member_list members, answer_handler done)
    : clock_(time), peers_(peers), local_(local), metrics_(metrics),
      members_(std::move(members)), done_(std::move(done))
{
}

void advice_pool::stop()
{
    stopped_ = true;
}

bool advice_pool::is_free(const std::string& name) const
{
    const auto it = channels_.find(name);
    return it == channels_.end() || (it->second.open_queries == 0 &&
                                     it->second.avoid_until <= clock_.now());
}

dispatch::advice_capacity advice_pool::capacity() const
{
    dispatch::advice_capacity out;
    if (stopped_)
        return out;
    const auto members = members_();
    out.free = is_free(own_channel) ? 1 : 0;
    for (const auto* it : members)
        out.free += is_free(it->name) ? 1 : 0;
    const auto max_long = std::max<std::size_t>(
        1, std::size_t(double(members.size() + 1) * long_query_share));
    if (max_long > open_long_queries_)
        out.free_for_long = std::min(out.free, max_long - open_long_queries_);
    return out;
}

void advice_pool::send_query(const dispatch::advice_query& query)
{
    const auto now = clock_.now();
    const bool is_long = query.is_long();
    const auto timeout =
        milliseconds(query.expected_ms) + answer_timeout_margin;
    const auto finish = [self = shared_from_this(), query, is_long,
                         now](const std::string& name, auto allowed)
    {
        self->finished(name, is_long, query, std::move(allowed), now);
    };
    open_long_queries_ += is_long ? 1 : 0;
    const auto members = members_();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const auto* it)
                                    {
                                        return is_free(it->name);
                                    });
    if (found == members.end())
    {
        ++channels_[own_channel].open_queries;
        return local_.send_query(query, timeout,
                                 [finish](auto allowed)
                                 {
                                     finish(own_channel, std::move(allowed));
                                 });
    }
    const auto* member = *found;
    ++channels_[member->name].open_queries;
    const advice_request request{query.job, query.occurrence, query.step,
                                 query.workers, timeout.count()};
    peers_.call({member->address, member->port},
                wire::message_type::query_advice, wire::encode(request),
                timeout + milliseconds(100),
                [finish, name = member->name](const aio::peer_result& result)
                {
                    std::optional<std::vector<dispatch::advice_ticket>> allowed;
                    std::optional<advice_reply> reply;
                    if (result.answered())
                        reply = wire::decode<advice_reply>(result.payload);
                    if (reply && reply->answered)
                        allowed = std::move(reply->allowed);
                    finish(name, std::move(allowed));
                });
}

void advice_pool::finished(
    const std::string& member, bool is_long,
    const dispatch::advice_query& query,
    std::optional<std::vector<dispatch::advice_ticket>> allowed,
    base::steady_time sent)
{
    auto& it = channels_[member];
    --it.open_queries;
    open_long_queries_ -= is_long ? 1 : 0;
    const auto now = clock_.now();
    if (!allowed)
        it.avoid_until = now + failed_member_backoff;
    metrics_.observe("mustardwick_advice_seconds",
                     std::chrono::duration<double>(now - sent).count());
    if (!stopped_)
        done_(query, std::move(allowed), sent);
}

} // namespace mustardwick::entry
