#include "testing/standin/event_log.hpp"

#include <chrono>

namespace mustardwick::testing
{

namespace
{

std::int64_t microseconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

} // namespace

bool event_log::open(const std::string& file)
{
    const std::scoped_lock lock(mutex_);
    file_.open(file, std::ios::app);
    return file_.is_open();
}

void event_log::write(base::steady_time at, json_object event)
{
    const auto age = clock_.now() - at;
    const auto wall = clock_.wall().time_since_epoch();
    event.number("t", microseconds(wall - age));
    const auto line = event.serialize();
    const std::scoped_lock lock(mutex_);
    if (file_.is_open())
        file_ << line << std::endl;
}

} // namespace mustardwick::testing
