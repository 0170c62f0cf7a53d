#include "mustardwick/coordination/cluster_view.hpp"

#include <utility>

#include "mustardwick/base/identity.hpp"

namespace mustardwick::coordination
{

cluster_view::cluster_view(const member_registry& registry,
                           is_dead_function is_dead)
    : registry_(registry), is_dead_(std::move(is_dead))
{
}

bool cluster_view::is_live(const member_record& record) const
{
    if (record.leaving || record.fenced)
        return false;
    return record.name == registry_.name() || !is_dead_(record.name);
}

std::vector<std::string> cluster_view::live_members() const
{
    std::vector<std::string> out;
    for (const auto& it : registry_.members())
    {
        if (is_live(it.record))
            out.push_back(it.record.name);
    }
    return out;
}

bool cluster_view::is_live(std::string_view name) const
{
    const auto member = registry_.find(name);
    return member && is_live(member->record);
}

bool cluster_view::has_failed(std::string_view name) const
{
    if (name == registry_.name())
        return false;
    const auto member = registry_.find(name);
    return !member || member->record.fenced || is_dead_(name);
}

std::optional<wire::endpoint>
cluster_view::endpoint_of(std::string_view name) const
{
    const auto member = registry_.find(name);
    if (!member)
        return std::nullopt;
    return member->record.tcp;
}

std::string cluster_view::assigned_to(std::string_view key) const
{
    return choose_member(key, live_members());
}

std::string choose_member(std::string_view key,
                          const std::vector<std::string>& members)
{
    std::string best;
    std::uint64_t best_score = 0;
    for (const auto& it : members)
    {
        const auto score = base::stable_hash(it + '/' + std::string(key));
        if (best.empty() || score > best_score)
        {
            best = it;
            best_score = score;
        }
    }
    return best;
}

} // namespace mustardwick::coordination
