#pragma once

#include <cstdint>

namespace mustardwick::dispatch
{

/// @brief Value of the row that tells a successor which orders cannot take
/// effect any more.
struct settled_orders
{
    /// Leader that wrote it. Only its immediate successor may rely on it.
    std::int64_t epoch = 0;
    /// The effects of all orders are known whose assignments are in rows with a
    /// lower version.
    std::int64_t version = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(epoch, version);
    }
};

} // namespace mustardwick::dispatch
