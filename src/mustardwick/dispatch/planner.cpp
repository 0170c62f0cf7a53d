#include "mustardwick/dispatch/planner.hpp"

#include <algorithm>

#include "mustardwick/base/log.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using base::wall_ms;
using std::chrono::milliseconds;

/// Interval between sweeps for jobs whose retention has ended.
constexpr milliseconds retention_sweep_interval{5000};
/// A timed job whose occurrences are due faster than they end has at most this
/// many of them, and of their tasks, open at a time; the others are opened when
/// these end.
constexpr std::size_t max_open_occurrences = 500;
constexpr std::size_t max_open_tasks = 4096;

} // namespace

planner::planner(const base::clock& time, planner_options options,
                 base::metrics& metrics)
    : clock_(time), options_(options), metrics_(metrics), created_(time.now()),
      next_sweep_(time.now() + retention_sweep_interval)
{
    // This clock may be 2 % fast.
    options_.max_delivery_delay = options_.max_delivery_delay * 100 / 98;
}

void planner::set_configuration(jobs::configuration value)
{
    configuration_ = std::move(value);
    follow_configuration();
    placement_due_ = true;
}

void planner::set_evacuated(std::set<std::string, std::less<>> failure_domains)
{
    evacuated_ = std::move(failure_domains);
    placement_due_ = true;
}

host_state& planner::host_of(const std::string& id)
{
    const auto [it, added] = hosts_.try_emplace(id);
    if (added)
    {
        it->second.index = host_at_.size();
        host_at_.push_back(&it->second);
    }
    return it->second;
}

job_run* planner::find_job(const std::string& id)
{
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

job_run* planner::find_job(const std::string& id, std::uint64_t number)
{
    auto* job = find_job(id);
    return job != nullptr && job->number == number ? job : nullptr;
}

void planner::mark_dirty(job_run& job)
{
    job.remaining_chain_ms = -1;
    if (job.dirty)
        return;
    job.dirty = true;
    dirty_.push_back(job.specification.id);
}

account_usage& planner::usage_of(const std::string& account)
{
    return accounts_[account];
}

void planner::open_occurrence(job_run& job, std::int64_t number)
{
    jobs::occurrence_record record;
    record.number = number;
    for (const auto& it : job.specification.steps)
        record.tasks.emplace_back(static_cast<std::size_t>(it.tasks));
    job.record.open.push_back(std::move(record));
    job.steps.emplace_back(job.specification.steps.size());
    job.record.occurrences_opened = number + 1;
}

bool planner::may_open_occurrence(const job_run& job)
{
    const auto& open = job.record.open;
    std::size_t tasks_each = 0;
    for (const auto& it : job.specification.steps)
        tasks_each += std::size_t(it.tasks);
    return open.empty() || (open.size() < max_open_occurrences &&
                            (open.size() + 1) * tasks_each <= max_open_tasks);
}

void planner::open_due_occurrences(job_run& job)
{
    const auto& spec = job.specification;
    if (spec.occurrences == 0)
        return;
    const auto now = wall_ms(clock_) + options_.early_start.count();
    auto next = job.record.occurrences_opened;
    const auto is_due = [&]
    {
        return next < spec.occurrences &&
               spec.first_due_ms + next * spec.interval_ms <= now;
    };
    while (is_due() && may_open_occurrence(job))
    {
        open_occurrence(job, next++);
        mark_dirty(job);
        placement_due_ = true;
    }
    if (is_due() && !std::exchange(job.is_behind, true))
        log_event(log_level::warning, "planner", "job_behind",
                  {{"job", spec.id},
                   {"open_occurrences", job.record.open.size()},
                   {"next_occurrence", next}});
}

void planner::submit(jobs::job specification, accepted done, refused on_refused)
{
    const auto id = specification.id;
    if (auto* known = find_job(id))
    {
        if (jobs::is_withdrawn(known->record))
            return on_refused();
        // A known id refers to the same job, also when its caller retries.
        if (known->durable)
            return done();
        known->replies.push_back({std::move(done), std::move(on_refused)});
        return mark_dirty(*known);
    }
    auto& job = jobs_[id];
    job.specification = std::move(specification);
    job.number = ++next_number_;
    job.arrived = clock_.now();
    const auto account =
        configuration_.accounts.find(job.specification.account);
    if (account != configuration_.accounts.end())
        job.specification.over_share =
            !usage_of(account->first)
                 .share.take(job.arrived, account->second.weight);
    job.replies.push_back({std::move(done), std::move(on_refused)});
    active_[job.number] = &job;
    queues_.use(job.specification.queue);
    if (job.specification.occurrences == 0)
        open_occurrence(job, 0);
    else
        open_due_occurrences(job);
    mark_dirty(job);
    placement_due_ = true;
    metrics_.add("mustardwick_jobs_submitted_total");
}

void planner::restore(jobs::job specification, jobs::job_record record,
                      bool split,
                      std::map<std::string, std::string, std::less<>> blocks,
                      std::int64_t version)
{
    const auto id = specification.id;
    auto& job = jobs_[id];
    job.specification = std::move(specification);
    job.record = std::move(record);
    job.number = ++next_number_;
    stored_version_ = std::max(stored_version_, version);
    const auto age = milliseconds(std::max<std::int64_t>(
        0, wall_ms(clock_) - job.specification.arrived_ms));
    job.arrived = clock_.now() - age;
    job.reported_state = job.record.state;
    job.specification_stored = true;
    job.durable = true;
    job.split = split;
    job.stored_blocks = std::move(blocks);
    for (std::size_t it = 0; it < job.record.open.size(); ++it)
        job.steps.emplace_back(job.specification.steps.size());
    count_withdrawn(job, 1);
    if (is_final(job.record.state))
        return;
    active_[job.number] = &job;
    for (std::size_t at = 0; at < job.record.open.size(); ++at)
        for (std::size_t step = 0; step < job.steps[at].size(); ++step)
        {
            auto& tasks = job.record.open[at].tasks[step];
            restore_failed_runs(job.specification.steps[step], tasks);
            for (std::size_t index = 0; index < tasks.size(); ++index)
                restore_task(job, at, int(step), int(index), version);
        }
    placement_due_ = true;
}

void planner::restore_failed_runs(const jobs::step& step,
                                  std::span<jobs::task_record> tasks)
{
    const auto last_ended = [](const jobs::task_record& it)
    {
        return it.state == jobs::task_state::assigned ? it.run - 1 : it.run;
    };
    if (!step.is_gang)
    {
        for (auto& it : tasks)
            jobs::assume_failed_runs(it, last_ended(it));
        return;
    }
    std::int32_t last = 0;
    for (const auto& it : tasks)
        last = std::max(last, last_ended(it));
    if (!tasks.empty())
        jobs::assume_failed_runs(tasks.front(), last);
}

void planner::restore_task(job_run& job, std::size_t position, int step,
                           int index, std::int64_t version)
{
    const auto& open = job.record.open[position];
    const auto& task = open.tasks[std::size_t(step)][std::size_t(index)];
    const bool is_assigned = task.state == jobs::task_state::assigned;
    job.has_started = job.has_started || task.failures > 0 ||
                      task.state == jobs::task_state::done;
    // A waiting task names the worker of an outstanding order.
    if (task.worker.empty() || task.state == jobs::task_state::done)
        return;
    auto& host = host_of(task.worker);
    host.info.id = task.worker;
    // Rows may still name a former incarnation of the worker.
    host.incarnation_start_ms =
        std::max(host.incarnation_start_ms, task.worker_incarnation_start_ms);
    // A lease that the former leader renewed may last this long, since a
    // worker's clock may be 2 % slow.
    const auto authority_end = created_ + options_.former_leader_authority;
    host.lease_bound =
        authority_end + options_.max_lease * 100 / 98 + milliseconds(300);
    if (is_assigned)
        add_run(host, job, {job.specification.id, open.number, step, index},
                task.run, run_phase::inherited);
    host.calls_until = authority_end + options_.max_delivery_delay;
    add_outstanding_order(job.steps[position][std::size_t(step)], index,
                          {task.worker, host.calls_until, version, true});
}

std::size_t planner::reject_unsent_jobs()
{
    std::vector<std::string> ids;
    for (const auto& id : dirty_)
    {
        const auto& job = jobs_.at(id);
        if (!job.durable && !job.in_flight)
            ids.push_back(id);
    }
    drop_unstored(ids, "the store is unavailable");
    return ids.size();
}

void planner::erase_job(const std::string& id)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return;
    count_withdrawn(it->second, -1);
    jobs_.erase(it);
}

void planner::drop_unstored(const std::vector<std::string>& ids,
                            std::string_view reason)
{
    std::vector<pending_reply> replies;
    for (const auto& id : ids)
    {
        auto& job = jobs_.at(id);
        // No order was sent yet: starts wait for the transaction.
        for (const auto& open : job.record.open)
            for (std::size_t step = 0; step < open.tasks.size(); ++step)
                stop_step_runs(job, open.number, int(step));
        std::move(job.replies.begin(), job.replies.end(),
                  std::back_inserter(replies));
        active_.erase(job.number);
        erase_job(id);
        log_event(log_level::warning, "planner", "job_dropped",
                  {{"job", id}, {"reason", reason}});
    }
    std::erase_if(dirty_,
                  [&](const std::string& id)
                  {
                      return !jobs_.contains(id);
                  });
    for (const auto& it : replies)
        it.refused();
}

std::optional<jobs::job_state> planner::state_of(const std::string& id) const
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || jobs::is_withdrawn(it->second.record))
        return std::nullopt;
    return it->second.reported_state;
}

std::size_t planner::waiting_jobs(std::string_view queue) const
{
    std::size_t n = 0;
    for (const auto& [number, job] : active_)
    {
        const auto& key = job->specification.queue;
        const auto* known = queues_.find(key);
        const bool matches =
            key == queue || (known != nullptr && known->terms.name == queue);
        if (matches && !job->has_started)
            ++n;
    }
    return n;
}

void planner::finish_job(job_run& job, jobs::job_state state)
{
    job.record.state = state;
    job.record.ended_ms = wall_ms(clock_);
    active_.erase(job.number);
    for (const auto& open : job.record.open)
        for (std::size_t step = 0; step < open.tasks.size(); ++step)
            stop_step_runs(job, open.number, int(step));
    job.record.open.clear();
    job.steps.clear();
    failures_.job_ended(job.specification.id, state == jobs::job_state::failed);
    mark_dirty(job);
    placement_due_ = true;
    if (state == jobs::job_state::cancelled)
        return;
    const auto took = std::chrono::duration<double>(clock_.now() - job.arrived);
    metrics_.observe("mustardwick_job_seconds", took.count());
    log_event(log_level::info, "planner",
              state == jobs::job_state::failed ? "job_failed" : "job_completed",
              {{"job", job.specification.id},
               {"queue", job.specification.queue},
               {"after_ms", std::int64_t(took.count() * 1000)}});
}

void planner::close_occurrence(job_run& job, std::size_t position)
{
    auto& open = job.record.open;
    const auto at = static_cast<std::ptrdiff_t>(position);
    open.erase(open.begin() + at);
    job.steps.erase(job.steps.begin() + at);
    const auto total = std::max<std::int64_t>(1, job.specification.occurrences);
    if (open.empty() && job.record.occurrences_opened >= total)
        finish_job(job, jobs::job_state::completed);
}

void planner::task_done(job_run& job, const jobs::task_key& task)
{
    auto& open = job.record.open;
    const auto it = std::find_if(open.begin(), open.end(),
                                 [&](const auto& candidate)
                                 {
                                     return candidate.number == task.occurrence;
                                 });
    if (it == open.end())
        return;
    auto& tasks = it->tasks[std::size_t(task.step)];
    if (job.specification.steps[std::size_t(task.step)].is_gang)
        for (auto& member : tasks)
            member.state = jobs::task_state::done;
    tasks[std::size_t(task.index)].state = jobs::task_state::done;
    mark_dirty(job);
    placement_due_ = true;
    if (std::all_of(it->tasks.begin(), it->tasks.end(), jobs::is_step_done))
        close_occurrence(job, std::size_t(it - open.begin()));
}

void planner::drop_expired_jobs()
{
    const auto now = clock_.now();
    if (now < next_sweep_)
        return;
    next_sweep_ = now + retention_sweep_interval;
    drop_unused_queues();
    const auto oldest = wall_ms(clock_) - options_.retention.count();
    for (auto& [id, job] : jobs_)
        if (is_final(job.record.state) && job.record.ended_ms < oldest &&
            !job.dirty && !job.removed)
        {
            job.removed = true;
            mark_dirty(job);
        }
    std::erase_if(hosts_,
                  [&](const auto& entry)
                  {
                      const auto& host = entry.second;
                      const bool removed =
                          !host.listed && host.runs.empty() &&
                          host.lease_bound < now && !host.lease_is_stored &&
                          host.calls_until + longest_lease() < now;
                      if (removed)
                      {
                          host_at_[host.index] = nullptr;
                          failures_.forget(host.index);
                      }
                      return removed;
                  });
}

orders planner::take_orders(advice_capacity advice)
{
    advice_ = advice;
    handle_expired_leases();
    drop_expired_jobs();
    resume_suspended_jobs();
    const auto now = clock_.now();
    if ((placement_due_ && now >= earliest_placement_) ||
        now >= latest_placement_)
    {
        // Tickets and quarantines expire, and due times pass, without an event.
        constexpr milliseconds idle_placement_interval{100};
        placement_due_ = false;
        place_waiting_steps();
        // Rounds take at most a fifth of the time, regardless of the backlog.
        constexpr int round_share = 5;
        constexpr milliseconds min_interval{6};
        const auto ended = clock_.now();
        earliest_placement_ =
            ended + std::max<std::chrono::steady_clock::duration>(
                        min_interval, (ended - now) * (round_share - 1));
        latest_placement_ =
            std::max(earliest_placement_, ended + idle_placement_interval);
    }
    return std::exchange(outbox_, {});
}

std::int64_t planner::acknowledged_end(const std::string& id) const
{
    const auto it = hosts_.find(id);
    if (it == hosts_.end())
        return 0;
    const auto& host = it->second;
    return host.uncommitted_ends.empty() ? host.last_applied_end
                                         : *host.uncommitted_ends.begin() - 1;
}

bool planner::has_uncommitted_ends(const std::string& id) const
{
    const auto it = hosts_.find(id);
    return it != hosts_.end() && !it->second.uncommitted_ends.empty();
}

} // namespace mustardwick::dispatch
