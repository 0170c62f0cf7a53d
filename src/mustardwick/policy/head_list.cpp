#include "head_list.hpp"

namespace mustardwick::policy
{

namespace
{

auto position(std::vector<queue_head>& heads, const queue_place& place)
{
    return std::partition_point(heads.begin(), heads.end(),
                                [&](const queue_head& it)
                                {
                                    return it.place < place;
                                });
}

} // namespace

void head_list::block::update()
{
    if (heads.empty())
        return;
    min_size = heads.front().size;
    for (const auto& it : heads)
    {
        min_size.millicpus = std::min(min_size.millicpus, it.size.millicpus);
        min_size.memory_mb = std::min(min_size.memory_mb, it.size.memory_mb);
        min_size.accelerators =
            std::min(min_size.accelerators, it.size.accelerators);
    }
}

void head_list::insert(const queue_head& head)
{
    if (blocks_.empty())
    {
        blocks_.push_back({{head}, head.size});
        return;
    }
    auto at = blocks_.begin() + (find_block(head.place) - blocks_.begin());
    if (at == blocks_.end())
        --at;
    at->heads.insert(position(at->heads, head.place), head);
    if (at->heads.size() > max_block_size)
    {
        block upper;
        const auto middle = at->heads.begin() + max_block_size / 2;
        upper.heads.assign(middle, at->heads.end());
        upper.update();
        at->heads.erase(middle, at->heads.end());
        at = blocks_.insert(at + 1, std::move(upper)) - 1;
    }
    at->update();
}

void head_list::erase(const queue_place& place)
{
    const auto at = blocks_.begin() + (find_block(place) - blocks_.begin());
    if (at == blocks_.end())
        return;
    const auto it = position(at->heads, place);
    if (it == at->heads.end() || place < it->place)
        return;
    at->heads.erase(it);
    at->update();
    if (at->heads.empty())
        blocks_.erase(at);
}

std::optional<queue_place> head_list::before(const queue_place& place) const
{
    std::optional<queue_place> found;
    const auto at = find_block(place);
    if (at != blocks_.begin())
        found = (at - 1)->heads.back().place;
    if (at != blocks_.end())
        for (const auto& it : at->heads)
            if (it.place < place)
                found = it.place;
    return found;
}

} // namespace mustardwick::policy
