#include "mustardwick/entry/cell_leader.hpp"

#include <cmath>

#include <boost/asio/post.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/entry/leader_candidate.hpp"
#include "mustardwick/wire/codec.hpp"
#include "platform/operator_rows.hpp"

namespace mustardwick::entry
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Leadership is renewed in the store this often when no other transaction does
/// so.
constexpr milliseconds renewal_interval{250};
/// Delay that lets several orders share one transaction.
constexpr milliseconds work_delay{4};
constexpr milliseconds leadership_check_interval{100};
/// The store is considered to fail for this daemon alone when it has refused
/// four copies of a transaction, 60 ms apart, and answered a member meanwhile.
constexpr milliseconds hand_over_timeout{250};
/// A store that is 70 times as slow as usual answers the second, longer attempt
/// within this time.
constexpr milliseconds hand_over_timeout_when_unresponsive{1300};
constexpr milliseconds newer_answer_margin{100};
/// If only a less suitable host could take over, the hand-over waits this much
/// longer for a better one, because a small host needs more than a second to
/// load the state of a large cell. Members learn within two heartbeats whether
/// the store answers them.
constexpr milliseconds better_member_timeout{400};
/// A member that the store answered within this time can take over. The store
/// answers each member's configuration watch at least once a second.
constexpr milliseconds store_answer_window{1500};
constexpr milliseconds status_interval{1000};
/// Ended jobs are kept for this much longer, because the time of their end may
/// come from the wall clock of another host.
constexpr milliseconds max_clock_error{5000};
/// The store accepts 100 entries and 1 MB per transaction. The head row is one
/// entry, and base64 enlarges values by a third. The last row may exceed the
/// limit.
constexpr std::size_t max_rows_per_commit = 96;
constexpr std::size_t max_bytes_per_commit = 600'000;

/// Returns a suitability for log lines; 100 just suffices.
std::int64_t percent_of(double suitability)
{
    return std::llround(suitability * 100);
}

} // namespace

dispatch::planner_options planner_options_of(const settings& options)
{
    dispatch::planner_options out;
    out.max_lease = options.limits.max_lease;
    out.max_delivery_delay = options.limits.max_delivery_delay;
    out.retention = options.limits.retention + max_clock_error;
    out.stop_grace = options.limits.stop_grace;
    out.keeps_apart = options.keeps_apart;
    // A timer may fire late but never early; half the tolerance is left for
    // clock differences between hosts.
    out.early_start = options.limits.early_start / 2;
    return out;
}

cell_leader::cell_leader(environment env, head_record head,
                         std::int64_t head_version,
                         leadership_lost_handler lost)
    : env_(env), head_(std::move(head)), on_leadership_lost_(std::move(lost)),
      log_(std::make_shared<state_log>(env.io, env.clock, env.store,
                                       env.metrics, head_, head_version)),
      authority_(env.clock, env.suspensions,
                 dispatch::planner_options().former_leader_authority),
      review_(env.clock.now(), env.recent_hand_overs),
      planner_(env.clock, planner_options_of(env.options), env.metrics),
      work_timer_(env.io), registry_timer_(env.io), leadership_timer_(env.io)
{
}

void cell_leader::start(const operator_state& state)
{
    log_event(log_level::info, "leader", "leadership_acquired",
              {{"epoch", head_.epoch}});
    const auto self = shared_from_this();
    heartbeats_ = std::make_shared<member_heartbeats>(
        env_.io, env_.clock, env_.peers,
        leader_heartbeat{head_.epoch, head_.leader, head_.address, head_.port},
        [self](std::int64_t)
        {
            self->step_down("a newer leader exists", {});
        });
    heartbeats_->start();
    advice_ = std::make_shared<advice_pool>(
        env_.clock, env_.peers, env_.advice, env_.metrics,
        [self]
        {
            return self->heartbeats_->reachable();
        },
        [self](const auto& query, auto allowed, auto sent)
        {
            self->planner_.advice_answered(query, std::move(allowed), sent);
            self->schedule_work();
        });
    workers_ = std::make_shared<worker_links>(
        env_.io, env_.clock, env_.metrics, planner_, head_.epoch,
        worker_links::events{[self]
                             {
                                 self->schedule_work();
                             },
                             [self]
                             {
                                 self->step_down(
                                     "a worker follows a newer leader", {});
                             },
                             [self]
                             {
                                 return self->has_authority();
                             }});
    configure(state);
    check_leadership();
    load_members();
    tables_to_load_ = 3;
    load_table(job_table);
    load_table(progress_table);
    load_table(queue_table);
    read_registry();
}

void cell_leader::stop()
{
    end_activity();
    abandon_calls("the daemon stops");
}

void cell_leader::end_activity()
{
    stopped_ = true;
    log_->stop();
    work_timer_.cancel();
    registry_timer_.cancel();
    leadership_timer_.cancel();
    if (heartbeats_)
        heartbeats_->stop();
    if (advice_)
        advice_->stop();
    if (workers_)
        workers_->stop();
    // These hold callbacks that own this object. They are destroyed in a later
    // handler, because the caller may be one of these callbacks.
    boost::asio::post(env_.io,
                      [self = shared_from_this()]
                      {
                          self->heartbeats_.reset();
                          self->advice_.reset();
                          self->workers_.reset();
                      });
}

void cell_leader::configure(const operator_state& state)
{
    if (state.configuration && heartbeats_)
        heartbeats_->set_configuration(state.configuration->version);
    if (state.configuration)
    {
        configured_queues_.clear();
        for (const auto& [name, queue] : state.configuration->queues)
            configured_queues_.insert(name);
        planner_.set_configuration(*state.configuration);
    }
    planner_.set_evacuated(state.evacuated);
    schedule_work();
}

void cell_leader::member_joined(const member_record& record)
{
    if (!stopped_)
        heartbeats_->add(record);
}

bool cell_leader::has_authority()
{
    if (stopped_)
        return false;
    auto confirmed = log_->confirmed();
    if (const auto members_confirmed = heartbeats_->confirmed())
        confirmed = std::max(confirmed, *members_confirmed);
    return authority_.is_valid(confirmed);
}

void cell_leader::schedule_work()
{
    if (work_scheduled_ || stopped_)
        return;
    work_scheduled_ = true;
    work_timer_.expires_after(work_delay);
    work_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            self->work_scheduled_ = false;
            if (!ec && !self->stopped_)
                self->work();
        });
}

void cell_leader::work()
{
    if (!loaded_)
        return;
    const auto orders = planner_.take_orders(advice_->capacity());
    for (const auto& it : orders.queries)
        advice_->send_query(it);
    workers_->deliver(orders);
    pump_commits();
}

void cell_leader::pump_commits()
{
    if (log_->is_busy() || stopped_)
        return;
    durable::transaction changes;
    for (auto& it :
         planner_.next_commit(max_rows_per_commit, max_bytes_per_commit))
        add_change(changes, std::move(it));
    const bool has_leases = add_leases(changes);
    if (!changes.changes_nothing())
        add_speeds(changes);
    const bool renewal_due =
        releasing_ || !unconfirmed_.empty() ||
        env_.clock.now() - log_->confirmed() >= renewal_interval;
    if (changes.changes_nothing() && !renewal_due)
        return;
    add_settled_orders(changes);
    const bool releases = releasing_;
    if (releases)
        log_->set_released();
    log_->commit(
        std::move(changes),
        [self = shared_from_this(), releases, has_leases](log_result result)
        {
            if (has_leases && result == log_result::durable)
                self->planner_.lapsing_leases_stored();
            // The probe that shows a rejection releases as well.
            self->released_ = releases && result != log_result::superseded;
            if (!self->stopped_)
                self->committed(result);
        });
}

void cell_leader::committed(log_result result)
{
    if (result == log_result::superseded)
        return superseded();
    if (planner_.commit_in_flight() && result == log_result::rejected)
        planner_.commit_rejected();
    else if (planner_.commit_in_flight())
        planner_.commit_done(log_->head_version());
    run_confirmed();
    // The transaction that was in flight when the release began does not
    // release leadership.
    if (releasing_ && !released_)
        return pump_commits();
    if (releasing_)
    {
        auto successor = successor_;
        if (!successor)
            if (const auto best = heartbeats_->best_with_store_access(
                    env_.clock.now() - store_answer_window))
                successor = best->record;
        return step_down("leadership was released", successor);
    }
    work();
}

void cell_leader::release()
{
    if (stopped_ || releasing_)
        return;
    releasing_ = true;
    pump_commits();
}

void cell_leader::superseded()
{
    step_down("another daemon holds leadership", {});
}

void cell_leader::check_leadership()
{
    if (stopped_)
        return;
    const auto now = env_.clock.now();
    if (next_check_ != base::steady_time())
        lag_ = std::chrono::duration_cast<milliseconds>(now - next_check_);
    next_check_ = now + leadership_check_interval;
    schedule_work();
    if (!loaded_)
        pump_commits();
    const auto needs = policy::needs_of_cell(loaded_ ? known_workers_.size()
                                                     : policy::assumed_workers);
    heartbeats_->set_needs(needs);
    suitability_ = own_suitability(needs);
    report_status();
    if (store_retry_after())
        planner_.reject_unsent_jobs();
    refuse_unconfirmed();
    const auto failing = log_->failing_since();
    heartbeats_->set_store_failing(failing.has_value());
    const auto timeout = log_->is_unresponsive()
                             ? hand_over_timeout_when_unresponsive
                             : hand_over_timeout;
    if (failing && env_.clock.now() - *failing > timeout)
    {
        const auto member =
            heartbeats_->best_with_store_access(*failing + newer_answer_margin);
        const bool is_unsuited =
            member &&
            policy::succession_tier(member->suitability,
                                    heartbeats_->best_suitability()) > 0;
        const bool waits = is_unsuited && env_.clock.now() - *failing <
                                              timeout + better_member_timeout;
        if (member && !waits)
            return step_down("the store is reachable from another member",
                             member->record);
    }
    review_leadership();
    leadership_timer_.expires_after(leadership_check_interval);
    leadership_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec)
                self->check_leadership();
        });
}

double cell_leader::own_suitability(const policy::leader_needs& needs)
{
    policy::host_condition condition;
    condition.speed = env_.processor.speed();
    // The time that this process took to read an answer is not the network's.
    condition.network_delay =
        std::max(heartbeats_->median_round_trip() - lag_, milliseconds(0));
    return policy::suitability_of(env_.options.resources, condition, needs);
}

void cell_leader::review_leadership()
{
    if (!loaded_ || releasing_)
        return;
    const auto now = env_.clock.now();
    const auto best =
        heartbeats_->best_with_store_access(now - store_answer_window);
    const auto found = best ? std::optional(best->suitability) : std::nullopt;
    if (!review_.is_due(now, suitability_, found))
        return;
    log_event(log_level::warning, "leader", "hand_over_started",
              {{"suitability_percent", percent_of(suitability_)},
               {"successor", best->record.name},
               {"successor_percent", percent_of(best->suitability)}});
    env_.metrics.add("mustardwick_hand_overs_total");
    successor_ = best->record;
    release();
}

void cell_leader::report_status()
{
    const auto now = env_.clock.now();
    if (now < next_status_)
        return;
    // The lag of this timer shows a leader that is short of processor time.
    const auto lag = next_status_ == base::steady_time()
                         ? base::steady_time::duration(0)
                         : now - next_status_;
    next_status_ = now + status_interval;
    report_waiting_calls();
    const auto& round = planner_.last_round();
    log_event(
        log_level::info, "leader", "status",
        {{"lag_ms", std::chrono::duration_cast<milliseconds>(lag).count()},
         {"suitability_percent", percent_of(suitability_)},
         {"best_member_percent", percent_of(heartbeats_->best_suitability())},
         {"round_trip_ms", heartbeats_->median_round_trip().count()},
         {"round_us", std::int64_t(round.duration.count())},
         {"hosts_examined", round.hosts_examined},
         {"active_jobs", round.active_jobs},
         {"unrouted_jobs", round.unrouted_jobs},
         {"unknown_queue_jobs", round.unknown_queue_jobs},
         {"ready_steps", round.ready_steps},
         {"at_maximum", round.at_maximum},
         {"awaiting_advice", round.awaiting_advice},
         {"free_channels", advice_->capacity().free},
         {"without_capacity", round.without_capacity},
         {"deferred", round.deferred},
         {"parked_jobs", round.parked_jobs},
         {"surplus_jobs", round.surplus_jobs},
         {"withdrawn_jobs", planner_.withdrawn_jobs()},
         {"interfering_pairs", planner_.interfering_pairs()},
         {"disturbed_hosts", round.disturbed_hosts},
         {"speed_deviation_percent", percent_of(planner_.speed_deviation())},
         {"listed_hosts", round.listed_hosts},
         {"usable_hosts", round.usable_hosts},
         {"unreachable_hosts", round.unreachable_hosts},
         {"suspect_hosts", round.suspect_hosts},
         {"free_millicpus", round.free_millicpus}});
}

void cell_leader::step_down(std::string_view reason,
                            std::optional<member_record> successor)
{
    if (stopped_)
        return;
    end_activity();
    const auto abandoned = abandon_calls(reason);
    log_event(log_level::warning, "leader", "leadership_lost",
              {{"epoch", head_.epoch},
               {"reason", reason},
               {"successor", successor ? successor->name : "-"},
               {"abandoned_calls", abandoned}});
    on_leadership_lost_(std::move(successor));
}

} // namespace mustardwick::entry
