#pragma once

#include <cstdint>
#include <tuple>

namespace mustardwick::policy
{

/// @brief What is known of a step that waits for hosts.
struct waiting_step
{
    /// 0 comes first.
    int priority = 0;
    /// Expected run time of the longest chain of steps that is left.
    std::int64_t chain_left_ms = 0;
    /// Time left until the job's objective; negative once it has passed.
    std::int64_t objective_left_ms = 0;
    /// Time left until a late completion is worth nothing.
    std::int64_t late_left_ms = 0;
    /// The job is beyond its account's share.
    bool over_share = false;
};

/// @brief What finishing a step as early as possible can still earn.
enum class outlook
{
    in_time,
    late,
    /// Beyond the account's share.
    surplus,
    worthless
};

/// @brief Load pattern: a burst that leaves more work than fits. Work that can
/// still be in time goes before work that cannot, and an account's surplus
/// waits for what the others may count on.
inline outlook outlook_of(const waiting_step& it)
{
    if (it.chain_left_ms > it.late_left_ms)
        return outlook::worthless;
    if (it.over_share)
        return outlook::surplus;
    return it.chain_left_ms <= it.objective_left_ms ? outlook::in_time
                                                    : outlook::late;
}

/// @brief Load pattern: a backlog of work that is worth nothing any more beside
/// wide steps that need many hosts at once. Such work starts only when nothing
/// else waits for room.
constexpr bool is_deferrable(outlook it)
{
    return it >= outlook::surplus;
}

/// @brief Sort key: outlook, priority, then least slack first.
inline std::tuple<outlook, int, std::int64_t> urgency_of(const waiting_step& it)
{
    return {outlook_of(it), it.priority,
            it.objective_left_ms - it.chain_left_ms};
}

} // namespace mustardwick::policy
