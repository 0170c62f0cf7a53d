#pragma once

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::testing
{

struct listed_host
{
    std::string name;
    /// "live" or "leaving".
    std::string state;
};

/// @brief The platform's host list; each change becomes visible after a lag.
class host_list
{
public:
    host_list(const base::clock& time, std::chrono::milliseconds lag)
        : clock_(time), lag_(lag)
    {
    }

    void set(std::vector<listed_host> hosts);
    std::vector<listed_host> visible();

private:
    struct change
    {
        base::steady_time visible_at;
        std::vector<listed_host> hosts;
    };

    const base::clock& clock_;
    std::chrono::milliseconds lag_;
    std::mutex mutex_;
    std::deque<change> pending_;
    std::vector<listed_host> visible_;
};

} // namespace mustardwick::testing
