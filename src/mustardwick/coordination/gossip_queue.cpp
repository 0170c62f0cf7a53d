#include "mustardwick/coordination/gossip_queue.hpp"

#include <algorithm>

namespace mustardwick::coordination
{

namespace
{

/// cereal writes a length of 8 bytes before each string.
constexpr std::size_t length_bytes = 8;

} // namespace

std::size_t encoded_size(const wire::member_claim& claim)
{
    return length_bytes + claim.name.size() + sizeof claim.incarnation +
           sizeof claim.state;
}

void gossip_queue::put(const wire::member_claim& claim, int transmissions)
{
    entries_[claim.name] = {claim, transmissions};
}

void gossip_queue::erase(std::string_view name)
{
    const auto it = entries_.find(name);
    if (it != entries_.end())
        entries_.erase(it);
}

std::vector<wire::member_claim> gossip_queue::take(std::size_t max_bytes)
{
    std::vector<entry*> order;
    for (auto& [name, it] : entries_)
        order.push_back(&it);
    std::stable_sort(order.begin(), order.end(),
                     [](const entry* left, const entry* right)
                     {
                         return left->remaining > right->remaining;
                     });
    std::vector<wire::member_claim> out;
    std::size_t used = 0;
    for (auto* it : order)
    {
        used += encoded_size(it->claim);
        if (used > max_bytes)
            break;
        out.push_back(it->claim);
        --it->remaining;
    }
    std::erase_if(entries_,
                  [](const auto& it)
                  {
                      return it.second.remaining <= 0;
                  });
    return out;
}

} // namespace mustardwick::coordination
