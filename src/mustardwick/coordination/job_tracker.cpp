#include "mustardwick/coordination/job_tracker.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/log.hpp"

namespace mustardwick::coordination
{

job_tracker::job_tracker(const base::clock& time, id_function new_attempt_id)
    : clock_(time), new_attempt_id_(std::move(new_attempt_id))
{
}

void job_tracker::record_event(std::string_view kind, std::string_view subject,
                               std::string_view detail)
{
    changes_.events.push_back(
        {std::string(kind), std::string(subject), std::string(detail)});
}

void job_tracker::put_job(const job& target)
{
    const auto key = job_key(target.record.specification.id);
    changes_.puts[key] = to_row(target.record);
}

void job_tracker::put_task(task& target)
{
    const auto key = task_key(target.record.id);
    target.persisted = true;
    changes_.puts[key] = to_row(target.record);
}

void job_tracker::delete_task(const task& target)
{
    const auto key = task_key(target.record.id);
    changes_.puts.erase(key);
    changes_.deletes.insert(key);
}

job_tracker::task* job_tracker::find_task(const policy::task_id& id)
{
    const auto it = jobs_.find(id.job);
    const bool known =
        it != jobs_.end() && id.index >= 0 &&
        static_cast<std::size_t>(id.index) < it->second.tasks.size();
    return known ? &it->second.tasks[static_cast<std::size_t>(id.index)]
                 : nullptr;
}

job_tracker::task* job_tracker::find_attempt(const std::string& attempt)
{
    const auto it = attempts_.find(attempt);
    return it == attempts_.end() ? nullptr : find_task(it->second);
}

void job_tracker::load(std::span<const ports::row> jobs,
                       std::span<const ports::row> tasks)
{
    for (const auto& it : jobs)
    {
        const auto record = parse_job(it.value);
        if (record && is_final(record->state) &&
            record->state != job_state::canceled &&
            record->state != job_state::failed)
            ended_jobs_.push_back(record->specification.id);
        else if (record)
            add_job(*record);
    }
    for (const auto& it : tasks)
    {
        const auto record = parse_task(it.value);
        if (record)
            restore_task(*record);
    }
    // Repeat the stop orders of jobs that ended while tasks were running.
    std::vector<std::string> ended;
    for (const auto& [id, it] : jobs_)
    {
        if (is_final(it.record.state))
            ended.push_back(id);
    }
    for (const auto& id : ended)
    {
        auto& it = jobs_.find(id)->second;
        const auto state = it.record.state;
        const auto reason = it.record.reason;
        end_job(it, state, reason);
    }
    // Discard the row values and events, because the state came from the table;
    // deletions and stop orders stay pending.
    changes_.puts.clear();
    changes_.events.clear();
}

void job_tracker::restore_task(const task_record& record)
{
    auto* it = find_task(record.id);
    if (it == nullptr)
    {
        changes_.deletes.insert(task_key(record.id));
        return;
    }
    it->record = record;
    it->persisted = true;
    if (record.state == task_state::finished)
    {
        cell_.finish_pending(record.id);
        ++jobs_.find(record.id.job)->second.record.finished;
        return;
    }
    if (record.attempt.empty())
        return;
    cell_.start(record.id, record.host, clock_.now());
    add_attempt(*it);
}

void job_tracker::add_job(const job_record& value)
{
    const auto& id = value.specification.id;
    auto specification = value.specification;
    specification.submitted = clock_.now();
    if (jobs_.count(id) > 0 || !cell_.add_job(specification))
        return;
    auto& it = jobs_[id];
    it.record = value;
    it.record.finished = 0;
    it.tasks.resize(static_cast<std::size_t>(specification.tasks));
    for (int n = 0; n < specification.tasks; ++n)
        it.tasks[static_cast<std::size_t>(n)].record.id = {id, n};
}

void job_tracker::configure(const configuration& config)
{
    for (const auto& [name, spec] : config.teams)
        cell_.set_team({name, spec.share, spec.limit});
    for (auto& [name, status] : hosts_)
        status.declared = false;
    for (const auto& [name, spec] : config.hosts)
    {
        auto& status = hosts_[name];
        status.declared = true;
        status.in_service = config.in_service(name);
        status.description = {name, spec.failure_domain, spec.rack,
                              spec.capacity, false};
        update_host(name);
    }
    for (auto it = hosts_.begin(); it != hosts_.end();)
    {
        if (!it->second.declared)
            cell_.remove_host(it->first);
        it = it->second.declared ? std::next(it) : hosts_.erase(it);
    }
}

void job_tracker::update_host(const std::string& name)
{
    auto& status = hosts_[name];
    if (!status.declared)
        return;
    const bool accepts = status.in_service && status.reported_open &&
                         !status.leaving && !is_quarantined(name);
    const auto* known = cell_.find_host(name);
    const bool same =
        known != nullptr && known->accepts_work == accepts &&
        known->keeps_tasks == status.in_service &&
        known->capacity == status.description.capacity &&
        known->rack == status.description.rack &&
        known->failure_domain == status.description.failure_domain;
    if (same)
        return;
    status.description.accepts_work = accepts;
    status.description.keeps_tasks = status.in_service;
    cell_.set_host(status.description);
}

void job_tracker::update_leaving_hosts(
    const std::function<bool(const std::string&)>& is_leaving)
{
    for (auto& [name, status] : hosts_)
    {
        const bool leaving = is_leaving(name);
        if (std::exchange(status.leaving, leaving) == leaving)
            continue;
        record_event(leaving ? "host_leaving" : "host_stays", name, {});
        update_host(name);
    }
}

void job_tracker::place(const policy::task_id& id, const std::string& host)
{
    auto* it = find_task(id);
    if (it == nullptr)
        return;
    it->record.attempt = new_attempt_id_();
    it->record.host = host;
    it->record.state = task_state::placed;
    it->confirmed = false;
    it->stopping = false;
    it->ordered_at = clock_.now();
    add_attempt(*it);
    put_task(*it);
    order_start(*it);
    auto& owner = jobs_.find(id.job)->second;
    if (owner.record.state == job_state::queued)
    {
        owner.record.state = job_state::running;
        put_job(owner);
    }
    record_event("task_placed", task_key(id),
                 host + " attempt " + it->record.attempt);
}

void job_tracker::order_start(const task& target)
{
    const auto& owner = jobs_.find(target.record.id.job)->second.record;
    const auto& size = owner.specification.size;
    changes_.orders[target.record.host].starts.push_back(
        {target.record.attempt, target.record.id.job, target.record.id.index,
         std::string(name_of(owner.specification.kind)), size.millicpus,
         size.memory_mb, size.accelerators, owner.payload});
}

void job_tracker::order_stop(task& target)
{
    target.stopping = true;
    target.ordered_at = clock_.now();
    changes_.orders[target.record.host].stops.push_back(target.record.attempt);
}

void job_tracker::plan(const policy::round_limits& limits)
{
    for (const auto& [name, status] : hosts_)
        update_host(name);
    auto bounds = limits;
    bounds.await_stops = true;
    const auto decided = policy::plan_round(cell_, clock_.now(), bounds);
    for (const auto& it : decided.placements)
        place(it.id, it.host);
    for (const auto& it : decided.removals)
    {
        auto* target = find_task(it.id);
        if (target != nullptr && !target->record.attempt.empty())
            order_stop(*target);
    }
    for (const auto& it : decided.rejections)
    {
        const auto found = jobs_.find(it.job);
        if (found != jobs_.end())
            end_job(found->second, job_state::rejected, it.reason);
    }
}

void job_tracker::redeliver(base::milliseconds age)
{
    const auto now = clock_.now();
    for (const auto& [attempt, id] : attempts_)
    {
        auto* it = find_task(id);
        if (it == nullptr || now - it->ordered_at < age)
            continue;
        if (it->stopping)
            order_stop(*it);
        else if (!it->confirmed)
        {
            it->ordered_at = now;
            order_start(*it);
        }
    }
}

void job_tracker::confirm(const std::string& host,
                          const wire::deliver_answer& answer)
{
    for (const auto& attempt : answer.started)
    {
        auto* it = find_attempt(attempt);
        if (it != nullptr)
            it->confirmed = true;
    }
    for (const auto& attempt : answer.stopped)
        apply_attempt({attempt, host, wire::attempt_event::stopped, {}});
}

void job_tracker::apply(const wire::task_events& events)
{
    std::map<std::string, std::set<std::string>> running;
    for (const auto& it : events.attempts)
    {
        if (it.event == wire::attempt_event::running)
            running[it.host].insert(it.attempt);
        apply_attempt(it);
    }
    for (const auto& it : events.hosts)
        apply_host(it, running[it.host]);
}

void job_tracker::apply_attempt(const wire::attempt_report& report)
{
    auto* it = find_attempt(report.attempt);
    const bool running = report.event == wire::attempt_event::running;
    if (it == nullptr && running)
        changes_.orders[report.host].stops.push_back(report.attempt);
    else if (it == nullptr)
        changes_.recorded.push_back({report.attempt, report.host});
    else if (running)
        it->confirmed = true;
    else
        end_task(*it, report);
}

/// Makes all orders of a host due for redelivery: the worker refuses orders
/// that carry the previous lease.
void job_tracker::expedite_redelivery(const std::string& host)
{
    for (const auto& [attempt, id] : attempts_)
    {
        auto* it = find_task(id);
        if (it != nullptr && it->record.host == host)
            it->ordered_at = {};
    }
}

void job_tracker::apply_host(const wire::host_report& report,
                             const std::set<std::string>& running)
{
    auto& status = hosts_[report.host];
    status.reported_open = report.accepts_work;
    if (std::exchange(status.lease, report.lease) != report.lease)
        expedite_redelivery(report.host);
    update_host(report.host);
    if (!report.emptied && !report.complete)
        return;
    std::vector<std::string> missing;
    for (const auto& [attempt, id] : attempts_)
    {
        const auto* it = find_task(id);
        if (it != nullptr && it->record.host == report.host &&
            running.count(attempt) == 0)
            missing.push_back(attempt);
    }
    for (const auto& attempt : missing)
    {
        if (report.emptied)
            apply_attempt({attempt, report.host, wire::attempt_event::lost,
                           "the worker's lease has lapsed"});
        else if (auto* it = find_attempt(attempt))
            it->confirmed = false;
    }
    if (report.emptied)
        record_event("host_lost", report.host,
                     std::to_string(missing.size()) +
                         " tasks start again elsewhere");
}

void job_tracker::add_attempt(const task& target)
{
    attempts_[target.record.attempt] = target.record.id;
    ++placed_per_host_[target.record.host];
}

job_changes job_tracker::take_changes()
{
    for (const auto& [host, orders] : changes_.orders)
        changes_.leases[host] = hosts_[host].lease;
    return std::exchange(changes_, {});
}

bool job_tracker::is_ended(const std::string& attempt) const
{
    return attempts_.count(attempt) == 0;
}

std::size_t job_tracker::queued_tasks() const
{
    std::size_t n = 0;
    for (const auto& [id, it] : jobs_)
        n += static_cast<std::size_t>(cell_.pending(id));
    return n;
}

std::size_t job_tracker::placed_tasks() const
{
    return attempts_.size();
}

} // namespace mustardwick::coordination
