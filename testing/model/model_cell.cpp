#include "testing/model/model_cell.hpp"

#include <atomic>
#include <filesystem>

#include <unistd.h>

#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"
#include "testing/model/seeded_ids.hpp"

namespace mustardwick::testing
{

using base::milliseconds;
using coordination::resource_kind;

namespace
{

constexpr milliseconds time_step{200};
/// Time without contact after which a member counts as failed.
constexpr milliseconds detection_time{2000};
/// Covers the change freeze after a registration and the propagation of a
/// change to all daemons.
constexpr milliseconds settle_time{4000};
/// Time within which all work must end once all faults have ended: the timeout
/// of an unresponsive worker, the maximum quarantine and the run times.
constexpr milliseconds recovery_time{180'000};
constexpr std::int64_t host_millicpus = 4000;
constexpr int host_slots = 2;

std::string next_record_file()
{
    static std::atomic<int> n{0};
    const auto name = "mustardwick-model-" + std::to_string(getpid()) + '-' +
                      std::to_string(n++) + ".jsonl";
    return (std::filesystem::temp_directory_path() / name).string();
}

} // namespace

model_cell::model_cell(model_options options)
    : options_(options), record_file_(next_record_file()), event_log_(clock_)
{
    seed_ids(options_.seed);
    event_log_.open(record_file_);
    monitor_ = std::make_unique<promise_monitor>(record_file_);
    start_workers();
    for (std::size_t n = 0; n < options_.daemons; ++n)
    {
        states_.push_back(std::make_unique<daemon_state>());
        states_[n]->drift_ms = static_cast<int>((options_.seed + n) % 3) - 1;
        states_[n]->table = std::make_unique<fake_table>(table_);
    }
    for (std::size_t n = 0; n < options_.daemons; ++n)
        daemons_.push_back(std::make_unique<model_daemon>(*this, n));
    // A daemon may change no shared state in the first seconds after its
    // registration.
    run(settle_time);
    declare_resources();
    run(settle_time);
    check();
}

model_cell::~model_cell()
{
    daemons_.clear();
    if (std::getenv("MUSTARDWICK_MODEL_KEEP") == nullptr)
        std::filesystem::remove(record_file_);
}

void model_cell::start_workers()
{
    for (std::size_t n = 0; n < options_.workers; ++n)
    {
        const auto name = worker_name(n);
        restart_worker(name);
        monitor_->set_host(name, domain_of(n), host_millicpus, host_slots);
    }
}

void model_cell::declare_resources()
{
    for (std::size_t n = 0; n < 2; ++n)
    {
        declare(resource_kind::failure_domain, domain_of(n), "{}");
        declare(resource_kind::queue, "q" + team(n),
                R"({"team":")" + team(n) + R"("})");
        set_limit(team(n), 2);
        set_key(team(n), false);
    }
    for (std::size_t n = 0; n < options_.workers; ++n)
    {
        const auto name = worker_name(n);
        declare(resource_kind::host, name,
                R"({"address":"10.0.0.1:80","worker":")" + name +
                    R"(","failure_domain":")" + domain_of(n) +
                    R"(","millicpus":4000,"memory_mb":8000,)"
                    R"("slots":2,"connections":2})");
    }
}

std::string model_cell::daemon_name(std::size_t n) const
{
    return "d" + std::to_string(n);
}

std::string model_cell::worker_name(std::size_t n) const
{
    return "w" + std::to_string(n);
}

std::string model_cell::domain_of(std::size_t n) const
{
    return n % 2 == 0 ? "north" : "south";
}

std::string model_cell::team(unsigned n) const
{
    return "t" + std::to_string(n % 2);
}

std::string model_cell::authorization(const std::string& name) const
{
    return "Bearer k" + name + ".secret";
}

std::int64_t model_cell::now_us() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               clock_.wall().time_since_epoch())
        .count();
}

const base::clock& model_cell::clock_of(std::size_t daemon) const
{
    return states_[daemon]->clock;
}

fake_table& model_cell::access(std::size_t daemon)
{
    return *states_[daemon]->table;
}

std::optional<std::size_t> model_cell::index_of(std::string_view name) const
{
    for (std::size_t n = 0; n < states_.size(); ++n)
    {
        if (daemon_name(n) == name)
            return n;
    }
    return std::nullopt;
}

bool model_cell::can_receive(std::size_t to, std::size_t from) const
{
    if (to >= daemons_.size() || !daemons_[to] || !daemons_[to]->is_started())
        return false;
    if (to == from)
        return true;
    const auto& state = *states_[to];
    return !state.paused && !state.at_send && state.cut_from.count(from) == 0;
}

bool model_cell::considers_failed(std::size_t observer,
                                  std::string_view peer) const
{
    const auto n = index_of(peer);
    if (!n)
        return true;
    const auto it = last_contact_.find({observer, *n});
    return it != last_contact_.end() &&
           clock_.now() - it->second > detection_time;
}

worker_state& model_cell::worker(const std::string& name)
{
    return *workers_.at(name);
}

bool model_cell::reaches_worker(std::size_t daemon,
                                const std::string& name) const
{
    const auto it = workers_.find(name);
    return it != workers_.end() && !it->second->faults().unresponsive &&
           states_[daemon]->cut_workers.count(name) == 0;
}

void model_cell::pause_before_send(std::size_t daemon)
{
    auto& state = *states_[daemon];
    const auto time = std::exchange(state.pause_at_send, milliseconds{0});
    if (time.count() == 0)
        return;
    ++monitor_->counts["paused_at_send"];
    state.at_send = true;
    run(time);
    state.at_send = false;
}

bool model_cell::take_lost_worker_answer(std::size_t daemon)
{
    auto& n = states_[daemon]->lost_worker_answers;
    return n > 0 && n-- > 0;
}

bool model_cell::take_request_left_running()
{
    return requests_to_leave_running_ > 0 && requests_to_leave_running_-- > 0;
}

void model_cell::on_request_running()
{
    if (burst_remaining_ == 0)
        return;
    --burst_remaining_;
    request(burst_entry_++, {team(0), 'b' + std::to_string(next_id_++), true});
}

void model_cell::end_request(const std::string& name,
                             const std::string& attempt)
{
    worker(name).end_request(attempt, 200, "{}");
}

void model_cell::end_request_later(const std::string& name,
                                   const std::string& attempt,
                                   milliseconds limit)
{
    left_running_.push_back({name, attempt, clock_.now() + limit});
}

void model_cell::record_open_lease(const std::string& name,
                                   const std::string& lease)
{
    open_leases_[name] = lease;
}

const std::string& model_cell::open_lease(const std::string& name) const
{
    return open_leases_.at(name);
}

void model_cell::restart_worker(const std::string& name)
{
    std::erase_if(left_running_,
                  [&name](const running_request& it)
                  {
                      return it.worker == name;
                  });
    const auto n = static_cast<std::size_t>(std::stoi(name.substr(1)));
    workers_[name] = std::make_unique<worker_state>(
        worker_identity{name, "r0", domain_of(n)}, clock_, event_log_);
}

/// Runs one round of the planner, but not while its table is unavailable: the
/// planner would wait forever and block the only thread.
void model_cell::step_planner(model_daemon& it)
{
    if (!states_[it.index]->table_stopped)
        it.planner.step();
}

void model_cell::step_time()
{
    clock_.advance(time_step);
    for (auto& it : states_)
        it->clock.advance(time_step + milliseconds{it->drift_ms});
    // Workers end finished work before any daemon acts at the new time, so that
    // the record is in chronological order.
    for (auto& [name, it] : workers_)
        it->advance();
    const auto is_over = [this](const running_request& it)
    {
        return it.end <= clock_.now();
    };
    for (const auto& it : left_running_)
    {
        if (is_over(it))
            end_request(it.worker, it.attempt);
    }
    std::erase_if(left_running_, is_over);
    for (std::size_t to = 0; to < daemons_.size(); ++to)
    {
        for (std::size_t from = 0; from < daemons_.size(); ++from)
        {
            if (can_receive(to, from) && can_receive(from, to))
                last_contact_[{to, from}] = clock_.now();
        }
    }
}

void model_cell::run(milliseconds time)
{
    ++depth_;
    for (milliseconds spent{0}; spent < time; spent += time_step)
    {
        step_time();
        for (std::size_t n = 0; n < daemons_.size(); ++n)
        {
            const auto& state = *states_[n];
            if (daemons_[n] && !state.paused && !state.at_send)
                daemons_[n]->tick();
        }
        if (depth_ == 1)
            check();
    }
    --depth_;
}

void model_cell::check()
{
    monitor_->read_new_events();
    for (const auto& it : daemons_)
    {
        if (it && it->is_started())
            monitor_->version_seen(it->name, it->config.current()->version,
                                   it->config.is_fresh() &&
                                       options_.kind == defect::none &&
                                       !states_[it->index]->paused,
                                   now_us());
    }
    observe_limits();
}

/// Tells the monitor which limits are in force. A lowered limit comes into
/// force once all work that was admitted earlier fits in it.
void model_cell::observe_limits()
{
    for (const auto& [name, limit] : limits_)
    {
        const bool settled = limit_known_[name] &&
                             clock_.now() - limit_changed_[name] > settle_time;
        if (!settled)
            continue;
        const auto row = table_.read(coordination::escrow_key(name));
        const auto parts = coordination::parse_escrow(row.value);
        std::int64_t sum = 0;
        for (const auto& [daemon, part] :
             parts.value_or(coordination::escrow_record{}).parts)
            sum += part;
        if (parts && parts->limit == limit.requests && sum <= limit.requests)
            monitor_->request_limit_in_force(name, limit.requests);
        if (placed_millicpus(name) <= limit.millicpus)
            monitor_->task_limit_in_force(name, limit.millicpus);
    }
}

std::int64_t model_cell::placed_millicpus(const std::string& name)
{
    std::int64_t out = 0;
    for (const auto& it : table_.scan("task/" + name + '-', {}).rows)
    {
        const auto task = coordination::parse_task(it.value);
        const auto job = coordination::parse_job(
            table_.read(coordination::job_key(task ? task->id.job : "")).value);
        const bool placed = task && job &&
                            (task->state == coordination::task_state::placed ||
                             task->state == coordination::task_state::running ||
                             task->state == coordination::task_state::stopping);
        out += placed ? job->specification.size.millicpus : 0;
    }
    return out;
}

void model_cell::heal()
{
    for (std::size_t n = 0; n < states_.size(); ++n)
    {
        auto& it = *states_[n];
        it.paused = false;
        it.pause_at_send = milliseconds{0};
        it.lost_worker_answers = 0;
        it.cut_from.clear();
        it.cut_workers.clear();
        it.table_stopped = false;
        it.table->set_down(false);
        it.table->set_read_only(false);
        it.table->lose_answers(0);
        if (!daemons_[n])
            daemons_[n] = std::make_unique<model_daemon>(*this, n);
    }
    for (auto& [name, it] : workers_)
        it->faults().unresponsive = false;
    requests_to_leave_running_ = 0;
    run(settle_time);
    for (std::size_t n = 0; n < 2; ++n)
    {
        set_domain(domain_of(n), true);
        set_limit(team(n), 2);
    }
    run(recovery_time / 2);
    // Services are cancelled: one may hold capacity that another job waits for.
    for (const auto& [id, kind] : jobs_)
    {
        if (kind == "service")
            entry(0)->jobs.cancel(id, id.substr(0, 2));
    }
    run(recovery_time / 2);
    check();
    check_jobs_ended();
}

void model_cell::check_jobs_ended()
{
    for (const auto& [id, kind] : jobs_)
    {
        const auto row = table_.read(coordination::job_key(id));
        const auto job = coordination::parse_job(row.value);
        const bool ended = job && coordination::is_final(job->state);
        if (!ended)
            monitor_->report_violation(
                "progress",
                "job " + id + " (" + kind + ") is " +
                    (job ? std::string(coordination::name_of(job->state))
                         : std::string("unknown")) +
                    " after all faults ended");
    }
}

std::vector<operation> shrink(const model_options& options,
                              std::vector<operation> steps)
{
    std::map<std::string, int> counts;
    const auto promise_of = [&](const std::vector<operation>& it)
    {
        const auto broken = run_sequence(options, it, counts);
        return broken.empty() ? std::string()
                              : broken.front().substr(0, broken[0].find(':'));
    };
    const auto wanted = promise_of(steps);
    for (std::size_t size = steps.size() / 2; size > 0; size /= 2)
    {
        for (std::size_t n = 0; n + size <= steps.size();)
        {
            auto fewer = steps;
            const auto from = fewer.begin() + static_cast<std::ptrdiff_t>(n);
            fewer.erase(from, from + static_cast<std::ptrdiff_t>(size));
            if (promise_of(fewer) == wanted)
                steps = std::move(fewer);
            else
                n += size;
        }
    }
    return steps;
}

std::vector<std::string> run_sequence(const model_options& options,
                                      const std::vector<operation>& steps,
                                      std::map<std::string, int>& counts)
{
    model_cell cell(options);
    for (const auto& it : steps)
    {
        cell.apply(it);
        if (!cell.monitor().broken().empty())
            break;
    }
    if (cell.monitor().broken().empty())
        cell.heal();
    for (const auto& [name, n] : cell.monitor().counts)
        counts[name] += n;
    return cell.monitor().broken();
}

} // namespace mustardwick::testing
