#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace mustardwick::policy
{

/// @brief Share of a service's hosts that may be quarantined at a time.
///
/// When more hosts than these fail runs, the work is the likely cause, and
/// excluding further hosts would leave the other work without capacity.
inline constexpr double max_quarantined_share = 1.0 / 3;

/// @brief Returns how many of the given number of hosts may be quarantined at a
/// time; at least one.
inline std::size_t max_quarantined(std::size_t hosts)
{
    return std::max<std::size_t>(
        1, std::size_t(double(hosts) * max_quarantined_share));
}

/// @brief Attributes failed runs to hosts or to the jobs that failed.
///
/// Load pattern: jobs that fail wherever they run, submitted in such numbers
/// that every host sees several failures in a row. A failure counts against its
/// host until the same task fails on a second host or its job ends as failed:
/// either shows that the job is the cause.
///
/// Task is ordered by its member `job` first.
template <typename Host, typename Task>
class failure_attribution
{
public:
    /// @brief Records a failed run.
    void record_failure(const Host& host, const Task& task, int run)
    {
        const auto [it, added] = failed_on_.try_emplace(task, host);
        if (!it->second)
            return;
        if (*it->second == host)
        {
            unexplained_[host].insert({task, run});
            return;
        }
        explain(*it->second, task);
        it->second.reset();
    }

    /// @brief Records that a run succeeded on a host, which shows that the host
    /// works.
    void record_success(const Host& host)
    {
        unexplained_.erase(host);
    }

    /// @brief Records that a job has ended; the failures of a failed job no
    /// longer count against hosts.
    void job_ended(std::string_view job, bool failed)
    {
        Task first;
        first.job = job;
        auto it = failed_on_.lower_bound(first);
        while (it != failed_on_.end() && it->first.job == job)
        {
            if (failed && it->second)
                explain(*it->second, it->first);
            it = failed_on_.erase(it);
        }
    }

    /// @brief Drops the state of a host, for example when it was restarted.
    void forget(const Host& host)
    {
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

    void explain(const Host& host, const Task& task)
    {
        const auto found = unexplained_.find(host);
        if (found == unexplained_.end())
            return;
        std::erase_if(found->second,
                      [&](const auto& it)
                      {
                          return it.first == task;
                      });
        if (found->second.empty())
            unexplained_.erase(found);
    }

    /// The host on which a task failed; empty once it has failed on a second
    /// one.
    std::map<Task, std::optional<Host>> failed_on_;
    std::map<Host, run_set> unexplained_;
};

} // namespace mustardwick::policy
