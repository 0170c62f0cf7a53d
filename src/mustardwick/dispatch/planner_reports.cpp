#include <vector>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Time after which a stop order that has had no effect is sent again.
constexpr milliseconds stop_resend_interval{500};
/// Maximum number of ends in a report. A full report may omit further ends, so
/// a run that it does not list may be among those.
constexpr std::size_t ends_per_page = 500;

} // namespace

void planner::worker_listed(const jobs::worker_info& info)
{
    auto& host = host_of(info.id);
    const bool changed = !host.listed || !(host.info == info);
    host.listed = true;
    if (!changed)
        return;
    if (host.info.draining != info.draining || host.info.id.empty())
        log_event(log_level::info, "planner", "worker_listed",
                  {{"worker", info.id},
                   {"failure_domain", info.failure_domain},
                   {"draining", int(info.draining)},
                   {"incarnation_start_ms", info.incarnation_start_ms}});
    host.info = info;
    apply_saved_speed(host);
    placement_due_ = true;
}

void planner::worker_unlisted(const std::string& id)
{
    const auto it = hosts_.find(id);
    if (it == hosts_.end() || !it->second.listed)
        return;
    it->second.listed = false;
    log_event(log_level::info, "planner", "worker_unlisted",
              {{"worker", id}, {"runs", it->second.runs.size()}});
}

void planner::worker_unresponsive(const std::string& id)
{
    const auto it = hosts_.find(id);
    if (it == hosts_.end() || !it->second.reachable)
        return;
    it->second.reachable = false;
    log_event(log_level::warning, "planner", "worker_unresponsive",
              {{"worker", id}, {"runs", it->second.runs.size()}});
}

void planner::worker_reported(const std::string& id,
                              const jobs::worker_report& report,
                              time_point asked)
{
    const auto found = hosts_.find(id);
    if (found == hosts_.end())
        return;
    auto& host = found->second;
    if (!host.reachable || !host.adopted)
        placement_due_ = true;
    if (host.incarnation_start_ms != report.incarnation_start_ms)
    {
        log_event(
            log_level::info, "planner", "worker_restarted",
            {{"worker", id},
             {"incarnation_start_ms", report.incarnation_start_ms},
             {"previous_incarnation_start_ms", host.incarnation_start_ms}});
        begin_incarnation(host, report);
    }
    host.reachable = true;
    host.adopted = true;
    host.reported = clock_.now();
    report_outlived_leases(host, report);
    if (!host.lease_is_stored)
    {
        host.stored_lease_end_ms.reset();
        host.stored_calls_end_ms.reset();
    }
    update_clock(host, report.clock_ms);
    for (const auto& it : report.ended)
        if (it.number > host.last_applied_end)
            apply_end(host, it);
    reconcile_with_report(host, report);
    if (report.ended.size() < ends_per_page)
        host.listed_all = asked;
    protect_targets(host);
}

void planner::report_outlived_leases(host_state& host,
                                     const jobs::worker_report& report)
{
    if (host.given_up.empty())
        return;
    const auto check =
        [&](const jobs::task_key& task, int run, std::string_view state)
    {
        const auto it = host.given_up.find({task, run});
        if (it == host.given_up.end())
            return;
        metrics_.add("mustardwick_runs_listed_after_lease_total");
        log_event(log_level::warning, "planner", "run_listed_after_lease",
                  {{"task", to_string(task)},
                   {"run", run},
                   {"worker", host.info.id},
                   {"incarnation_start_ms", host.incarnation_start_ms},
                   {"given_up_ms_ago", milliseconds_since(it->second)},
                   {"state", state}});
    };
    for (const auto& it : report.running)
        check(it.task, it.run, "running");
    for (const auto& it : report.ended)
        check(it.task, it.run, "ended");
    host.given_up.clear();
}

bool planner::may_adopt(const host_state& host, const jobs::running_run& listed)
{
    const auto* record = find_task(listed.task);
    return record != nullptr && record->run == listed.run &&
           record->state == jobs::task_state::waiting &&
           outstanding_order_on(host, listed.task) != nullptr &&
           !find_job(listed.task.job)
                ->specification.steps[std::size_t(listed.task.step)]
                .is_gang;
}

void planner::reconcile_listed_run(host_state& host,
                                   const jobs::running_run& listed)
{
    const run_key key{listed.task, listed.run};
    auto it = host.runs.find(key);
    if (it == host.runs.end())
    {
        auto* job = find_job(listed.task.job);
        const bool known =
            job != nullptr && listed.task.step >= 0 &&
            std::size_t(listed.task.step) < job->specification.steps.size();
        if (!known)
        {
            outbox_.stops.push_back({host.info.id, listed.task, listed.run,
                                     host.incarnation_start_ms});
            return;
        }
        add_run(host, *job, listed.task, listed.run, run_phase::started);
        it = host.runs.find(key);
        auto* record = find_task(listed.task);
        if (may_adopt(host, listed))
        {
            record->state = jobs::task_state::assigned;
            record->worker = host.info.id;
            record->worker_incarnation_start_ms = host.incarnation_start_ms;
            mark_dirty(*job);
        }
        const bool current = record != nullptr && record->run == listed.run &&
                             record->state == jobs::task_state::assigned &&
                             record->worker == host.info.id;
        if (!current)
        {
            stop_run(host, it->second);
            // The task does not start again until this run has ended.
            if (record != nullptr && record->state == jobs::task_state::waiting)
                add_outstanding_order(*find_step(listed.task),
                                      listed.task.index,
                                      {host.info.id, {}, stored_version_ + 1});
        }
    }
    auto& run = it->second;
    // The task does not start again while the run is being stopped.
    if (run.phase != run_phase::stopping)
        order_took_effect(host, listed.task, listed.run);
    run.confirmed = true;
    run.outstanding_until.reset();
    run.listed_in = host.report;
    run.tail_ms = run.is_latency_sensitive() ? listed.load : 0;
    sample_tail(host, run);
    if (!listed.checkpoint.empty())
        run.checkpoint = listed.checkpoint;
    const bool ran_well = run.phase == run_phase::started && run.long_running &&
                          clock_.now() - run.started > healthy_run_time;
    // A long-running task has no end that would show that its host works.
    if (ran_well && run.started >= host.quarantined_until)
        failures_.record_success(host.index);
    if (run.phase == run_phase::ordered || run.phase == run_phase::inherited)
    {
        run.phase = run_phase::started;
        run.started = clock_.now();
        mark_started(listed.task.job);
    }
    repeat_stop(host, run);
}

void planner::repeat_stop(host_state& host, running& it)
{
    if (it.phase == run_phase::stopping &&
        clock_.now() - it.stop_sent > stop_resend_interval)
        stop_run(host, it);
}

bool planner::is_terminated(const running& it, std::int64_t clock_ms) const
{
    const bool order_expired =
        it.order_expiry_ms != 0 && clock_ms > it.order_expiry_ms;
    switch (it.phase)
    {
    case run_phase::recording:
        return false;
    case run_phase::inherited:
        // The worker ignores orders of the former leader once it has answered
        // this one.
        return true;
    case run_phase::ordered:
        return order_expired;
    case run_phase::started:
        return clock_ms > it.started_clock_ms;
    case run_phase::stopping:
        // The capacity of a confirmed run is free once the worker lists the
        // end. A run that was never confirmed cannot start any more if its
        // order has expired, was stopped, or came from a former leader.
        return !it.confirmed &&
               (it.order_expiry_ms == 0 || order_expired ||
                (it.stopped_clock_ms != 0 && clock_ms > it.stopped_clock_ms));
    }
    return false;
}

void planner::reconcile_with_report(host_state& host,
                                    const jobs::worker_report& report)
{
    ++host.report;
    for (const auto& it : report.running)
        reconcile_listed_run(host, it);
    if (report.ended.size() >= ends_per_page)
        return;
    std::vector<run_key> terminated;
    for (auto& [key, it] : host.runs)
    {
        if (it.listed_in == host.report)
            continue;
        if (is_terminated(it, report.clock_ms))
            terminated.push_back(key);
        else if (!it.confirmed)
            // Only an accepted stop order shows that the run will not start.
            repeat_stop(host, it);
    }
    for (const auto& key : terminated)
        run_lost(host, key, "missing from the worker's report");
}

} // namespace mustardwick::dispatch
