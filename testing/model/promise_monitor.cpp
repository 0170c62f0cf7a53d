#include "testing/model/promise_monitor.hpp"

#include <algorithm>

namespace mustardwick::testing
{

namespace
{

/// The "few seconds" within which P3, P5 and P11 require a change to take
/// effect, in microseconds.
constexpr std::int64_t max_propagation_us = 4'000'000;
/// Later violations mostly repeat the cause of the first ones.
constexpr std::size_t max_reports = 5;

std::string text(const web::json::value& event, const char* name)
{
    return event.has_field(name) ? event.at(name).as_string() : std::string();
}

std::int64_t number(const web::json::value& event, const char* name)
{
    return event.has_field(name) ? event.at(name).as_number().to_int64() : 0;
}

} // namespace

promise_monitor::promise_monitor(const std::string& record_file)
    : file_name_(record_file)
{
}

void promise_monitor::set_host(const std::string& name,
                               const std::string& domain,
                               std::int64_t millicpus, int slots)
{
    hosts_[name] = {domain, millicpus, slots};
}

void promise_monitor::domain_changed(const std::string& domain, bool in_service,
                                     time at)
{
    if (in_service)
        domain_out_.erase(domain);
    else
        domain_out_.try_emplace(domain, at);
}

void promise_monitor::key_changed(const std::string& key, bool withdrawn,
                                  time at)
{
    if (withdrawn)
        key_out_.try_emplace(key, at);
    else
        key_out_.erase(key);
}

void promise_monitor::task_limit_changed(const std::string& team,
                                         std::int64_t millicpus)
{
    task_limits_[team].insert(millicpus);
}

void promise_monitor::task_limit_in_force(const std::string& team,
                                          std::int64_t millicpus)
{
    task_limits_[team] = {millicpus};
}

void promise_monitor::request_limit_changed(const std::string& team,
                                            std::int64_t limit)
{
    request_limits_[team].insert(limit);
}

void promise_monitor::request_limit_in_force(const std::string& team,
                                             std::int64_t limit)
{
    request_limits_[team] = {limit};
}

void promise_monitor::version_accepted(std::uint64_t version, time at)
{
    accepted_versions_.emplace_back(at, version);
}

void promise_monitor::report_violation(const std::string& promise,
                                       const std::string& what)
{
    if (broken_.size() < max_reports)
        broken_.push_back(promise + ": " + what);
}

void promise_monitor::work_accepted(const std::string& key, time at)
{
    ++counts["accepted"];
    const auto it = key_out_.find(key);
    if (it != key_out_.end() && at > it->second + max_propagation_us)
        report_violation("P3", "work accepted with key " + key + " withdrawn " +
                                   std::to_string((at - it->second) / 1000) +
                                   " ms ago");
}

void promise_monitor::call_refused(const std::string& echo)
{
    ++counts["refused"];
    refused_.insert(echo);
    if (started_calls_.count(echo) > 0)
        report_violation("P7", "call " + echo + " had run when it was refused");
}

void promise_monitor::attempt_refused(const std::string& attempt)
{
    refused_attempts_.insert(attempt);
    if (started_attempts_.count(attempt) > 0)
        report_violation("P7",
                         "attempt " + attempt + " had run when it was refused");
}

void promise_monitor::version_seen(const std::string& daemon,
                                   std::uint64_t version, bool fresh, time at)
{
    auto& known = versions_[daemon];
    if (version < known)
        report_violation("P11", daemon + " went back to version " +
                                    std::to_string(version));
    known = version;
    if (!fresh)
        return;
    for (const auto& [when, accepted] : accepted_versions_)
    {
        if (at > when + max_propagation_us && accepted > version)
            return report_violation(
                "P11", daemon + " considers version " +
                           std::to_string(version) + " current, but " +
                           std::to_string(accepted) + " was accepted");
    }
}

void promise_monitor::start_task(const web::json::value& event, time at)
{
    ++counts["task_started"];
    const auto worker = text(event, "worker");
    const auto job = text(event, "job");
    const running it{worker, job.substr(0, job.find('-')),
                     job + '/' + std::to_string(number(event, "index")),
                     number(event, "millicpus")};
    std::int64_t on_host = it.millicpus;
    std::int64_t of_team = it.millicpus;
    for (const auto& [attempt, other] : tasks_)
    {
        if (other.task == it.task)
            report_violation("P2", "task " + it.task + " runs on " +
                                       other.worker + " and starts on " +
                                       worker);
        on_host += other.worker == worker ? other.millicpus : 0;
        of_team += other.team == it.team ? other.millicpus : 0;
    }
    const auto& host = hosts_[worker];
    if (on_host > host.millicpus)
        report_violation("P1", "host " + worker + " runs " +
                                   std::to_string(on_host) + " millicpus");
    const auto& limits = task_limits_[it.team];
    if (!limits.empty() && of_team > *limits.rbegin())
        report_violation("P4", "tasks of team " + it.team + " use " +
                                   std::to_string(of_team) + " millicpus");
    const auto out = domain_out_.find(host.domain);
    if (out != domain_out_.end() && at > out->second + max_propagation_us)
        report_violation("P5", "task " + it.task + " starts in domain " +
                                   host.domain + " that is out of service");
    tasks_[text(event, "attempt")] = it;
}

void promise_monitor::start_request(const web::json::value& event)
{
    ++counts["request_started"];
    const auto echo = text(event, "echo");
    const auto worker = text(event, "worker");
    // The echo text has the form team/id/call/kind.
    const auto team = echo.substr(0, echo.find('/'));
    const auto id = echo.substr(0, echo.find('/', team.size() + 1));
    requests_[text(event, "attempt")] = {worker, team, echo, 0};
    int on_host = 0;
    int of_team = 0;
    for (const auto& [attempt, other] : requests_)
    {
        on_host += other.worker == worker ? 1 : 0;
        of_team += other.team == team ? 1 : 0;
    }
    if (on_host > hosts_[worker].slots)
        report_violation("P1", "host " + worker + " serves " +
                                   std::to_string(on_host) + " requests");
    const auto& limits = request_limits_[team];
    if (!limits.empty() && of_team > *limits.rbegin())
        report_violation("P4", "team " + team + " has " +
                                   std::to_string(of_team) +
                                   " requests running");
    ++started_calls_[echo];
    started_attempts_.insert(text(event, "attempt"));
    if (refused_attempts_.count(text(event, "attempt")) > 0)
        report_violation("P7",
                         "attempt of " + echo + " ran after it was refused");
    if (refused_.count(echo) > 0)
        report_violation("P7", "call " + echo + " ran after it was refused");
    if (echo.ends_with("once") && ++started_ids_[id] > 1)
        report_violation("P8", "request " + id + " ran again");
}

void promise_monitor::restart_worker(const std::string& worker)
{
    const auto on_worker = [&worker](const auto& it)
    {
        return it.second.worker == worker;
    };
    std::erase_if(tasks_, on_worker);
    std::erase_if(requests_, on_worker);
}

bool promise_monitor::has_tasks(const std::string& worker) const
{
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [&worker](const auto& it)
                       {
                           return it.second.worker == worker;
                       });
}

void promise_monitor::check(const web::json::value& event)
{
    const auto kind = text(event, "event");
    if (kind == "task_started")
        start_task(event, number(event, "t"));
    else if (kind == "task_ended")
        tasks_.erase(text(event, "attempt"));
    else if (kind == "request_started")
        start_request(event);
    else if (kind == "request_ended")
        requests_.erase(text(event, "attempt"));
    else if (kind == "worker_started")
        restart_worker(text(event, "worker"));
}

void promise_monitor::read_new_events()
{
    if (!file_.is_open())
        file_.open(file_name_);
    file_.clear();
    std::string line;
    while (std::getline(file_, line))
        check(web::json::value::parse(line));
}

} // namespace mustardwick::testing
