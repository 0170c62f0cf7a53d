#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace mustardwick::policy
{

/// @brief Share of a service's hosts that may be quarantined at a time.
///
/// When more hosts than these fail runs, the work is the likely cause, and
/// excluding further hosts would leave the other work without capacity.
inline constexpr double max_quarantined_share = 0.34;

/// @brief Returns how many of the given number of hosts may be quarantined at a
/// time. None of one or two: work would have no other host.
inline std::size_t max_quarantined(std::size_t hosts)
{
    return std::size_t(double(hosts) * max_quarantined_share);
}

/// @brief Attributes failed runs to hosts or to the jobs that failed.
///
/// Load pattern: jobs that fail wherever they run, among others that fail
/// because of a faulty host. A failure counts against its host until its job
/// has failed on several hosts, one of which is trusted: it has succeeded, and
/// has failed no other job since. Faulty hosts thus do not clear each other.
///
/// Task is ordered by its member `job` first.
template <typename Host, typename Task>
class failure_attribution
{
public:
    /// @brief Records a failed run.
    void record_failure(const Host& host, const Task& task, int run)
    {
        unexplained_[host].insert({task, run});
        auto& hosts = failed_on_[task];
        hosts.insert(host);
        if (hosts.size() > 1 && trust(host, task.job))
            explain(task, hosts);
    }

    /// @brief Records that a run succeeded on a host, which shows that the host
    /// works.
    void record_success(const Host& host)
    {
        blamed_by_[host].clear();
        unexplained_.erase(host);
    }

    /// @brief Records that a job has ended.
    void job_ended(std::string_view job, bool failed)
    {
        Task first;
        first.job = job;
        const auto begin = failed_on_.lower_bound(first);
        auto end = begin;
        std::set<Host> hosts;
        for (; end != failed_on_.end() && end->first.job == job; ++end)
            hosts.insert(end->second.begin(), end->second.end());
        const bool is_cause = failed && hosts.size() > 1 &&
                              std::any_of(hosts.begin(), hosts.end(),
                                          [&](const Host& host)
                                          {
                                              return trust(host, job);
                                          });
        if (is_cause)
            for (auto it = begin; it != end; ++it)
                explain(it->first, it->second);
        failed_on_.erase(begin, end);
    }

    /// @brief Drops the state of a host, for example when it was restarted.
    void forget(const Host& host)
    {
        blamed_by_.erase(host);
        unexplained_.erase(host);
    }

    /// @brief Returns the number of failed runs since the last success of a
    /// host that no job explains.
    int unexplained_failures(const Host& host) const
    {
        const auto it = unexplained_.find(host);
        return it == unexplained_.end() ? 0 : int(it->second.size());
    }

    bool has_unexplained_failures() const
    {
        return !unexplained_.empty();
    }

private:
    using run_set = std::set<std::pair<Task, int>>;

    /// Returns whether a host has succeeded and has failed only this job since;
    /// if so, it is trusted about no other job until it succeeds again.
    bool trust(const Host& host, std::string_view job)
    {
        const auto blamed = blamed_by_.find(host);
        if (blamed == blamed_by_.end() ||
            (!blamed->second.empty() && blamed->second != job))
            return false;
        const auto it = unexplained_.find(host);
        const bool only_this_job =
            it == unexplained_.end() ||
            std::all_of(it->second.begin(), it->second.end(),
                        [&](const auto& run)
                        {
                            return run.first.job == job;
                        });
        if (only_this_job)
            blamed->second = job;
        return only_this_job;
    }

    void explain(const Task& task, const std::set<Host>& hosts)
    {
        for (const auto& host : hosts)
        {
            const auto found = unexplained_.find(host);
            if (found == unexplained_.end())
                continue;
            std::erase_if(found->second,
                          [&](const auto& it)
                          {
                              return it.first == task;
                          });
            if (found->second.empty())
                unexplained_.erase(found);
        }
    }

    /// Hosts on which tasks of open jobs have failed.
    std::map<Task, std::set<Host>> failed_on_;
    std::map<Host, run_set> unexplained_;
    /// Hosts that have succeeded, with the job that they have shown as the
    /// cause of failures since; empty for none.
    std::map<Host, std::string> blamed_by_;
};

} // namespace mustardwick::policy
