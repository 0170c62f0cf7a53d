#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace mustardwick::testing
{

/// @brief Provides sleeps that shut_down() interrupts, so that a stand-in stops
/// quickly.
class sleeper
{
public:
    /// @brief Sleeps for the given time; false when shut_down() interrupts it.
    bool sleep(std::chrono::milliseconds time)
    {
        std::unique_lock lock(mutex_);
        return !wake_.wait_for(lock, time,
                               [this]
                               {
                                   return shut_down_;
                               });
    }

    void shut_down()
    {
        const std::scoped_lock lock(mutex_);
        shut_down_ = true;
        wake_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable wake_;
    bool shut_down_ = false;
};

} // namespace mustardwick::testing
