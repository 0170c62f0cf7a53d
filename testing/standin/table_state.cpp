#include "testing/standin/table_state.hpp"

#include <algorithm>

namespace mustardwick::testing
{

using ports::commit_state;

std::uint64_t table_state::version_of(const std::string& key) const
{
    const auto it = rows_.find(key);
    return it == rows_.end() ? 0 : it->second.version;
}

void table_state::apply(const ports::transaction& change)
{
    ++revision_;
    for (const auto& it : change.puts)
        rows_[it.key] = {it.key, revision_, change.id, it.value};
    for (const auto& it : change.deletes)
        rows_.erase(it);
}

ports::commit_result table_state::commit(const ports::transaction& change)
{
    const std::scoped_lock lock(mutex_);
    ports::commit_result out;
    for (const auto& it : change.checks)
    {
        const auto current = version_of(it.key);
        if (current != it.version)
            out.conflicts.push_back({it.key, current});
    }
    if (!out.conflicts.empty())
    {
        ++statistics_.conflicts;
        out.state = commit_state::conflict;
        return out;
    }
    apply(change);
    ++statistics_.commits;
    out.state = commit_state::committed;
    out.revision = revision_;
    return out;
}

ports::row table_state::read(std::string_view key)
{
    const std::scoped_lock lock(mutex_);
    ++statistics_.reads;
    const auto it = rows_.find(key);
    if (it != rows_.end())
        return it->second;
    ports::row absent;
    absent.key = key;
    return absent;
}

ports::row_page table_state::scan(std::string_view prefix,
                                  std::string_view after, std::size_t limit)
{
    const std::scoped_lock lock(mutex_);
    ++statistics_.reads;
    ports::row_page out;
    auto it =
        after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; it != rows_.end() && it->first.starts_with(prefix); ++it)
    {
        if (out.rows.size() == limit)
        {
            out.next = out.rows.back().key;
            break;
        }
        out.rows.push_back(it->second);
    }
    return out;
}

table_statistics table_state::statistics() const
{
    const std::scoped_lock lock(mutex_);
    auto out = statistics_;
    out.rows = rows_.size();
    return out;
}

} // namespace mustardwick::testing
