#include "mustardwick/aio/connection_guard.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/log.hpp"

namespace mustardwick::aio
{

namespace
{

constexpr std::chrono::milliseconds log_interval{1000};

/// Returns a cause as a part of the name of a counter.
std::string name_of(std::string_view cause)
{
    std::string name(cause);
    std::replace(name.begin(), name.end(), ' ', '_');
    return name;
}

} // namespace

connection_guard::connection_guard(const base::clock& time,
                                   base::metrics& metrics,
                                   std::size_t max_bytes)
    : clock_(time), metrics_(metrics), max_bytes_(max_bytes)
{
}

connection_guard::connection_id connection_guard::add(shed_handler shed)
{
    connections_[++last_id_] = {0, std::move(shed)};
    return last_id_;
}

void connection_guard::remove(connection_id id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    held_bytes_ -= it->second.bytes;
    connections_.erase(it);
}

void connection_guard::hold(connection_id id, std::size_t bytes)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    held_bytes_ += bytes - it->second.bytes;
    it->second.bytes = bytes;
    while (held_bytes_ > max_bytes_)
        shed_largest();
}

void connection_guard::shed_largest()
{
    const auto largest =
        std::max_element(connections_.begin(), connections_.end(),
                         [](const auto& left, const auto& right)
                         {
                             return left.second.bytes < right.second.bytes;
                         });
    held_bytes_ -= largest->second.bytes;
    const auto shed = std::move(largest->second.shed);
    connections_.erase(largest);
    shed();
}

void connection_guard::refused(std::string_view component,
                               std::string_view cause)
{
    metrics_.add("mustardwick_refused_" + name_of(cause) + "_total");
    ++unlogged_;
    const auto now = clock_.now();
    if (now < next_log_)
        return;
    next_log_ = now + log_interval;
    base::log_event(base::log_level::warning, component, "refused",
                    {{"cause", cause}, {"count", std::exchange(unlogged_, 0)}});
}

void connection_guard::closed(std::string_view component,
                              const closed_connection& it)
{
    metrics_.add("mustardwick_closed_" + name_of(it.cause) + "_total");
    if (it.unread_bytes == 0 && !it.is_request_open)
        return;
    metrics_.add("mustardwick_closed_unanswered_" + name_of(it.cause) +
                 "_total");
    const auto now = clock_.now();
    if (now >= next_close_log_)
    {
        next_close_log_ = now + log_interval;
        logged_closes_ = 0;
    }
    if (++logged_closes_ > max_logged_closes)
    {
        ++omitted_closes_;
        return;
    }
    base::log_event(base::log_level::warning, component, "connection_closed",
                    {{"cause", it.cause},
                     {"age_ms", it.age.count()},
                     {"unread_bytes", it.unread_bytes},
                     {"open_request", int(it.is_request_open)},
                     {"omitted", std::exchange(omitted_closes_, 0)}});
}

} // namespace mustardwick::aio
