#pragma once

#include <chrono>
#include <optional>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::entry
{

/// @brief Tells a change of leaders, which is over soon, from a cell without a
/// leader, where waiting would only hold callers up.
///
/// Load pattern: every caller's request waits while the store keeps all daemons
/// from the duty.
class leader_contact
{
public:
    /// @brief The leader has answered a call.
    void served()
    {
        unserved_since_.reset();
    }

    /// @brief A call found no leader or got no answer.
    void unserved(base::steady_time now)
    {
        if (!unserved_since_ || now - last_unserved_ >= memory)
            unserved_since_ = now;
        last_unserved_ = now;
    }

    /// @brief Calls have failed for longer than a change of leaders takes.
    bool is_missing(base::steady_time now) const
    {
        return unserved_since_ &&
               now - *unserved_since_ > longest_change_of_leaders &&
               now - last_unserved_ < memory;
    }

private:
    /// A lost leader is replaced after 0.1 to 1.3 s (docs/platform.md).
    static constexpr std::chrono::milliseconds longest_change_of_leaders{1500};
    /// Calls are repeated every 60 ms; after a longer pause a call finds out
    /// anew whether there is a leader.
    static constexpr std::chrono::milliseconds memory{500};

    std::optional<base::steady_time> unserved_since_;
    base::steady_time last_unserved_;
};

} // namespace mustardwick::entry
