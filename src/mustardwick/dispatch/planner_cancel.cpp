#include <algorithm>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"

namespace mustardwick::dispatch
{

using base::log_event;
using base::log_level;
using base::wall_ms;
using std::chrono::milliseconds;

void planner::cancel(const std::string& id, const cancelled& done,
                     const std::string& account)
{
    auto* job = find_job(id);
    if (job == nullptr)
        job = withdraw(id, account);
    if (job == nullptr)
        return done(cancel_result::not_stored);
    const auto outcome = jobs::is_withdrawn(job->record)
                             ? cancel_result::unknown_job
                             : cancel_result::cancelled;
    // A final state that is reported is durable.
    if (is_final(job->reported_state))
        return done(outcome);
    job->replies.push_back({[done, outcome]
                            {
                                done(outcome);
                            },
                            [done]
                            {
                                done(cancel_result::not_stored);
                            }});
    if (!is_final(job->record.state))
    {
        finish_job(*job, jobs::job_state::cancelled);
        log_event(log_level::info, "planner", "job_cancelled", {{"job", id}});
    }
    mark_dirty(*job);
    // The rows of a cancelled job are small.
    if (suspended_.erase(id) > 0)
        dirty_.push_back(id);
}

job_run* planner::withdraw(const std::string& id, const std::string& account)
{
    if (withdrawn_jobs_ >= options_.max_withdrawn_jobs ||
        usage_of(account).withdrawn_jobs >=
            options_.max_withdrawn_jobs_of_account)
    {
        metrics_.add("mustardwick_withdrawals_refused_total");
        return nullptr;
    }
    metrics_.add("mustardwick_withdrawals_total");
    auto& job = jobs_[id];
    job.specification.id = id;
    job.specification.account = account;
    job.number = ++next_number_;
    job.arrived = clock_.now();
    job.record.state = jobs::job_state::cancelled;
    job.record.occurrences_opened = jobs::never_submitted;
    job.record.ended_ms = wall_ms(clock_);
    count_withdrawn(job, 1);
    log_event(log_level::info, "planner", "job_withdrawn",
              {{"job", id}, {"account", account}});
    return &job;
}

void planner::count_withdrawn(const job_run& job, int change)
{
    if (!jobs::is_withdrawn(job.record))
        return;
    withdrawn_jobs_ += change;
    usage_of(job.specification.account).withdrawn_jobs += change;
}

std::optional<milliseconds> planner::withdrawn_for(const std::string& id) const
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !jobs::is_withdrawn(it->second.record))
        return std::nullopt;
    return milliseconds(std::max<std::int64_t>(
        0, wall_ms(clock_) - it->second.record.ended_ms));
}

} // namespace mustardwick::dispatch
