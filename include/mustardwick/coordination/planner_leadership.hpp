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

/// @brief Takes, keeps and gives up the planner duty.
///
/// Safety rests on the epoch: every transaction of the planner checks the
/// version of the duty row, and taking the duty rewrites that row.
class planner_leadership
{
public:
    planner_leadership(ports::table table, const member_registry& registry,
                       const cluster_view& view);

    /// @brief Reads the row and takes the duty when this daemon should have
    /// it; false when the table did not answer.
    bool tick();

    /// @brief The check that guards each transaction; empty when not held.
    std::optional<ports::check> guard() const;

    bool is_held() const
    {
        return guard().has_value();
    }

    /// @brief Notes that a transaction found the row changed.
    void mark_lost();

    /// @brief Gives the duty up so that a peer takes it at once.
    bool release();

    /// @brief The holder as last read; empty when unknown.
    std::string holder() const;
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
