#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "mustardwick/coordination/cluster_view.hpp"
#include "mustardwick/coordination/member_registry.hpp"
#include "mustardwick/coordination/records.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::coordination
{

/// @brief Acquires and releases planner leadership.
///
/// The leadership row fences former planners: every transaction of the planner
/// checks the row's version, and acquiring leadership rewrites the row with a
/// higher epoch.
class planner_leadership
{
public:
    planner_leadership(ports::table table, const member_registry& registry,
                       const cluster_view& view);

    /// @brief Reads the leadership row and acquires leadership when it is
    /// assigned to this daemon and no live incarnation of a daemon holds it.
    ///
    /// Returns false when the table is unreachable or the outcome of the
    /// transaction is unknown.
    bool tick();

    /// @brief Returns the check to add to each transaction of the planner;
    /// std::nullopt when leadership is not held.
    std::optional<ports::check> guard() const;

    bool is_held() const
    {
        return guard().has_value();
    }

    /// @brief Records that leadership was lost: a transaction failed because
    /// the row had changed.
    void mark_lost();

    /// @brief Releases leadership so that a peer can acquire it without waiting
    /// for failure detection.
    ///
    /// Returns false when the release is not known to be committed; true when
    /// leadership was not held.
    bool release();

    /// @brief Returns the holder as last read; empty when there is none.
    std::string holder() const;

    /// @brief Returns the epoch as last read.
    std::uint64_t epoch() const;

private:
    bool should_acquire(const leadership_record& record) const;
    bool acquire(const ports::row& row, const leadership_record& record);
    void update_record(const leadership_record& record, std::uint64_t version);

    ports::table table_;
    const member_registry& registry_;
    const cluster_view& view_;
    mutable std::mutex mutex_;
    leadership_record record_;
    std::uint64_t version_ = 0;
    bool held_ = false;
};

} // namespace mustardwick::coordination
