#pragma once

#include <mutex>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::coordination
{

/// @brief Tracks the period in which this daemon has agreed with its peers not
/// to change shared state.
///
/// Shared state is the configuration and the set of fenced members. A freeze is
/// refused while such a change by this daemon may still commit.
class change_freeze
{
public:
    explicit change_freeze(const base::clock& time);

    /// @brief Blocks new changes until the given time; false, without effect,
    /// while a change is in progress.
    bool freeze_until(base::steady_time until);

    /// @brief Begins a change; false, with last_error(), during a freeze.
    bool begin_change();

    /// @brief Ends a change. A change with an unknown outcome stays in progress
    /// permanently, because it may still commit.
    void end_change(bool outcome_known);

private:
    const base::clock& clock_;
    std::mutex mutex_;
    base::steady_time frozen_until_{};
    int changes_in_progress_ = 0;
};

} // namespace mustardwick::coordination
