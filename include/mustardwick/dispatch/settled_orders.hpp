#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace mustardwick::dispatch
{

/// @brief Value of the row that tells a successor which orders cannot take
/// effect any more.
///
/// It holds for later successors as well: an order is sent only after its
/// assignment is stored, in a row with a higher version.
struct settled_orders
{
    /// Leader that wrote it.
    std::int64_t epoch = 0;
    /// The effects of all orders are known whose assignments are in rows with a
    /// lower version.
    std::int64_t version = 0;
    /// Tasks for which that does not hold.
    std::vector<std::string> except;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(epoch, version, except);
    }
};

/// With more tasks the version is that of the oldest outstanding order. With
/// these the row stays below 30,000 bytes.
inline constexpr std::size_t max_outstanding_tasks = 500;

} // namespace mustardwick::dispatch
