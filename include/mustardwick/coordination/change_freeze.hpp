#pragma once

#include <mutex>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::coordination
{

/// @brief Promises to peers not to change shared state for a while.
///
/// Covers configuration changes and the fencing of members. A promise is
/// refused while such a transaction of this daemon may still commit.
class change_freeze
{
public:
    explicit change_freeze(const base::clock& time);

    /// @brief Promises to begin no change before the given time; false while a
    /// change is under way.
    bool freeze_until(base::steady_time until);

    /// @brief Begins a change; false, with last_error(), while a promise holds.
    bool begin_change();

    /// @brief Ends a change. One whose fate is unknown stays under way for
    /// good, because it may commit later.
    void end_change(bool outcome_known);

private:
    const base::clock& clock_;
    std::mutex mutex_;
    base::steady_time frozen_until_{};
    int changes_in_progress_ = 0;
};

} // namespace mustardwick::coordination
