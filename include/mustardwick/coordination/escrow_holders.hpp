#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/change_freeze.hpp"
#include "mustardwick/coordination/cluster_view.hpp"
#include "mustardwick/coordination/member_registry.hpp"

namespace mustardwick::coordination
{

/// @brief Names the holders of escrow parts, each by a daemon's name and
/// incarnation, and determines which of them have terminated.
///
/// Failure detection can be wrong, for example when a connection fails in one
/// direction. A holder counts as terminated only when the member rows show that
/// its authority ends.
class escrow_holders
{
public:
    /// @brief A daemon that failure detection considers dead is fenced when its
    /// row has not been renewed for `silence`.
    escrow_holders(member_registry& registry, const cluster_view& view,
                   change_freeze& freeze, const base::clock& time,
                   std::chrono::milliseconds silence);

    /// @brief Returns the holder name of this daemon's current incarnation.
    std::string self() const;

    /// @brief Returns whether a holder has been fenced, has registered again or
    /// has no row.
    bool has_terminated(const std::string& holder) const;

    /// @brief Fences a holder that is dead and no longer renews its row; call
    /// periodically.
    void fence_if_dead(const std::string& holder);

    /// @brief Reads the member rows; false when the table did not answer.
    bool refresh();

private:
    struct observation
    {
        std::uint64_t version = 0;
        base::steady_time since;
    };

    member_registry& registry_;
    const cluster_view& view_;
    change_freeze& freeze_;
    const base::clock& clock_;
    std::chrono::milliseconds silence_;
    std::map<std::string, observation, std::less<>> dead_;
};

/// @brief Returns the name of the daemon of a holder.
std::string daemon_of(std::string_view holder);

} // namespace mustardwick::coordination
