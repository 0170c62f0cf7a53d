#include "mustardwick/entry/job_rows.hpp"

#include <utility>

#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

void add_change(durable::transaction& out, dispatch::row_change change)
{
    durable::row_address job{job_table, plan_partition, change.job};
    durable::row_address progress{progress_table, plan_partition, change.job};
    if (change.progress.empty())
    {
        out.removals.push_back(std::move(job));
        out.removals.push_back(std::move(progress));
        return;
    }
    if (!change.specification.empty())
    {
        const job_row row{std::move(change.specification),
                          std::move(change.progress)};
        out.writes.push_back({std::move(job), wire::encode(row)});
        return;
    }
    if (change.drop_specification)
        out.removals.push_back(std::move(job));
    out.writes.push_back({std::move(progress), std::move(change.progress)});
}

bool stored_jobs::add(const durable::row& row)
{
    auto& it = jobs_[row.address.key];
    if (row.address.table != job_table)
    {
        it.latest = wire::decode<jobs::job_record>(row.value);
        it.unreadable = it.unreadable || !it.latest;
        return it.latest.has_value();
    }
    if (const auto both = wire::decode<job_row>(row.value))
    {
        it.specification = wire::decode<jobs::job>(both->specification);
        it.accepted = wire::decode<jobs::job_record>(both->progress);
    }
    const bool readable = it.specification && it.accepted;
    it.unreadable = it.unreadable || !readable;
    return readable;
}

std::map<std::string, stored_job> stored_jobs::take()
{
    std::map<std::string, stored_job> out;
    for (auto& [id, it] : std::exchange(jobs_, {}))
    {
        stored_job job{std::move(it.specification),
                       it.latest ? std::move(it.latest)
                                 : std::move(it.accepted)};
        // An older state would restart tasks that have ended since.
        if (it.unreadable)
            job.record.reset();
        const bool ended = job.record && is_final(job.record->state);
        if (ended && !job.specification)
        {
            job.specification.emplace();
            job.specification->id = id;
        }
        out.emplace(id, std::move(job));
    }
    return out;
}

} // namespace mustardwick::entry
