#include "mustardwick/dispatch/accepted_queues.hpp"

#include <algorithm>

namespace mustardwick::dispatch
{

namespace
{

const jobs::queue* find_by_address(const jobs::configuration& value,
                                   const jobs::queue& terms)
{
    const auto it = std::find_if(value.queues.begin(), value.queues.end(),
                                 [&](const auto& queue)
                                 {
                                     return queue.second.has_address_of(terms);
                                 });
    return it == value.queues.end() ? nullptr : &it->second;
}

/// Returns the queue of a configuration that carries on a former one; null when
/// there is none.
const jobs::queue* find_successor(const jobs::configuration& value,
                                  const jobs::queue& terms)
{
    // The tasks were submitted for this service; while it exists, only a change
    // of the same queue may send them to another one.
    const auto runs_tasks = [&](const jobs::queue& it)
    {
        return it.service == terms.service ||
               !value.services.contains(terms.service);
    };
    const auto* same_address = find_by_address(value, terms);
    if (same_address != nullptr &&
        (same_address->name == terms.name || runs_tasks(*same_address)))
        return same_address;
    const auto same_name = value.queues.find(terms.name);
    if (same_name != value.queues.end() && runs_tasks(same_name->second))
        return &same_name->second;
    return nullptr;
}

} // namespace

void accepted_queues::restore(const std::map<std::string, jobs::queue>& stored)
{
    entries_.clear();
    changed_.clear();
    for (const auto& [key, terms] : stored)
        entries_.emplace(key, entry{terms, false, false});
}

accepted_queues::renamed_keys
accepted_queues::configure(const jobs::configuration& value)
{
    for (auto& [key, it] : entries_)
    {
        const auto* successor = find_successor(value, it.terms);
        it.is_configured = successor != nullptr;
        if (successor == nullptr || *successor == it.terms)
            continue;
        it.terms = *successor;
        changed_.insert(key);
    }
    renamed_keys renamed;
    for (const auto& [name, queue] : value.queues)
    {
        const auto known = entries_.find(name);
        if (known != entries_.end() && known->second.terms == queue)
            continue;
        if (known != entries_.end())
        {
            auto alias = unused_alias(name, value.version);
            auto node = entries_.extract(known);
            node.key() = alias;
            entries_.insert(std::move(node));
            changed_.insert(alias);
            renamed.emplace_back(name, std::move(alias));
        }
        entries_.emplace(name, entry{queue, true, false});
        changed_.insert(name);
    }
    return renamed;
}

std::string accepted_queues::unused_alias(const std::string& key,
                                          std::int64_t version) const
{
    auto out = key + '#' + std::to_string(version);
    while (entries_.contains(out))
        out += '+';
    return out;
}

bool accepted_queues::retain(const std::set<std::string, std::less<>>& used)
{
    const auto before = entries_.size();
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto& [key, value] = *it;
        // The entry under the name of a configured queue serves its next jobs.
        const bool needed = used.contains(key) ||
                            (value.is_configured && value.terms.name == key);
        const bool drops = !needed && value.is_unused;
        value.is_unused = !needed;
        if (drops)
            changed_.insert(key);
        it = drops ? entries_.erase(it) : std::next(it);
    }
    return entries_.size() < before;
}

const accepted_queues::entry* accepted_queues::find(std::string_view key) const
{
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
}

} // namespace mustardwick::dispatch
