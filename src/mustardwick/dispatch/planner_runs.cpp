#include <algorithm>
#include <array>
#include <limits>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Unexplained failures after which a host is quarantined, and restricted to
/// one task at a time until one succeeds.
constexpr int failures_before_quarantine = 2;
constexpr milliseconds first_quarantine{2000};
constexpr int max_quarantine_doublings = 3;
/// How long a step avoids a worker on which one of its tasks failed, or that
/// rejected one of its orders.
constexpr milliseconds failed_worker_backoff{2000};

std::string_view name_of(jobs::run_outcome how)
{
    constexpr std::array<std::string_view, 6> names = {
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names.at(static_cast<std::size_t>(how));
}

} // namespace

jobs::task_record* planner::find_task(const jobs::task_key& task)
{
    auto* job = find_job(task.job);
    if (job == nullptr || task.step < 0 || task.index < 0)
        return nullptr;
    for (auto& it : job->record.open)
        if (it.number == task.occurrence)
        {
            const auto step = std::size_t(task.step);
            const auto index = std::size_t(task.index);
            if (step < it.tasks.size() && index < it.tasks[step].size())
                return &it.tasks[step][index];
        }
    return nullptr;
}

step_run* planner::find_step(const jobs::task_key& task)
{
    auto* job = find_job(task.job);
    if (job == nullptr)
        return nullptr;
    for (std::size_t it = 0; it < job->record.open.size(); ++it)
        if (job->record.open[it].number == task.occurrence)
            return &job->steps[it].at(std::size_t(task.step));
    return nullptr;
}

void planner::mark_started(const std::string& id)
{
    if (auto* job = find_job(id))
        job->has_started = true;
}

std::int64_t planner::estimated_clock(const host_state& host) const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(
        clock_.now() - host.clock_read);
    // A lower bound: a worker's clock may be 2 % slow.
    return host.clock_ms + passed.count() * 98 / 100;
}

void planner::update_clock(host_state& host, std::int64_t clock_ms)
{
    if (clock_ms <= host.clock_ms)
        return;
    host.clock_ms = clock_ms;
    host.clock_read = clock_.now();
}

void planner::add_run(host_state& host, const job_run& job,
                      const jobs::task_key& task, int run, run_phase phase)
{
    const auto& step = job.specification.steps.at(std::size_t(task.step));
    running it;
    it.task = task;
    it.run = run;
    it.size = charged_size(step);
    it.account = job.specification.account;
    it.target_ms = step.target_ms;
    it.uses_idle_cpu = step.uses_idle_cpu;
    it.long_running = step.long_running;
    it.kind = kind_id_of(job.specification, task.step);
    it.phase = phase;
    it.stored_in = stored_version_ + 1;
    if (!host.runs.emplace(run_key{task, run}, it).second)
        return;
    host.used += it.size;
    usage_of(it.account).used += step.size;
    if (auto* counted = find_job(task.job))
        ++counted->runs;
}

void planner::remove_run(host_state& host, const run_key& key)
{
    const auto it = host.runs.find(key);
    if (it == host.runs.end())
        return;
    keep_outstanding_order(host, it->second);
    host.used -= it->second.size;
    auto requested = it->second.size;
    auto* job = find_job(key.first.job);
    const auto step = std::size_t(key.first.step);
    if (job != nullptr && step < job->specification.steps.size())
        requested = job->specification.steps[step].size;
    // The specification of an ended job can be dropped once its last run is
    // removed.
    if (job != nullptr && --job->runs == 0 && is_final(job->record.state) &&
        job->specification_stored)
        mark_dirty(*job);
    usage_of(it->second.account).used -= requested;
    host.runs.erase(it);
    placement_due_ = true;
}

void planner::stop_run(host_state& host, running& it)
{
    it.phase = run_phase::stopping;
    it.stop_sent = clock_.now();
    outbox_.stops.push_back(
        {host.info.id, it.task, it.run, host.incarnation_start_ms});
    metrics_.add("mustardwick_stops_total");
}

void planner::stop_step_runs(const job_run& job, std::int64_t occurrence,
                             int step)
{
    if (job.runs == 0)
        return;
    const jobs::task_key first{job.specification.id, occurrence, step, 0};
    for (auto& [id, host] : hosts_)
    {
        auto it = host.runs.lower_bound({first, 0});
        while (it != host.runs.end() && it->first.first.job == first.job &&
               it->first.first.occurrence == occurrence &&
               it->first.first.step == step)
        {
            auto next = std::next(it);
            if (it->second.phase == run_phase::recording)
            {
                const auto key = it->first;
                remove_run(host, key);
                auto* record = find_task(key.first);
                if (record != nullptr && record->run == key.second)
                    set_waiting(key.first, *record);
            }
            else if (it->second.phase != run_phase::stopping)
                stop_run(host, it->second);
            it = next;
        }
    }
}

jobs::task_key planner::gang_record_of(jobs::task_key task)
{
    task.index = 0;
    return task;
}

void planner::keep_checkpoint(const jobs::task_key& task, int run,
                              const std::string& checkpoint, bool is_final)
{
    const auto* record = find_task(task);
    if (checkpoint.empty() || record == nullptr || record->run != run ||
        record->state != jobs::task_state::assigned)
        return;
    const auto& spec = find_job(task.job)->specification;
    const auto& step = spec.steps[std::size_t(task.step)];
    auto& newest = find_step(task)->checkpoint_run;
    if (step.is_gang && !is_final && newest == run)
        return;
    if (is_final)
        newest = run;
    find_task(step.is_gang ? gang_record_of(task) : task)->checkpoint =
        checkpoint;
}

void planner::set_waiting(const jobs::task_key& task, jobs::task_record& record)
{
    record.state = jobs::task_state::waiting;
    // A successor needs the worker of an outstanding order.
    if (!find_step(task)->outstanding.contains(task.index))
        record.worker.clear();
}

void planner::requeue(const jobs::task_key& task, int run)
{
    auto* record = find_task(task);
    if (record == nullptr || record->run != run ||
        record->state != jobs::task_state::assigned)
        return;
    set_waiting(task, *record);
    auto& job = *find_job(task.job);
    mark_dirty(job);
    placement_due_ = true;
    const auto& step = job.specification.steps[std::size_t(task.step)];
    // The remaining members cannot make progress without this one.
    if (step.is_gang)
        stop_step_runs(job, task.occurrence, task.step);
}

void planner::run_lost(host_state& host, const run_key& key,
                       std::string_view reason)
{
    const auto it = host.runs.find(key);
    if (it == host.runs.end())
        return;
    log_event(log_level::info, "planner", "run_lost",
              {{"task", to_string(key.first)},
               {"run", key.second},
               {"worker", host.info.id},
               {"reason", reason},
               {"order_outstanding",
                int(it->second.outstanding_until.has_value() ||
                    outstanding_order_on(host, key.first) != nullptr)}});
    const auto task = key.first;
    const auto run = key.second;
    const auto checkpoint = it->second.checkpoint;
    remove_run(host, {task, run});
    keep_checkpoint(task, run, checkpoint, false);
    requeue(task, run);
}

void planner::task_failed(job_run& job, const jobs::task_key& task, int run)
{
    const auto& step = job.specification.steps[std::size_t(task.step)];
    auto* record = find_task(failure_subject(job, task));
    if (step.long_running || record == nullptr ||
        !jobs::count_failure(*record, run))
        return;
    mark_dirty(job);
    const auto* queue = context_of(job).queue;
    const int attempts = queue == nullptr ? 0 : queue->attempts;
    log_event(log_level::info, "planner", "failure_counted",
              {{"task", to_string(task)},
               {"run", run},
               {"failures", record->failures},
               {"attempts", attempts}});
    if (queue != nullptr && record->failures >= attempts)
        finish_job(job, jobs::job_state::failed);
}

void planner::avoid_host(const jobs::task_key& task, const host_state& host)
{
    if (auto* step = find_step(task))
        step->failed_on[host.index] = clock_.now() + failed_worker_backoff;
}

bool planner::is_suspect(const host_state& host) const
{
    return !host.exempt_from_quarantine &&
           failures_.unexplained_failures(host.index) >=
               failures_before_quarantine;
}

jobs::task_key planner::failure_subject(const job_run& job,
                                        const jobs::task_key& task)
{
    const auto step = std::size_t(task.step);
    const bool is_gang = step < job.specification.steps.size() &&
                         job.specification.steps[step].is_gang;
    return is_gang ? gang_record_of(task) : task;
}

void planner::record_host_failure(host_state& host, const jobs::task_key& task,
                                  int run)
{
    failures_.record_failure(host.index, task, run);
    const int failures = failures_.unexplained_failures(host.index);
    if (failures < failures_before_quarantine)
        return;
    const int doublings = std::min(failures - failures_before_quarantine,
                                   max_quarantine_doublings);
    host.quarantined_until = clock_.now() + first_quarantine * (1 << doublings);
    log_event(log_level::warning, "planner", "host_quarantined",
              {{"worker", host.info.id},
               {"failures", failures},
               {"task", to_string(task)}});
}

void planner::limit_quarantines()
{
    if (!failures_.has_unexplained_failures())
        return;
    std::map<std::string_view, std::size_t> available;
    std::map<std::string_view, std::vector<host_state*>> suspects;
    for (auto& [id, host] : hosts_)
    {
        host.exempt_from_quarantine = false;
        if (!may_run_work(host))
            continue;
        ++available[host.info.service];
        if (is_suspect(host))
            suspects[host.info.service].push_back(&host);
    }
    for (auto& [service, found] : suspects)
    {
        const auto max = policy::max_quarantined(available[service]);
        if (found.size() <= max)
            continue;
        std::stable_sort(
            found.begin(), found.end(),
            [this](const auto* left, const auto* right)
            {
                return failures_.unexplained_failures(left->index) >
                       failures_.unexplained_failures(right->index);
            });
        for (auto it = max; it < found.size(); ++it)
            found[it]->exempt_from_quarantine = true;
    }
}

void planner::apply_end(host_state& host, const jobs::ended_run& end)
{
    host.last_applied_end = end.number;
    const auto run = host.runs.find({end.task, end.run});
    const bool ran_well = run != host.runs.end() && run->second.long_running &&
                          run->second.phase == run_phase::started &&
                          clock_.now() - run->second.started > healthy_run_time;
    if (run != host.runs.end())
        run->second.outstanding_until.reset();
    if (run != host.runs.end() && end.outcome == jobs::run_outcome::done)
        record_run_time(host, run->second);
    remove_run(host, {end.task, end.run});
    const bool failed = end.outcome == jobs::run_outcome::failed;
    auto* job = find_job(end.task.job);
    if (failed && !ran_well && job != nullptr && !is_final(job->record.state))
        record_host_failure(host, failure_subject(*job, end.task), end.run);
    if (end.outcome == jobs::run_outcome::done)
        failures_.record_success(host.index);
    metrics_.add("mustardwick_runs_ended_" + std::string(name_of(end.outcome)) +
                 "_total");
    const auto* record = find_task(end.task);
    if (end.outcome != jobs::run_outcome::done)
        log_event(log_level::info, "planner", "run_ended",
                  {{"task", to_string(end.task)},
                   {"run", end.run},
                   {"worker", host.info.id},
                   {"how", name_of(end.outcome)}});
    if (job == nullptr || is_final(job->reported_state))
        return;
    // The worker discards an end once it is acknowledged. Until the job's state
    // is durable a successor may need the end, even if another end or a
    // cancellation has superseded it here.
    host.uncommitted_ends.insert(end.number);
    job->ends.push_back({host.info.id, host.incarnation_start_ms, end.number});
    mark_dirty(*job);
    if (record == nullptr || record->run < end.run ||
        record->state == jobs::task_state::done)
        return;
    if (failed)
    {
        // Also that of an earlier run, which was given up while its worker was
        // out of reach. It may end the job.
        task_failed(*job, end.task, end.run);
        record = find_task(end.task);
    }
    if (record == nullptr || record->run != end.run)
        return;
    order_took_effect(host, end.task, end.run);
    // A former leader may have committed the end and terminated before it
    // acknowledged it; only a success is applied again.
    if (record->state == jobs::task_state::waiting &&
        end.outcome != jobs::run_outcome::done)
        return;
    const auto& step = job->specification.steps[std::size_t(end.task.step)];
    if (end.outcome == jobs::run_outcome::done && !step.long_running)
        return task_done(*job, end.task);
    if (failed)
        avoid_host(end.task, host);
    keep_checkpoint(end.task, end.run, end.checkpoint, true);
    requeue(end.task, end.run);
}

void planner::begin_incarnation(host_state& host,
                                const jobs::worker_report& report)
{
    host.incarnation_start_ms = report.incarnation_start_ms;
    // Calls that were meant for the former incarnation may have reached this
    // one before it was asked for the report, with deadlines of another clock.
    host.lease_bound = std::max(host.lease_bound, longest_lease_from_now());
    // Calls that were sent before are not void.
    if (!report.is_verified)
        host.lease_bound =
            std::max(host.lease_bound, host.calls_until + longest_lease());
    host.stored_lease_end_ms.reset();
    host.stored_calls_end_ms.reset();
    std::set<run_key> listed;
    for (const auto& it : report.running)
        listed.insert({it.task, it.run});
    for (const auto& it : report.ended)
        listed.insert({it.task, it.run});
    for (auto& [key, it] : host.runs)
    {
        if (it.phase == run_phase::recording || listed.contains(key))
            continue;
        // The start order may reach the new incarnation after this report,
        // since its deadline refers to the clock of the former one. Once a stop
        // is accepted the run cannot start any more.
        it.confirmed = false;
        it.order_expiry_ms = std::numeric_limits<std::int64_t>::max();
        it.stopped_clock_ms = 0;
        stop_run(host, it);
    }
    host.uncommitted_ends.clear();
    host.last_applied_end = 0;
    host.clock_ms = 0;
    failures_.forget(host.index);
    speeds_.forget(host.index);
}

} // namespace mustardwick::dispatch
