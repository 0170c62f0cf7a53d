#include "round.hpp"

#include <algorithm>

#include "mustardwick/base/identity.hpp"

namespace mustardwick::policy
{

namespace
{

std::uint64_t shuffle_key(const round& it, const returning_host& host)
{
    return base::stable_hash(it.state.slots[host.slot].name);
}

/// @brief Schedules the admission of each newly returned host, in shuffled
/// order.
///
/// The first host after an idle period is admitted at once. The others follow
/// one per interval, each with a jitter of up to one interval.
void schedule_admissions(round& it)
{
    auto& all = it.state.returning;
    const auto fresh = std::stable_partition(all.begin(), all.end(),
                                             [](const auto& host)
                                             {
                                                 return host.ready.has_value();
                                             });
    std::sort(fresh, all.end(),
              [&](const auto& left, const auto& right)
              {
                  return shuffle_key(it, left) < shuffle_key(it, right);
              });
    const auto interval = it.limits.return_interval;
    for (auto at = fresh; at != all.end(); ++at)
    {
        const auto jitter = std::max<std::int64_t>(interval.count(), 1);
        auto& next = it.state.next_admission;
        at->ready = next <= it.now
                        ? it.now
                        : next + milliseconds(shuffle_key(it, *at) % jitter);
        next = std::max(next, it.now) + interval;
    }
}

} // namespace

void admit_returning(round& it)
{
    if (it.state.returning.empty())
        return;
    schedule_admissions(it);
    std::erase_if(it.state.returning,
                  [&](const auto& host)
                  {
                      auto& slot = it.state.slots[host.slot];
                      const bool unavailable =
                          slot.value == nullptr || !slot.value->accepts_work;
                      if (!unavailable && *host.ready > it.now)
                          return false;
                      slot.admitted = true;
                      it.state.update_slot(host.slot);
                      return true;
                  });
}

} // namespace mustardwick::policy
