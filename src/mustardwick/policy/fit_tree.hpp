#pragma once

#include <bit>
#include <cstddef>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

/// @brief A tournament tree over the free resources of hosts.
///
/// Each inner node holds the maximum free amount of each resource below it, so
/// that a search skips subtrees in which the requested size cannot fit.
class fit_tree
{
public:
    /// @brief Resets the tree to n leaves in which nothing fits.
    void reset(std::size_t n)
    {
        leaves_ = std::bit_ceil(std::max<std::size_t>(n, 1));
        nodes_.assign(2 * leaves_, nothing);
    }

    /// @brief Sets the free resources of a leaf.
    void set(std::size_t leaf, const resources& free)
    {
        auto node = leaves_ + leaf;
        nodes_[node] = free;
        for (node /= 2; node > 0; node /= 2)
            nodes_[node] = largest(nodes_[2 * node], nodes_[2 * node + 1]);
    }

    const resources& at(std::size_t leaf) const
    {
        return nodes_[leaves_ + leaf];
    }

    /// @brief Returns the maximum free amount of each resource on any host.
    resources largest_free() const
    {
        return nodes_.empty() ? nothing : nodes_[1];
    }

    /// @brief Visits, in order, the leaves in which a size fits until the
    /// visitor returns false.
    /// @param from index of the first leaf to consider
    template <typename Visitor>
    bool visit(const resources& size, std::size_t from, Visitor&& visitor) const
    {
        if (nodes_.empty())
            return true;
        return visit_node(1, 0, leaves_, size, from, visitor);
    }

    /// @brief The amount of a leaf in which not even a task of size zero fits.
    static constexpr resources nothing{-1, -1, -1};

private:
    static resources largest(const resources& a, const resources& b)
    {
        return {std::max(a.millicpus, b.millicpus),
                std::max(a.memory_mb, b.memory_mb),
                std::max(a.accelerators, b.accelerators)};
    }

    template <typename Visitor>
    bool visit_node(std::size_t node, std::size_t first, std::size_t width,
                    const resources& size, std::size_t from,
                    Visitor& visitor) const
    {
        if (first + width <= from || !size.fits_in(nodes_[node]))
            return true;
        if (width == 1)
            return visitor(first);
        const auto half = width / 2;
        return visit_node(2 * node, first, half, size, from, visitor) &&
               visit_node(2 * node + 1, first + half, half, size, from,
                          visitor);
    }

    std::size_t leaves_ = 0;
    std::vector<resources> nodes_;
};

} // namespace mustardwick::policy
