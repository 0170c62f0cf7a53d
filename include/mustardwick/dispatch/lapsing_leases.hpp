#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::dispatch
{

/// @brief Lease of a worker that does not answer; it is not renewed, so that
/// nothing runs there once it has ended, but for calls that were not answered
/// and are carried out late.
struct lapsing_lease
{
    std::string worker;
    std::int64_t incarnation_start_ms = 0;
    /// By when it has ended, in milliseconds on the store's clock, which all
    /// leaders read.
    std::int64_t end_ms = 0;
    /// By when no call that lengthens it is carried out any more, on the same
    /// clock.
    std::int64_t calls_end_ms = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(worker, incarnation_start_ms, end_ms, calls_end_ms);
    }
};

/// @brief Value of the row that tells a successor of lapsing leases.
struct lapsing_lease_rows
{
    /// Leader that wrote them. Only its immediate successor may rely on them:
    /// a later one does not know whether the workers have answered since.
    std::int64_t epoch = 0;
    std::vector<lapsing_lease> leases;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(epoch, leases);
    }
};

/// With ids of up to this length the row stays below 41,000 bytes. The tasks of
/// other workers wait for the bound that a successor knows without the row.
inline constexpr std::size_t max_lapsing_leases = 400;
inline constexpr std::size_t max_lapsing_worker_bytes = 70;

/// @brief What the planner needs to store leases.
struct lease_storing
{
    /// Converts a time of the planner's clock to the store's; the result is not
    /// early.
    std::function<std::int64_t(base::steady_time)> to_store;
    /// When the store's clock was read.
    base::steady_time clock_read;
    /// The leader hands over: leases that have just begun to lapse are stored
    /// as well.
    bool hands_over = false;
};

} // namespace mustardwick::dispatch
