#include "mustardwick/wire/open_sessions.hpp"

#include <vector>

namespace mustardwick::wire
{

bool open_sessions::add(const std::shared_ptr<open_session>& value)
{
    const std::scoped_lock lock(mutex_);
    if (!closed_)
        sessions_[value.get()] = value;
    return !closed_;
}

void open_sessions::remove(open_session* value)
{
    const std::scoped_lock lock(mutex_);
    sessions_.erase(value);
}

void open_sessions::abort_all()
{
    // Declared before the lock, so that sessions are destroyed after it is
    // released: their destructor calls remove().
    std::vector<std::shared_ptr<open_session>> open;
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    for (const auto& [key, value] : sessions_)
        open.push_back(value.lock());
    for (const auto& it : open)
        if (it)
            it->abort();
}

} // namespace mustardwick::wire
