#include "mustardwick/coordination/planner.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"

namespace mustardwick::coordination
{

using base::milliseconds;
using ports::commit_state;

namespace
{

/// Delay between rounds with work; batches decisions into one transaction.
constexpr milliseconds round_interval{10};
constexpr milliseconds idle_interval{100};
/// Polling interval of the inbox; bounds the delay of a submission whose
/// notification was lost.
constexpr milliseconds inbox_interval{2000};
/// Age at which an unconfirmed order is sent again.
constexpr milliseconds redelivery_age{1500};
/// Longest wait for the commit of a report; the sender repeats the report.
constexpr milliseconds report_commit_timeout{500};
/// Attempts to resolve a commit of unknown outcome before the planner checks
/// again whether it must stop.
constexpr int in_doubt_attempts = 3;
/// Ended attempts remembered to answer repeated reports.
constexpr std::size_t max_recorded_attempts = 20'000;
constexpr std::string_view submit_operation = "submit";
constexpr std::string_view cancel_operation = "cancel";

std::string witness_key_of(std::uint64_t leadership_version)
{
    return "planner/last/" + std::to_string(leadership_version);
}

} // namespace

planner::planner(planner_links links) : links_(std::move(links)) {}

planner::~planner()
{
    stop();
}

void planner::start()
{
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

void planner::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    applied_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void planner::notify_inbox()
{
    {
        const std::scoped_lock lock(mutex_);
        inbox_notified_ = true;
    }
    wake_.notify_all();
}

std::optional<std::uint64_t>
planner::queue_reports(const wire::task_events& events)
{
    const std::scoped_lock lock(mutex_);
    if (!loaded_)
        return base::fail(base::error_kind::unavailable,
                          "this daemon is not the planner",
                          "send the report to the holder of duty/planner");
    reports_.push_back(events);
    wake_.notify_all();
    return ++reports_queued_;
}

wire::task_events_answer
planner::recorded_attempts(const wire::task_events& events) const
{
    const std::scoped_lock lock(mutex_);
    wire::task_events_answer out;
    out.load = load_id_;
    for (const auto& it : events.attempts)
    {
        if (recorded_.count(it.attempt) > 0)
            out.recorded.push_back({it.attempt, it.host});
    }
    return out;
}

std::optional<wire::task_events_answer>
planner::submit_reports(const wire::task_events& events)
{
    const auto ticket = queue_reports(events);
    if (!ticket)
        return std::nullopt;
    {
        std::unique_lock lock(mutex_);
        applied_.wait_for(lock, report_commit_timeout,
                          [&]
                          {
                              return stopping_ || reports_applied_ >= *ticket;
                          });
        if (!loaded_)
            return base::fail(base::error_kind::unavailable,
                              "this daemon lost the planner duty",
                              "send the report to the holder of duty/planner");
    }
    return recorded_attempts(events);
}

std::shared_ptr<const host_counts> planner::placed_per_host() const
{
    // A process that was suspended may have lost leadership since its last
    // round.
    if (!links_.leadership.is_held())
        return nullptr;
    const std::scoped_lock lock(mutex_);
    return placed_per_host_;
}

/// Copies the counts only when they changed; most rounds change nothing.
void planner::publish_counts()
{
    const auto& counts = tracker_->placed_per_host();
    const std::scoped_lock lock(mutex_);
    if (!placed_per_host_ || *placed_per_host_ != counts)
        placed_per_host_ = std::make_shared<host_counts>(counts);
}

void planner::drop_state()
{
    tracker_.reset();
    const std::scoped_lock lock(mutex_);
    loaded_ = false;
    placed_per_host_.reset();
    reports_.clear();
    confirmations_.clear();
    reports_applied_ = reports_queued_;
    applied_.notify_all();
}

void planner::run()
{
    while (true)
    {
        const bool active = step();
        std::unique_lock lock(mutex_);
        const auto pause = active ? round_interval : idle_interval;
        wake_.wait_for(lock, pause,
                       [this, active]
                       {
                           return stopping_ || (!active && (inbox_notified_ ||
                                                            !reports_.empty()));
                       });
        if (stopping_)
            return;
    }
}

/// Returns whether the tracker was loaded under the current term of leadership.
/// Leadership that was lost and acquired again between two rounds has another
/// row version.
bool planner::is_current(const std::optional<ports::check>& guard) const
{
    return guard && guard->version == leadership_version_;
}

bool planner::load(std::uint64_t leadership_version)
{
    const auto started = links_.clock.now();
    // Read the witness row before the state: if a transaction commits in
    // between, the next commit conflicts and the state is read again.
    const auto witness = links_.table.read(witness_key_of(leadership_version));
    const auto jobs = links_.table.scan_all(job_prefix);
    const auto tasks = links_.table.scan_all(all_tasks_prefix);
    if (!witness || !jobs || !tasks)
        return false;
    witness_version_ = witness->version;
    tracker_ = std::make_unique<job_tracker>(links_.clock, base::unique_id);
    tracker_->load(*jobs, *tasks);
    leadership_version_ = leadership_version;
    config_version_ = 0;
    handled_inbox_keys_.clear();
    next_inbox_ = {};
    {
        const std::scoped_lock lock(mutex_);
        loaded_ = true;
        load_id_ = base::unique_id();
    }
    const auto spent =
        std::chrono::duration_cast<milliseconds>(links_.clock.now() - started);
    links_.events.record("planner_loaded", "planner",
                         std::to_string(tasks->size()) + " tasks");
    base::log_event(base::log_level::info, "planner", "loaded",
                    {{"jobs", jobs->size()},
                     {"tasks", tasks->size()},
                     {"ms", spent.count()}});
    return true;
}

void planner::sync_configuration()
{
    const auto config = links_.config.current();
    if (config->version == config_version_)
        return;
    tracker_->configure(*config);
    config_version_ = config->version;
}

void planner::read_inbox()
{
    const auto now = links_.clock.now();
    {
        const std::scoped_lock lock(mutex_);
        if (!std::exchange(inbox_notified_, false) && now < next_inbox_)
            return;
    }
    next_inbox_ = now + inbox_interval;
    const auto rows = links_.table.scan_all(inbox_prefix);
    if (!rows)
        return;
    // Handle submissions first, so that a cancellation finds its job.
    for (const auto operation : {submit_operation, cancel_operation})
    {
        for (const auto& it : *rows)
        {
            const auto prefix = inbox_key("", operation);
            const bool is_new = it.key.starts_with(prefix) &&
                                handled_inbox_keys_.count(it.key) == 0;
            if (is_new &&
                handle_message(operation, it.key.substr(prefix.size())))
                handled_inbox_keys_.insert(it.key);
        }
    }
}

/// Handles one inbox message; false when the table is unreachable.
bool planner::handle_message(std::string_view operation, const std::string& job)
{
    if (operation == cancel_operation)
    {
        tracker_->cancel_job(job);
        return true;
    }
    const auto row = links_.table.read(job_key(job));
    if (!row)
        return false;
    const auto record = parse_job(row->value);
    if (record && !is_final(record->state))
        tracker_->add_job(*record);
    return true;
}

/// Applies queued confirmations and reports. Returns false when the reports
/// stay queued because the holders of their hosts cannot be read from the
/// table.
bool planner::apply_reports()
{
    std::deque<wire::task_events> reports;
    std::deque<std::pair<std::string, wire::deliver_answer>> confirmations;
    {
        const std::scoped_lock lock(mutex_);
        reports.swap(reports_);
        confirmations.swap(confirmations_);
    }
    for (const auto& [host, answer] : confirmations)
        tracker_->confirm(host, answer);
    const bool has_hosts = std::any_of(reports.begin(), reports.end(),
                                       [](const auto& it)
                                       {
                                           return !it.hosts.empty();
                                       });
    if (!has_hosts)
    {
        for (const auto& it : reports)
            tracker_->apply(it);
        return true;
    }
    const auto holders = read_holders();
    if (!holders)
    {
        const std::scoped_lock lock(mutex_);
        reports_.insert(reports_.begin(), reports.begin(), reports.end());
        return false;
    }
    for (auto& it : reports)
        tracker_->apply(drop_foreign_reports(std::move(it), *holders));
    return true;
}

std::optional<host_holders> planner::read_holders() const
{
    const auto rows = links_.table.scan_all(holder_prefix);
    if (!rows)
        return std::nullopt;
    host_holders out;
    for (const auto& it : *rows)
    {
        const auto record = parse_holder(it.value);
        if (record)
            out[it.key.substr(holder_prefix.size())] =
                holder_name(record->daemon, record->incarnation);
    }
    return out;
}

bool planner::step()
{
    const auto held = links_.leadership.guard();
    if (tracker_ && !is_current(held))
        drop_state();
    if (!held || (!tracker_ && !load(held->version)))
        return false;
    std::uint64_t ticket = 0;
    {
        const std::scoped_lock lock(mutex_);
        ticket = reports_queued_;
    }
    sync_configuration();
    const bool applied = apply_reports();
    if (links_.is_leaving)
        tracker_->update_leaving_hosts(links_.is_leaving);
    read_inbox();
    if (links_.config.is_fresh())
    {
        const auto started = std::chrono::steady_clock::now();
        tracker_->plan();
        const std::chrono::duration<double> spent =
            std::chrono::steady_clock::now() - started;
        links_.metrics.observe("mustardwick_plan_round_seconds", spent.count());
    }
    tracker_->redeliver(redelivery_age);
    links_.metrics.set("mustardwick_tasks_queued",
                       static_cast<double>(tracker_->queued_tasks()));
    links_.metrics.set("mustardwick_tasks_placed",
                       static_cast<double>(tracker_->placed_tasks()));
    auto changes = tracker_->take_changes();
    const bool busy = changes.has_rows() || !changes.orders.empty();
    if (!commit(std::move(changes)))
        return false;
    publish_counts();
    const std::scoped_lock lock(mutex_);
    if (applied)
        reports_applied_ = ticket;
    applied_.notify_all();
    return busy;
}

/// Commits the rows, then sends orders and acknowledges reports. Returns false
/// when leadership was lost, or when the planner stops before it knows whether
/// the rows were committed.
bool planner::commit(job_changes changes)
{
    for (const auto& it : handled_inbox_keys_)
        changes.deletes.insert(it);
    if (changes.has_rows())
    {
        const auto guard = links_.leadership.guard();
        if (!is_current(guard))
            return false;
        ports::transaction change;
        change.id = base::unique_id();
        change.checks.push_back(*guard);
        // The transaction does not write the leadership row, so it writes its
        // id to a witness row, which shows whether a transaction whose answer
        // was lost has committed. The check of the witness row also prevents a
        // delayed duplicate from being applied after a later transaction.
        const auto witness = witness_key_of(guard->version);
        change.checks.push_back({witness, witness_version_});
        change.puts.push_back({witness, change.id});
        for (auto& [key, value] : changes.puts)
            change.puts.push_back({key, std::move(value)});
        for (const auto& it : changes.deletes)
            change.deletes.push_back(it);
        auto result = ports::commit_resolved(links_.table, change, witness);
        while (result.state == commit_state::unknown)
        {
            {
                std::unique_lock lock(mutex_);
                wake_.wait_for(lock, idle_interval,
                               [this]
                               {
                                   return stopping_;
                               });
                if (stopping_)
                    return false;
            }
            result = ports::commit_resolved(links_.table, change, witness,
                                            in_doubt_attempts, true);
        }
        if (result.state == commit_state::conflict)
        {
            links_.leadership.mark_lost();
            // The tracker contains changes that were not committed.
            drop_state();
            base::log_event(base::log_level::warning, "planner",
                            "leadership_lost",
                            {{"remedy", "none; the new planner continues"}});
            return false;
        }
        witness_version_ = result.revision;
        links_.metrics.add("mustardwick_planner_commits_total");
        links_.metrics.add("mustardwick_planner_rows_total",
                           change.puts.size() - 1);
        handled_inbox_keys_.clear();
    }
    for (const auto& it : changes.events)
        links_.events.record(it[0], it[1], it[2]);
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& it : changes.recorded)
        {
            if (recorded_.insert(it.attempt).second)
                recorded_order_.push_back(it.attempt);
        }
        while (recorded_order_.size() > max_recorded_attempts)
        {
            recorded_.erase(recorded_order_.front());
            recorded_order_.pop_front();
        }
    }
    send_orders(changes);
    return true;
}

void planner::send_orders(const job_changes& changes)
{
    for (const auto& [host, orders] : changes.orders)
    {
        const auto lease = changes.leases.find(host);
        if (lease == changes.leases.end() || lease->second.empty())
            continue;
        post_orders({host, lease->second, orders.starts, orders.stops});
    }
}

void planner::post_orders(wire::deliver orders)
{
    links_.post(
        [this, orders = std::move(orders)]
        {
            auto answer = links_.deliver(orders);
            if (!answer)
                return;
            {
                const std::scoped_lock lock(mutex_);
                confirmations_.emplace_back(orders.host, std::move(*answer));
            }
            links_.metrics.add("mustardwick_orders_confirmed_total");
        });
}

} // namespace mustardwick::coordination
