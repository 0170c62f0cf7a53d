#include <algorithm>
#include <iterator>
#include <utility>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/call_times.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Time that an order takes to reach a worker.
constexpr milliseconds order_latency{30};
/// A job ends with two rows: its progress is written, its specification is
/// removed.
constexpr std::size_t rows_of_a_small_change = 2;
/// How long a job whose rows were rejected is suspended.
constexpr milliseconds min_suspension{5000};
constexpr milliseconds max_suspension{60'000};

std::string block_key(const std::string& job, std::string_view block)
{
    return job + block_separator + std::string(block);
}

template <typename T>
void prepend(std::vector<T>& to, std::vector<T> from)
{
    std::move(to.begin(), to.end(), std::back_inserter(from));
    to = std::move(from);
}

} // namespace

unfinished_change planner::encode_change(job_run& job)
{
    const auto& id = job.specification.id;
    // A successor needs the sizes of runs that are still being stopped.
    const bool final = is_final(job.record.state) && job.runs == 0;
    unfinished_change out;
    auto& effects = out.effects.emplace();
    job.in_flight = true;
    effects.job = id;
    effects.state = job.record.state;
    effects.removed = job.removed;
    effects.specification_was_stored = job.specification_stored;
    effects.starts = std::exchange(job.starts, {});
    effects.ends = std::exchange(job.ends, {});
    effects.replies = std::exchange(job.replies, {});
    if (job.removed)
    {
        out.rows.push_back({row_kind::job, id, std::nullopt});
        out.rows.push_back({row_kind::progress, id, std::nullopt});
        for (const auto& [name, value] : std::exchange(job.stored_blocks, {}))
        {
            effects.blocks.push_back(name);
            out.rows.push_back(
                {row_kind::progress, block_key(id, name), std::nullopt});
        }
        return out;
    }
    std::string specification;
    if (!final && !job.specification_stored)
        specification = wire::encode(job.specification);
    job.split =
        job.split ||
        !fits_in_one_row(job.record, options_.max_row_bytes -
                                         std::min(options_.max_row_bytes,
                                                  specification.size()));
    auto progress = encode_progress(job.record, job.split && !final);
    // Until the head is written, a successor ignores blocks of occurrences
    // that it does not name; after that, blocks that it names exist.
    for (auto& [name, value] : progress.blocks)
    {
        auto& stored = job.stored_blocks[name];
        if (stored == value)
            continue;
        stored = value;
        effects.blocks.push_back(name);
        out.rows.push_back(
            {row_kind::progress, block_key(id, name), std::move(value)});
    }
    if (specification.empty() || job.durable)
        out.rows.push_back({row_kind::progress, id, progress.head});
    if (!specification.empty())
        out.rows.push_back({row_kind::job, id,
                            wire::encode(job_row{std::move(specification),
                                                 std::move(progress.head)})});
    // A successor loads only the specifications of open jobs.
    if (final && job.specification_stored)
        out.rows.push_back({row_kind::job, id, std::nullopt});
    std::erase_if(job.stored_blocks,
                  [&](const auto& it)
                  {
                      if (progress.blocks.contains(it.first))
                          return false;
                      effects.blocks.push_back(it.first);
                      out.rows.push_back({row_kind::progress,
                                          block_key(id, it.first),
                                          std::nullopt});
                      return true;
                  });
    job.specification_stored = !final;
    return out;
}

void planner::discard(std::vector<row_change> removals)
{
    if (removals.empty())
        return;
    auto& change = unfinished_.emplace_back();
    change.rows.assign(std::make_move_iterator(removals.begin()),
                       std::make_move_iterator(removals.end()));
}

std::vector<row_change> planner::next_commit(std::size_t max_rows,
                                             std::size_t max_bytes)
{
    std::vector<row_change> out;
    if (committing_)
        return out;
    // A job's rows refer to the row of its queue.
    if (queues_.has_changes())
        store_queues({});
    if (dirty_.empty() && unfinished_.empty())
        return out;
    std::vector<job_effects> batch;
    std::size_t bytes = 0;
    const auto take_unfinished = [&]
    {
        auto& change = unfinished_.front();
        change.started = true;
        while (!change.rows.empty() && out.size() < max_rows &&
               bytes < max_bytes)
        {
            bytes += change.rows.front().bytes();
            out.push_back(std::move(change.rows.front()));
            change.rows.pop_front();
        }
        if (!change.rows.empty())
            return;
        if (change.effects)
            batch.push_back(std::move(*change.effects));
        unfinished_.pop_front();
    };
    const auto has_room = [&]
    {
        return batch.size() < max_jobs_per_commit_ &&
               out.size() + rows_of_a_small_change <= max_rows &&
               bytes < max_bytes;
    };
    // Rows without effects have a transaction of their own, so that they are
    // not rejected because of a job.
    bool is_alone = false;
    while (!unfinished_.empty() && !is_alone && has_room())
    {
        is_alone = !unfinished_.front().effects;
        if (is_alone && !out.empty())
            break;
        take_unfinished();
    }
    while (unfinished_.empty() && !dirty_.empty() && !is_alone && has_room())
    {
        auto& job = jobs_.at(dirty_.front());
        is_alone = job.rejected_until.has_value();
        if (is_alone && !out.empty())
            break;
        dirty_.pop_front();
        job.dirty = false;
        unfinished_.push_back(encode_change(job));
        take_unfinished();
    }
    committing_ = std::move(batch);
    return out;
}

void planner::commit_done(std::int64_t version)
{
    stored_version_ = std::max(stored_version_, version);
    const auto batch = std::move(*committing_);
    committing_.reset();
    max_jobs_per_commit_ = std::min(max_jobs_per_commit_ * 2, max_commit_jobs);
    std::vector<start_order> starts;
    for (const auto& effects : batch)
    {
        for (const auto& it : effects.ends)
        {
            const auto host = hosts_.find(it.worker);
            if (host != hosts_.end() && host->second.incarnation_start_ms ==
                                            it.worker_incarnation_start_ms)
                host->second.uncommitted_ends.erase(it.number);
        }
        if (auto* job = find_job(effects.job))
        {
            job->reported_state = effects.state;
            job->durable = true;
            job->in_flight = false;
            if (std::exchange(job->rejected_until, {}))
                log_event(log_level::info, "planner", "job_resumed",
                          {{"job", effects.job}});
        }
        if (effects.removed)
            erase_job(effects.job);
        std::copy(effects.starts.begin(), effects.starts.end(),
                  std::back_inserter(starts));
    }
    release_starts(std::move(starts));
    for (const auto& effects : batch)
        for (const auto& reply : effects.replies)
            reply.done();
}

void planner::commit_rejected()
{
    auto batch = std::move(*committing_);
    committing_.reset();
    if (!unfinished_.empty() && unfinished_.front().started)
    {
        if (unfinished_.front().effects)
            batch.push_back(std::move(*unfinished_.front().effects));
        unfinished_.pop_front();
    }
    metrics_.add("mustardwick_rejected_transactions_total");
    log_event(log_level::error, "planner", "transaction_rejected",
              {{"jobs", batch.size()}});
    // Only rows of queues; the next sweep sends them again.
    queue_rows_rejected_ = queue_rows_rejected_ || batch.empty();
    if (batch.empty())
        return;
    if (batch.size() == 1)
        return isolate(std::move(batch.front()));
    max_jobs_per_commit_ = std::max<std::size_t>(1, batch.size() / 2);
    std::for_each(batch.rbegin(), batch.rend(),
                  [this](auto& it)
                  {
                      restore_effects(std::move(it));
                  });
}

void planner::restore_effects(job_effects effects)
{
    auto* job = find_job(effects.job);
    if (job == nullptr)
        return;
    job->specification_stored = effects.specification_was_stored;
    job->in_flight = false;
    for (const auto& it : effects.blocks)
        job->stored_blocks[it].clear();
    prepend(job->starts, std::move(effects.starts));
    prepend(job->ends, std::move(effects.ends));
    prepend(job->replies, std::move(effects.replies));
    if (std::exchange(job->dirty, true))
        std::erase(dirty_, effects.job);
    dirty_.push_front(effects.job);
}

void planner::isolate(job_effects effects)
{
    const auto id = effects.job;
    restore_effects(std::move(effects));
    auto* job = find_job(id);
    if (job == nullptr)
        return;
    if (!job->durable)
    {
        std::erase_if(unfinished_,
                      [&](const auto& it)
                      {
                          return it.effects && it.effects->job == id;
                      });
        return drop_unstored({id}, "the store rejects its rows");
    }
    job->rejection_backoff =
        std::clamp(job->rejection_backoff * 2, min_suspension, max_suspension);
    job->rejected_until = clock_.now() + job->rejection_backoff;
    std::erase(dirty_, id);
    suspended_.insert(id);
    for (const auto& it : std::exchange(job->starts, {}))
        if (const auto host = hosts_.find(it.worker); host != hosts_.end())
            run_lost(host->second, {it.task, it.run},
                     "the assignment cannot be stored");
    metrics_.add("mustardwick_suspended_jobs_total");
    log_event(log_level::error, "planner", "job_suspended",
              {{"job", id},
               {"retry_ms", std::int64_t(job->rejection_backoff.count())}});
}

void planner::resume_suspended_jobs()
{
    const auto now = clock_.now();
    std::erase_if(suspended_,
                  [&](const std::string& id)
                  {
                      const auto& job = jobs_.at(id);
                      const bool due = job.rejected_until <= now;
                      if (due)
                          dirty_.push_back(id);
                      return due;
                  });
}

void planner::release_starts(std::vector<start_order> starts)
{
    for (auto& order : starts)
    {
        const auto found = hosts_.find(order.worker);
        if (found == hosts_.end())
            continue;
        auto& host = found->second;
        const auto it = host.runs.find({order.task, order.run});
        if (it == host.runs.end() || it->second.phase != run_phase::recording)
            continue;
        auto* job = find_job(order.task.job);
        const auto* queue = job == nullptr ? nullptr : context_of(*job).queue;
        // The host or the ticket may have become invalid since the host was
        // chosen; a new incarnation may have another capacity and other labels.
        const bool is_valid =
            queue != nullptr &&
            order.worker_incarnation_start_ms == host.incarnation_start_ms &&
            (order.uses_suspect_host ? is_in_service(host, queue->service)
                                     : is_usable(host, queue->service));
        if (!is_valid || order.ticket_expires < clock_.now() + order_latency)
        {
            run_lost(host, it->first, "host or ticket is no longer valid");
            continue;
        }
        order.deadline_ms =
            estimated_clock(host) + options_.start_validity.count();
        it->second.phase = run_phase::ordered;
        it->second.ordered = clock_.now();
        it->second.order_expiry_ms = order.deadline_ms;
        const auto delivered =
            clock_.now() + order_timeout + options_.max_delivery_delay;
        host.calls_until = std::max(host.calls_until, delivered);
        if (order.ticket.empty())
            it->second.outstanding_until = delivered;
        host.lease_bound =
            std::max(host.lease_bound,
                     clock_.now() + lease_life(options_.start_validity));
        outbox_.starts.push_back(std::move(order));
    }
}

} // namespace mustardwick::dispatch
