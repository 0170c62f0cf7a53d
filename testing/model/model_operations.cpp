#include <algorithm>
#include <utility>

#include "mustardwick/base/identity.hpp"
#include "testing/model/model_cell.hpp"

namespace mustardwick::testing
{

using base::milliseconds;
using coordination::resource_kind;

namespace
{

/// Durations of time steps and pauses; the largest ones exceed a daemon's
/// authority and a worker's lease.
constexpr std::array<int, 8> times_ms = {200,  600,  1000,   2000,
                                         4000, 8000, 14'000, 30'000};
constexpr std::int64_t limit_unit_millicpus = 3000;
constexpr std::int64_t limit_unit_requests = 2;
constexpr std::uint32_t request_time_ms = 5000;

} // namespace

model_daemon* model_cell::entry(unsigned n)
{
    for (std::size_t it = 0; it < daemons_.size(); ++it)
    {
        const auto index = (n + it) % daemons_.size();
        if (can_receive(index, index) && !states_[index]->paused &&
            !states_[index]->at_send)
            return daemons_[index].get();
    }
    return nullptr;
}

void model_cell::apply(const operation& step)
{
    apply_work(step);
    apply_process_fault(step);
    apply_table_fault(step);
    apply_path_fault(step);
    apply_operator(step);
    check();
}

void model_cell::apply_work(const operation& step)
{
    switch (step.what)
    {
    case action::advance:
        return run(milliseconds{times_ms[step.first % times_ms.size()]});
    case action::submit:
        return submit(step);
    case action::cancel:
        return cancel(step);
    case action::request:
        calls_.push_back({team(step.second), 'r' + std::to_string(next_id_++),
                          step.second % 4 >= 2});
        return request(step.first, calls_.back());
    case action::burst:
        burst_remaining_ = static_cast<int>(step.second % 8);
        burst_entry_ = step.first;
        request(step.first, {team(0), 'b' + std::to_string(next_id_++), true});
        burst_remaining_ = 0;
        return;
    case action::repeat_request:
        if (!calls_.empty())
            request(step.first, sent_call(calls_[step.second % calls_.size()]));
        return;
    case action::query_request:
        return query(step);
    default:
        return;
    }
}

void model_cell::apply_process_fault(const operation& step)
{
    const auto n = step.first % states_.size();
    auto& state = *states_[n];
    switch (step.what)
    {
    case action::kill_daemon:
        state.paused = false;
        state.pause_at_send = milliseconds{0};
        daemons_[n].reset();
        return;
    case action::restart_daemon:
        daemons_[n].reset();
        daemons_[n] = std::make_unique<model_daemon>(*this, n);
        return;
    case action::pause_daemon:
        state.paused = true;
        return;
    case action::resume_daemon:
        for (auto& it : states_)
            it->paused = false;
        return;
    case action::pause_at_send:
        state.pause_at_send =
            milliseconds{times_ms[step.second % times_ms.size()]};
        return;
    default:
        return;
    }
}

void model_cell::apply_table_fault(const operation& step)
{
    const auto n = step.first % states_.size();
    const auto set = [this](std::size_t it, bool down, bool read_only)
    {
        states_[it]->table->set_down(down);
        states_[it]->table->set_read_only(read_only);
        states_[it]->table_stopped = down || read_only;
    };
    switch (step.what)
    {
    case action::table_down:
        return set(n, true, false);
    case action::table_read_only:
        return set(n, false, true);
    case action::table_down_for_all:
        for (std::size_t it = 0; it < states_.size(); ++it)
            set(it, true, false);
        return;
    case action::table_up:
        for (std::size_t it = 0; it < states_.size(); ++it)
            set(it, false, false);
        return;
    case action::lose_table_answer:
        return states_[n]->table->lose_answers(1 + step.second % 2);
    default:
        return;
    }
}

void model_cell::apply_path_fault(const operation& step)
{
    const auto n = step.first % states_.size();
    const auto name = worker_name(step.second % options_.workers);
    switch (step.what)
    {
    case action::cut_peers:
        states_[n]->cut_from.insert(step.second % states_.size());
        return;
    case action::cut_worker:
        states_[n]->cut_workers.insert(name);
        return;
    case action::heal_cuts:
        for (auto& it : states_)
        {
            it->cut_from.clear();
            it->cut_workers.clear();
        }
        for (auto& [worker, it] : workers_)
            it->faults().unresponsive = false;
        return;
    case action::silence_worker:
        worker(name).faults().unresponsive = true;
        return;
    case action::restart_worker:
        return restart_worker(name);
    case action::lose_worker_answer:
        states_[n]->lost_worker_answers = 1 + static_cast<int>(step.second % 3);
        return;
    case action::leave_request_running:
        requests_to_leave_running_ = 1 + static_cast<int>(step.second % 2);
        return;
    default:
        return;
    }
}

void model_cell::apply_operator(const operation& step)
{
    switch (step.what)
    {
    case action::take_domain_out:
        return set_domain(domain_of(step.first), false);
    case action::bring_domain_back:
        return set_domain(domain_of(step.first), true);
    case action::race_operators:
        declare(resource_kind::failure_domain, "race", "{}", true);
        return;
    case action::withdraw_key:
        return set_key(team(step.first), true);
    case action::grant_key:
        return set_key(team(step.first), false);
    case action::lower_limit:
        return set_limit(team(step.first), 1);
    case action::raise_limit:
        return set_limit(team(step.first), 2);
    default:
        return;
    }
}

/// Writes a resource through the first daemon that accepts the change. With
/// `race`, every daemon writes with the same expected version, and at most one
/// change may be accepted.
bool model_cell::declare(resource_kind kind, const std::string& name,
                         const std::string& desired, bool race)
{
    coordination::change_request change;
    change.kind = kind;
    change.name = name;
    change.desired = desired;
    int accepted = 0;
    bool has_version = false;
    for (unsigned n = 0; n < daemons_.size(); ++n)
    {
        auto* const at = entry(n);
        if (at == nullptr || at->index != n)
            continue;
        if (!has_version)
        {
            const auto stored = at->config.read(kind, name);
            change.expected = stored
                                  ? coordination::change_precondition::version
                                  : coordination::change_precondition::absent;
            change.version = stored ? stored->version : 0;
        }
        has_version = true;
        const auto result = at->config.change(change);
        if (!result || result->conflict)
            continue;
        monitor_->version_accepted(result->version, now_us());
        ++accepted;
        if (!race)
            return true;
    }
    if (accepted > 1)
        monitor_->report_violation("P11",
                                   "two changes of one version were accepted");
    return accepted > 0;
}

void model_cell::set_domain(const std::string& domain, bool in_service)
{
    // The change may take effect although its answer is lost: the domain counts
    // as back in service from the attempt, and as out of service only from the
    // answer.
    if (in_service)
        monitor_->domain_changed(domain, true, now_us());
    const bool done = declare(resource_kind::failure_domain, domain,
                              in_service ? R"({"in_service":true})"
                                         : R"({"in_service":false})");
    if (done && !in_service)
        monitor_->domain_changed(domain, false, now_us());
}

void model_cell::set_key(const std::string& name, bool withdrawn)
{
    if (!withdrawn)
        monitor_->key_changed('k' + name, false, now_us());
    const auto hash = base::salted_hash("salt", "secret");
    const bool done =
        declare(resource_kind::key, 'k' + name,
                R"({"team":")" + name + R"(","salt":"salt","hash":")" + hash +
                    R"(","withdrawn":)" + (withdrawn ? "true" : "false") + '}');
    if (done && withdrawn)
        monitor_->key_changed('k' + name, true, now_us());
}

void model_cell::set_limit(const std::string& name, std::int64_t factor)
{
    const auto millicpus = factor * limit_unit_millicpus;
    const auto requests = factor * limit_unit_requests;
    // A change with an unknown outcome may have taken effect, so the larger of
    // the limits applies until the new one is in force.
    monitor_->request_limit_changed(name, requests);
    monitor_->task_limit_changed(name, millicpus);
    const bool done =
        declare(resource_kind::team, name,
                R"({"limit_millicpus":)" + std::to_string(millicpus) +
                    R"(,"limit_requests":)" + std::to_string(requests) + '}');
    limits_[name] = {millicpus, requests};
    limit_known_[name] = done;
    limit_changed_[name] = clock_.now();
}

void model_cell::submit(const operation& step)
{
    auto* const at = entry(step.first);
    if (at == nullptr)
        return;
    const auto owner = team(step.second);
    if (!at->keys.authenticate(authorization(owner)))
        return;
    constexpr std::array kinds = {policy::work_kind::batch,
                                  policy::work_kind::gang,
                                  policy::work_kind::service};
    coordination::job_record job;
    auto& it = job.specification;
    it.id = owner + "-j" + std::to_string(next_id_++);
    it.team = owner;
    it.queue = "q" + owner;
    it.kind = kinds[step.second % kinds.size()];
    it.tasks = 1 + static_cast<int>(step.first % 3);
    // Every job fits in the raised limit of its team.
    it.size = {500 + 500 * static_cast<std::int64_t>(step.second % 3), 100, 0};
    it.run_time = milliseconds{500 + 700 * (step.first % 8)};
    job.payload = R"({"run_ms":)" + std::to_string(it.run_time.count()) + '}';
    if (!at->jobs.submit(job))
        return;
    monitor_->work_accepted('k' + owner, now_us());
    ++monitor_->counts["job_accepted"];
    jobs_[it.id] = it.kind == policy::work_kind::service ? "service" : "batch";
}

void model_cell::cancel(const operation& step)
{
    auto* const at = entry(step.first);
    if (at == nullptr || jobs_.empty())
        return;
    const auto it = std::next(jobs_.begin(), step.second % jobs_.size());
    at->jobs.cancel(it->first, it->first.substr(0, 2));
}

wire::forward_answer model_cell::route(model_daemon& at,
                                       const wire::forward_request& call)
{
    const auto to = at.view.assigned_to(call.host);
    const auto n = index_of(to);
    if (!n || !can_receive(*n, at.index))
        return coordination::refused_answer("the owner is unreachable",
                                            "retry");
    const auto answer = this->call<wire::forward_answer>(
        at.index, to,
        [&call](model_daemon& it)
        {
            return std::optional(it.serve(call));
        });
    return answer.value_or(coordination::unknown_answer("no answer"));
}

void model_cell::request(unsigned entry_number, const sent_call& call)
{
    auto* const at = entry(entry_number);
    if (at == nullptr || !at->keys.authenticate(authorization(call.team)))
        return;
    monitor_->work_accepted('k' + call.team, now_us());
    for (unsigned n = 0; n < 2; ++n)
    {
        wire::forward_request out;
        out.attempt = base::unique_id();
        out.request = call.id;
        out.team = call.team;
        out.queue = "q" + call.team;
        out.host = worker_name((entry_number + n) % options_.workers);
        out.body = call.team + '/' + call.id + '/' +
                   std::to_string(next_call_++) + '/' +
                   (call.idempotent ? "many" : "once");
        out.timeout_ms = request_time_ms;
        out.idempotent = call.idempotent;
        const auto answer = route(*at, out);
        // Reads the events recorded before the answer first, to detect a call
        // that was refused after it had run.
        monitor_->read_new_events();
        if (answer.result == wire::outcome::refused)
        {
            monitor_->call_refused(out.body);
            continue;
        }
        if (answer.result == wire::outcome::done)
            ++monitor_->counts["request_done"];
        return;
    }
}

void model_cell::query(const operation& step)
{
    auto* const at = entry(step.first);
    if (at == nullptr || calls_.empty())
        return;
    const auto& call = calls_[step.second % calls_.size()];
    const auto key = coordination::claim_key(call.team, call.id);
    const auto claimed = at->claims.read(key);
    const auto answer = at->resolve(key);
    if (!claimed || !answer || answer->result != wire::outcome::refused)
        return;
    monitor_->read_new_events();
    ++monitor_->counts["query_refused"];
    monitor_->attempt_refused(claimed->record.attempt);
}

} // namespace mustardwick::testing
