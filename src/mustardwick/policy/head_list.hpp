#pragma once

#include <algorithm>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

struct job_entry;

/// @brief A job's place in the order of its queue.
struct queue_place
{
    steady_time order;
    std::string_view id;
    job_entry* job = nullptr;

    bool operator<(const queue_place& other) const
    {
        return std::tie(order, id) < std::tie(other.order, other.id);
    }
};

/// @brief The first job of a shape and the size of its tasks.
struct queue_head
{
    queue_place place;
    resources size;
};

/// @brief Jobs in queue order, stored in blocks. Each block keeps the minimum
/// size of its jobs.
///
/// A search skips blocks in which every job is too large, so that a long queue
/// is cheap to scan in a full cell.
class head_list
{
public:
    bool empty() const
    {
        return blocks_.empty();
    }

    const queue_head& first() const
    {
        return blocks_.front().heads.front();
    }

    const queue_head& last() const
    {
        return blocks_.back().heads.back();
    }

    void insert(const queue_head& head);
    void erase(const queue_place& place);

    /// @brief Returns the last job before a place, if any.
    std::optional<queue_place> before(const queue_place& place) const;

    /// @brief Returns the first job whose size passes a filter, or nullptr. A
    /// filter that rejects a size must reject all larger sizes.
    /// @param after if set, only jobs after this place are considered
    /// @param until if set, only jobs up to and including this place are
    /// considered
    template <typename Filter>
    const queue_head* find(const std::optional<queue_place>& after,
                           const std::optional<queue_place>& until,
                           const Filter& passes) const
    {
        const auto first = after ? find_block(*after) : blocks_.begin();
        for (auto block = first; block != blocks_.end(); ++block)
        {
            if (until && *until < block->heads.front().place)
                return nullptr;
            if (!passes(block->min_size))
                continue;
            auto it = block->heads.begin();
            if (after && block == first)
                it = first_after(*block, *after);
            for (; it != block->heads.end(); ++it)
                if (passes(it->size))
                    return until && *until < it->place ? nullptr : &*it;
        }
        return nullptr;
    }

    /// @brief Calls a function with each of the first n jobs.
    template <typename Function>
    void visit_first(int n, Function&& function) const
    {
        for (const auto& block : blocks_)
            for (const auto& it : block.heads)
                if (n-- > 0)
                    function(it);
                else
                    return;
    }

private:
    /// Maximum number of jobs per block; each insert or erase scans one block.
    static constexpr std::size_t max_block_size = 128;

    struct block
    {
        std::vector<queue_head> heads;
        resources min_size;

        void update();
    };

    using blocks = std::vector<block>;

    /// @brief Returns the first block that does not end before a place.
    blocks::const_iterator find_block(const queue_place& place) const
    {
        return std::partition_point(blocks_.begin(), blocks_.end(),
                                    [&](const block& it)
                                    {
                                        return it.heads.back().place < place;
                                    });
    }

    static std::vector<queue_head>::const_iterator
    first_after(const block& in, const queue_place& place)
    {
        return std::partition_point(in.heads.begin(), in.heads.end(),
                                    [&](const queue_head& it)
                                    {
                                        return !(place < it.place);
                                    });
    }

    blocks blocks_;
};

} // namespace mustardwick::policy
