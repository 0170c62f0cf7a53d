// Transitions of job_tracker that end tasks and jobs.

#include "mustardwick/coordination/job_tracker.hpp"

#include <algorithm>

namespace mustardwick::coordination
{

namespace
{

/// Failures of one task after which its job fails.
constexpr int max_task_failures = 3;
/// Unexplained failures on a host after which it is quarantined.
constexpr int quarantine_failures = 5;
constexpr base::milliseconds initial_quarantine{5'000};
constexpr base::milliseconds max_quarantine{300'000};
/// Ended jobs whose rows are kept so that callers can read the result.
constexpr std::size_t max_ended_jobs = 5000;

base::milliseconds quarantine_time(int failures)
{
    auto out = initial_quarantine;
    for (int n = quarantine_failures; n < failures; ++n)
        out = std::min(out * 2, max_quarantine);
    return out;
}

} // namespace

void job_tracker::remove_attempt(task& target)
{
    const auto placed = placed_per_host_.find(target.record.host);
    if (placed != placed_per_host_.end() && --placed->second == 0)
        placed_per_host_.erase(placed);
    changes_.recorded.push_back({target.record.attempt, target.record.host});
    attempts_.erase(target.record.attempt);
    target.record.attempt.clear();
    target.confirmed = false;
    target.stopping = false;
}

void job_tracker::end_task(task& target, const wire::attempt_report& report)
{
    auto& owner = jobs_.find(target.record.id.job)->second;
    const bool is_service =
        owner.record.specification.kind == policy::work_kind::service;
    record_event("task_ended", task_key(target.record.id),
                 target.record.host + " attempt " + report.attempt + ' ' +
                     report.detail);
    if (is_final(owner.record.state))
    {
        cell_.stop(target.record.id, true);
        remove_attempt(target);
        remove_if_idle(owner);
    }
    else if (report.event == wire::attempt_event::finished && !is_service)
        finish_task(target);
    else if (report.event == wire::attempt_event::failed)
        fail_task(target, report.detail);
    else
        requeue_task(target);
}

void job_tracker::finish_task(task& target)
{
    auto& owner = jobs_.find(target.record.id.job)->second;
    failures_.record_success(target.record.host);
    cell_.stop(target.record.id, true);
    remove_attempt(target);
    target.record.state = task_state::finished;
    put_task(target);
    ++owner.record.finished;
    if (owner.record.finished == owner.record.specification.tasks)
        end_job(owner, job_state::done, {});
}

void job_tracker::requeue_task(task& target)
{
    cell_.stop(target.record.id, false);
    remove_attempt(target);
    target.record.state = task_state::failed;
    target.record.host.clear();
    put_task(target);
}

bool job_tracker::is_suspect(const std::string& host) const
{
    return failures_.unexplained_failures(host) >= quarantine_failures;
}

bool job_tracker::is_quarantined(const std::string& host) const
{
    const auto it = hosts_.find(host);
    return it != hosts_.end() && is_suspect(host) &&
           clock_.now() < it->second.quarantined_until;
}

void job_tracker::record_host_failure(const std::string& host,
                                      const policy::task_id& task, int run)
{
    failures_.record_failure(host, task, run);
    const auto quarantined = std::count_if(hosts_.begin(), hosts_.end(),
                                           [this](const auto& it)
                                           {
                                               return is_quarantined(it.first);
                                           });
    const bool may_quarantine =
        is_quarantined(host) ||
        std::size_t(quarantined) < policy::max_quarantined(hosts_.size());
    if (!is_suspect(host) || !may_quarantine)
        return;
    const auto time = quarantine_time(failures_.unexplained_failures(host));
    hosts_[host].quarantined_until = clock_.now() + time;
    record_event("host_quarantined", host,
                 std::to_string(time.count()) + " ms");
}

void job_tracker::fail_task(task& target, const std::string& detail)
{
    const auto host = target.record.host;
    auto& owner = jobs_.find(target.record.id.job)->second;
    record_host_failure(host, target.record.id, ++target.failed_runs);
    // Failures on a host that fails every task are not counted against the job.
    if (!is_quarantined(host))
        ++target.record.failures;
    requeue_task(target);
    if (target.record.failures >= max_task_failures)
        end_job(owner, job_state::failed,
                "task " + std::to_string(target.record.id.index) + " failed " +
                    std::to_string(target.record.failures) +
                    " times: " + detail);
}

void job_tracker::end_job(job& target, job_state state,
                          const std::string& reason)
{
    target.record.state = state;
    target.record.reason = reason;
    failures_.job_ended(target.record.specification.id,
                        state == job_state::failed);
    put_job(target);
    record_event("job_" + std::string(name_of(state)),
                 target.record.specification.id, reason);
    for (auto& it : target.tasks)
    {
        if (!it.record.attempt.empty())
            order_stop(it);
        else if (it.record.state != task_state::finished)
            cell_.finish_pending(it.record.id);
    }
    remove_if_idle(target);
}

/// Removes an ended job once none of its tasks can still be running.
void job_tracker::remove_if_idle(job& target)
{
    const bool busy = std::any_of(target.tasks.begin(), target.tasks.end(),
                                  [](const task& it)
                                  {
                                      return !it.record.attempt.empty();
                                  });
    if (busy)
        return;
    const auto id = target.record.specification.id;
    for (const auto& it : target.tasks)
    {
        if (it.persisted)
            delete_task(it);
    }
    cell_.remove_job(id);
    ended_jobs_.push_back(id);
    if (ended_jobs_.size() > max_ended_jobs)
    {
        changes_.deletes.insert(job_key(ended_jobs_.front()));
        ended_jobs_.pop_front();
    }
    jobs_.erase(id);
}

void job_tracker::cancel_job(std::string_view id)
{
    const auto it = jobs_.find(id);
    if (it != jobs_.end() && !is_final(it->second.record.state))
        end_job(it->second, job_state::canceled, "canceled by its team");
}

} // namespace mustardwick::coordination
