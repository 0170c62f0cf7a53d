#include "mustardwick/coordination/escrow_holders.hpp"

#include <charconv>

#include "mustardwick/base/log.hpp"
#include "mustardwick/coordination/report_filter.hpp"

namespace mustardwick::coordination
{

namespace
{

constexpr char separator = '#';

std::uint64_t incarnation_of(std::string_view holder)
{
    const auto at = holder.find(separator);
    std::uint64_t out = 0;
    if (at != std::string_view::npos)
        std::from_chars(holder.data() + at + 1, holder.data() + holder.size(),
                        out);
    return out;
}

} // namespace

std::string daemon_of(std::string_view holder)
{
    return std::string(holder.substr(0, holder.find(separator)));
}

escrow_holders::escrow_holders(member_registry& registry,
                               const cluster_view& view, change_freeze& freeze,
                               const base::clock& time,
                               std::chrono::milliseconds silence)
    : registry_(registry), view_(view), freeze_(freeze), clock_(time),
      silence_(silence)
{
}

std::string escrow_holders::self() const
{
    return holder_name(registry_.name(), registry_.incarnation());
}

bool escrow_holders::has_terminated(const std::string& holder) const
{
    if (holder == self())
        return false;
    const auto member = registry_.find(daemon_of(holder));
    if (!member)
        return true;
    // The row may have been read before the holder registered.
    const auto incarnation = incarnation_of(holder);
    return incarnation < member->record.incarnation ||
           (incarnation == member->record.incarnation && member->record.fenced);
}

void escrow_holders::fence_if_dead(const std::string& holder)
{
    const auto name = daemon_of(holder);
    const auto member = registry_.find(name);
    if (!member || member->record.fenced || !view_.has_failed(name))
    {
        dead_.erase(name);
        return;
    }
    const auto now = clock_.now();
    auto& seen = dead_.try_emplace(name, observation{member->version, now})
                     .first->second;
    if (seen.version != member->version)
        seen = {member->version, now};
    if (now - seen.since < silence_)
        return;
    seen.since = now;
    // Peers that act without the table rely on not being fenced during a
    // freeze.
    if (!freeze_.begin_change())
        return;
    const auto result = registry_.fence(*member);
    freeze_.end_change(result != ports::commit_state::unknown);
    if (result == ports::commit_state::committed)
        base::log_event(base::log_level::info, "escrow", "holder_fenced",
                        {{"daemon", name}});
}

bool escrow_holders::refresh()
{
    return registry_.refresh();
}

} // namespace mustardwick::coordination
