#include "mustardwick/base/clock.hpp"

namespace mustardwick::base
{

steady_time system_clock::now() const
{
    return std::chrono::steady_clock::now();
}

wall_time system_clock::wall() const
{
    return std::chrono::system_clock::now();
}

steady_time manual_clock::now() const
{
    return steady_time{milliseconds{elapsed_.load()}};
}

wall_time manual_clock::wall() const
{
    return wall_time{milliseconds{elapsed_.load()}};
}

void manual_clock::advance(milliseconds step)
{
    elapsed_.fetch_add(step.count());
}

} // namespace mustardwick::base
