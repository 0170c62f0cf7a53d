#include "mustardwick/coordination/peer_confirmation.hpp"

#include <algorithm>
#include <utility>

namespace mustardwick::coordination
{

using base::milliseconds;

peer_confirmation::peer_confirmation(config_store& config,
                                     member_registry& registry,
                                     change_freeze& freeze,
                                     const base::clock& time,
                                     milliseconds freeze_duration,
                                     query_function query_peers)
    : config_(config), registry_(registry), freeze_(freeze), clock_(time),
      freeze_duration_(freeze_duration), query_peers_(std::move(query_peers))
{
}

/// Returns all other members with a row. Fenced members are included: a fenced
/// member may be the only one that reaches the table, and it could register
/// again and change the configuration.
std::vector<std::string> peer_confirmation::known_peers() const
{
    std::vector<std::string> out;
    for (const auto& it : registry_.members())
    {
        if (it.record.name != registry_.name())
            out.push_back(it.record.name);
    }
    return out;
}

void peer_confirmation::confirm_by_peers()
{
    const auto peers = known_peers();
    const auto sent = clock_.now();
    const auto version = config_.current()->version;
    const wire::freshness_query query{
        version, static_cast<std::uint32_t>(freeze_duration_.count()),
        registry_.name(), registry_.incarnation()};
    const auto answers = query_peers_(peers, query);
    bool all_frozen = freeze_.freeze_until(sent + freeze_duration_);
    for (const auto& it : answers)
    {
        const bool same = it && it->version == version;
        all_frozen = all_frozen && same && it->frozen;
        if (same && it->age_ms >= 0)
            config_.confirm(version, sent - milliseconds{it->age_ms});
        if (it && it->member_age_ms >= 0)
            registry_.confirm(sent - milliseconds{it->member_age_ms});
    }
    if (!all_frozen || config_.age() == milliseconds::max())
        return;
    config_.confirm(version, sent);
    registry_.confirm(sent);
}

wire::freshness_answer
peer_confirmation::answer(const wire::freshness_query& query)
{
    wire::freshness_answer out;
    out.version = config_.current()->version;
    const auto age = config_.age();
    out.age_ms = age == milliseconds::max() ? -1 : age.count();
    out.frozen =
        freeze_.freeze_until(clock_.now() + milliseconds{query.freeze_ms});
    const auto member = registry_.find(query.daemon);
    const bool known = member && !member->record.fenced &&
                       member->record.incarnation == query.incarnation;
    out.member_age_ms = known ? registry_.rows_age().count() : -1;
    return out;
}

} // namespace mustardwick::coordination
