#include "mustardwick/entry/job_rows.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

namespace
{

const std::string& table_of(dispatch::row_kind kind)
{
    using dispatch::row_kind;
    if (kind == row_kind::job)
        return job_table;
    return kind == row_kind::progress ? progress_table : queue_table;
}

} // namespace

void add_change(durable::transaction& out, dispatch::row_change change)
{
    durable::row_address address{table_of(change.kind), plan_partition,
                                 std::move(change.key)};
    if (change.value)
        out.writes.push_back({std::move(address), std::move(*change.value)});
    else
        out.removals.push_back(std::move(address));
}

bool stored_jobs::add(const durable::row& row)
{
    const std::string_view key = row.address.key;
    const auto separator = key.find(dispatch::block_separator);
    auto& it = jobs_[std::string(key.substr(0, separator))];
    it.version = std::max(it.version, row.version);
    if (row.address.table != job_table)
    {
        if (separator != std::string_view::npos)
        {
            it.blocks.emplace(key.substr(separator + 1), row.value);
            return true;
        }
        it.latest = dispatch::decode_progress_head(row.value);
        it.unreadable = it.unreadable || !it.latest;
        return it.latest.has_value();
    }
    if (const auto both = wire::decode<dispatch::job_row>(row.value))
    {
        it.specification = wire::decode<jobs::job>(both->specification);
        it.accepted = dispatch::decode_progress_head(both->progress);
    }
    const bool readable = it.specification && it.accepted;
    it.unreadable = it.unreadable || !readable;
    return readable;
}

stored_job stored_jobs::assemble(const std::string& id, parts from)
{
    stored_job out;
    out.specification = std::move(from.specification);
    auto head = from.latest ? std::move(from.latest) : std::move(from.accepted);
    // An older state would restart tasks that have ended since.
    if (from.unreadable)
        head.reset();
    const bool ended = head && is_final(head->record.state);
    if (ended && !out.specification)
    {
        out.specification.emplace();
        out.specification->id = id;
    }
    out.split = head && head->split;
    const bool complete =
        head &&
        (!out.split || (out.specification &&
                        dispatch::restore_blocks(
                            head->record, *out.specification, from.blocks)));
    if (complete)
        out.record = std::move(head->record);
    out.version = from.version;
    out.unreadable = from.unreadable || (head && !complete);
    out.blocks = std::move(from.blocks);
    if (!out.split)
        for (auto& [name, value] : out.blocks)
            value.clear();
    return out;
}

std::map<std::string, stored_job> stored_jobs::take()
{
    std::map<std::string, stored_job> out;
    for (auto& [id, it] : std::exchange(jobs_, {}))
        out.emplace(id, assemble(id, std::move(it)));
    return out;
}

} // namespace mustardwick::entry
