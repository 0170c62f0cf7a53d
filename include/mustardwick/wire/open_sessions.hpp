#pragma once

#include <map>
#include <memory>
#include <mutex>

namespace mustardwick::wire
{

/// @brief A connection of a server that another thread can close.
class open_session
{
public:
    virtual ~open_session() = default;

    /// @brief Closes the connection. Safe to call from any thread.
    virtual void abort() = 0;
};

/// @brief Tracks the open connections of a server, so that stopping the server
/// closes them. Thread-safe.
class open_sessions
{
public:
    /// @brief Adds a session. Returns false after abort_all().
    bool add(const std::shared_ptr<open_session>& value);

    void remove(open_session* value);

    /// @brief Closes all open sessions and rejects new ones.
    void abort_all();

private:
    std::mutex mutex_;
    std::map<open_session*, std::weak_ptr<open_session>> sessions_;
    bool closed_ = false;
};

} // namespace mustardwick::wire
