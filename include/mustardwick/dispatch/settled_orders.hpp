#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::dispatch
{

/// @brief Task of which an order may still be carried out.
struct unsettled_task
{
    std::string task;
    /// By when none can take effect any more, in milliseconds on the store's
    /// clock, which all leaders read; std::nullopt while that is not known.
    std::optional<std::int64_t> until_ms;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(task, until_ms);
    }
};

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
    std::vector<unsettled_task> except;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(epoch, version, except);
    }
};

/// With more tasks the version is that of the oldest outstanding order. With
/// these the row stays below 35,000 bytes.
inline constexpr std::size_t max_outstanding_tasks = 500;

/// @brief Converts a time of the planner's clock to the store's; the result is
/// not early unless the host was suspended between the reading and what the
/// time is counted from.
struct to_store_clock
{
    std::function<std::int64_t(base::steady_time)> convert;
    /// When the store's clock was read.
    base::steady_time clock_read;
};

/// @brief Converts a time of the store's clock; the result is not early, and
/// std::nullopt before a first reading of that clock.
using from_store_clock =
    std::function<std::optional<base::steady_time>(std::int64_t)>;

} // namespace mustardwick::dispatch
