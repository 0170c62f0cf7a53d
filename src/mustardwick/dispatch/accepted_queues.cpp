#include "mustardwick/dispatch/accepted_queues.hpp"

#include <map>
#include <string_view>
#include <utility>

namespace mustardwick::dispatch
{

namespace
{

/// The queues of a configuration by host name and path prefix.
class queue_index
{
public:
    explicit queue_index(const jobs::configuration& value) : value_(value)
    {
        for (const auto& [name, it] : value.queues)
            by_address_.emplace(address_of(it), &it);
    }

    /// Returns the queue that carries on a former one; null when there is none.
    const jobs::queue* find_successor(const jobs::queue& terms) const
    {
        const auto same_address = by_address_.find(address_of(terms));
        if (same_address != by_address_.end())
        {
            const auto* it = same_address->second;
            if (it->name == terms.name || runs_tasks_of(*it, terms))
                return it;
        }
        const auto same_name = value_.queues.find(terms.name);
        if (same_name != value_.queues.end() &&
            runs_tasks_of(same_name->second, terms))
            return &same_name->second;
        return nullptr;
    }

private:
    using address = std::pair<std::string_view, std::string_view>;

    static address address_of(const jobs::queue& it)
    {
        return {it.host_name, it.path_prefix};
    }

    /// The tasks were submitted for the service of the former queue; while it
    /// exists, only a change of the same queue may send them to another one.
    bool runs_tasks_of(const jobs::queue& it, const jobs::queue& terms) const
    {
        return it.service == terms.service ||
               !value_.services.contains(terms.service);
    }

    const jobs::configuration& value_;
    std::map<address, const jobs::queue*> by_address_;
};

} // namespace

void accepted_queues::restore(const std::map<std::string, jobs::queue>& stored)
{
    entries_.clear();
    changed_.clear();
    for (const auto& [key, terms] : stored)
        entries_.emplace(
            key,
            entry{.terms = terms, .is_configured = false, .has_row = true});
}

accepted_queues::renamed_keys
accepted_queues::configure(const jobs::configuration& value)
{
    const queue_index index(value);
    for (auto& [key, it] : entries_)
    {
        const auto* successor = index.find_successor(it.terms);
        it.is_configured = successor != nullptr;
        if (successor == nullptr || *successor == it.terms)
            continue;
        it.terms = *successor;
        if (it.has_row)
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
            if (node.mapped().has_row)
                changed_.insert({name, alias});
            node.key() = alias;
            entries_.insert(std::move(node));
            renamed.emplace_back(name, std::move(alias));
        }
        entries_.emplace(name, entry{.terms = queue, .is_configured = true});
    }
    return renamed;
}

void accepted_queues::use(std::string_view key)
{
    const auto it = entries_.find(key);
    if (it == entries_.end())
        return;
    it->second.is_idle = false;
    if (!std::exchange(it->second.has_row, true))
        changed_.insert(it->first);
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
        const bool has_jobs = used.contains(key);
        const bool needed =
            has_jobs || (value.is_configured && value.terms.name == key);
        const bool drops = !needed && value.is_unused;
        const bool loses_row = !has_jobs && value.is_idle && value.has_row;
        value.is_unused = !needed;
        value.is_idle = !has_jobs;
        if (loses_row)
        {
            value.has_row = false;
            changed_.insert(key);
        }
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
