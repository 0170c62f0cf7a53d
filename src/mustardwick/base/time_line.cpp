#include "mustardwick/base/time_line.hpp"

#include <algorithm>
#include <utility>

namespace mustardwick::base
{

namespace
{

bool matches(const time_line_event& event, std::string_view filter)
{
    return filter.empty() || event.subject.find(filter) != std::string::npos ||
           event.detail.find(filter) != std::string::npos;
}

} // namespace

time_line::time_line(const clock& time, std::string process,
                     std::size_t capacity)
    : clock_(time), process_(std::move(process)), capacity_(capacity)
{
}

hybrid_time time_line::next_time()
{
    const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(
                          clock_.wall().time_since_epoch())
                          .count();
    if (wall > last_.microseconds)
        last_ = {wall, 0};
    else
        ++last_.counter;
    return last_;
}

hybrid_time time_line::tick()
{
    const std::scoped_lock lock(mutex_);
    return next_time();
}

hybrid_time time_line::record(std::string_view kind, std::string_view subject,
                              std::string_view detail)
{
    const std::scoped_lock lock(mutex_);
    const auto time = next_time();
    events_.push_back({time, process_, std::string(kind), std::string(subject),
                       std::string(detail)});
    if (events_.size() > capacity_)
        events_.pop_front();
    return time;
}

void time_line::receive(hybrid_time remote)
{
    const std::scoped_lock lock(mutex_);
    last_ = std::max(last_, remote);
}

std::vector<time_line_event> time_line::events(std::string_view filter) const
{
    const std::scoped_lock lock(mutex_);
    std::vector<time_line_event> out;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(out),
                 [filter](const auto& it)
                 {
                     return matches(it, filter);
                 });
    return out;
}

} // namespace mustardwick::base
