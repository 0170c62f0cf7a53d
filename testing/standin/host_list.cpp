#include "testing/standin/host_list.hpp"

#include <utility>

namespace mustardwick::testing
{

void host_list::set(std::vector<listed_host> hosts)
{
    const std::scoped_lock lock(mutex_);
    pending_.push_back({clock_.now() + lag_, std::move(hosts)});
}

std::vector<listed_host> host_list::visible()
{
    const std::scoped_lock lock(mutex_);
    while (!pending_.empty() && pending_.front().visible_at <= clock_.now())
    {
        visible_ = std::move(pending_.front().hosts);
        pending_.pop_front();
    }
    return visible_;
}

} // namespace mustardwick::testing
