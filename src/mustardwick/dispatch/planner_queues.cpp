#include <utility>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;

row_change row_of(const accepted_queues& queues, const std::string& key)
{
    row_change out{row_kind::queue, key, std::nullopt};
    const auto* it = queues.find(key);
    if (it != nullptr && it->has_row)
        out.value = wire::encode(it->terms);
    return out;
}

} // namespace

void planner::restore_queues(const std::map<std::string, jobs::queue>& stored)
{
    queues_.restore(stored);
    queues_restored_ = true;
    follow_configuration();
}

void planner::follow_configuration()
{
    ++configuration_serial_;
    // Before the first configuration nothing is known about any queue.
    if (configuration_.version == 0)
        return;
    store_queues(queues_.configure(configuration_));
    std::map<std::string_view, std::size_t> unrouted;
    for (const auto& [number, job] : active_)
    {
        queues_.use(job->specification.queue);
        const auto* queue = queues_.find(job->specification.queue);
        if (queue != nullptr && !queue->is_configured)
            ++unrouted[queue->terms.name];
    }
    for (const auto& [name, n] : unrouted)
        log_event(log_level::warning, "planner", "queue_not_configured",
                  {{"queue", name},
                   {"open_jobs", n},
                   {"configuration", configuration_.version}});
}

void planner::store_queues(const accepted_queues::renamed_keys& renamed)
{
    auto changed = queues_.take_changes();
    const auto append = [&](std::deque<row_change> rows)
    {
        if (queues_restored_ && !rows.empty())
            unfinished_.push_back({std::move(rows), std::nullopt, false});
    };
    std::deque<row_change> aliases;
    for (const auto& [former, alias] : renamed)
        if (changed.erase(alias) > 0)
            aliases.push_back(row_of(queues_, alias));
    append(std::move(aliases));
    for (auto& [number, job] : active_)
        for (const auto& [former, alias] : renamed)
        {
            if (job->specification.queue != former)
                continue;
            log_event(log_level::info, "planner", "job_queue_renamed",
                      {{"job", job->specification.id}, {"queue", alias}});
            job->specification.queue = alias;
            job->specification_stored = false;
            if (std::exchange(job->dirty, false))
                std::erase(dirty_, job->specification.id);
            unfinished_.push_back(encode_change(*job));
            break;
        }
    std::deque<row_change> others;
    for (const auto& key : changed)
        others.push_back(row_of(queues_, key));
    append(std::move(others));
}

void planner::drop_unused_queues()
{
    std::set<std::string, std::less<>> used;
    for (const auto& [number, job] : active_)
        used.insert(job->specification.queue);
    // Cached contexts may refer to a removed queue.
    if (queues_.retain(used))
        ++configuration_serial_;
    if (std::exchange(queue_rows_rejected_, false))
        queues_.mark_all_changed();
    store_queues({});
    std::erase_if(allowed_share_,
                  [&](const auto& it)
                  {
                      return !configuration_.queues.contains(it.first) &&
                             !used.contains(it.first);
                  });
}

} // namespace mustardwick::dispatch
