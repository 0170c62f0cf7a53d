#pragma once

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/dispatch/accepted_queues.hpp"
#include "mustardwick/dispatch/host_state.hpp"
#include "mustardwick/dispatch/job_run.hpp"
#include "mustardwick/dispatch/lapsing_leases.hpp"
#include "mustardwick/dispatch/orders.hpp"
#include "mustardwick/dispatch/progress_blocks.hpp"
#include "mustardwick/dispatch/row_change.hpp"
#include "mustardwick/dispatch/settled_orders.hpp"
#include "mustardwick/dispatch/unfinished_change.hpp"
#include "mustardwick/dispatch/worker_speed_rows.hpp"
#include "mustardwick/jobs/configuration.hpp"
#include "mustardwick/policy/failure_attribution.hpp"
#include "mustardwick/policy/urgency.hpp"
#include "mustardwick/policy/worker_speed.hpp"

namespace mustardwick::dispatch
{

struct planner_options
{
    /// Maximum duration of a lease that a worker grants.
    std::chrono::milliseconds max_lease{6000};
    /// Validity of a start order on the worker's clock. An unanswered order
    /// expires after it, which bounds how long its capacity stays occupied.
    std::chrono::milliseconds start_validity{1500};
    /// Longest time after which a call that was not answered may still be
    /// carried out, by whichever incarnation of the worker.
    std::chrono::milliseconds max_delivery_delay{12'000};
    /// How long a former leader may continue to renew leases.
    std::chrono::milliseconds former_leader_authority{2500};
    /// How long the state of a finished job can be queried.
    std::chrono::milliseconds retention{120'000};
    /// Maximum time that a worker takes to stop a run.
    std::chrono::milliseconds stop_grace{900};
    /// How long before its due time an occurrence may start.
    std::chrono::milliseconds early_start{200};
    /// Learns which kinds of work slow each other down, and keeps them apart
    /// where there is room.
    bool keeps_apart = false;
    /// Maximum size of the value of a stored row.
    std::size_t max_row_bytes = 48'000;
    /// Maximum numbers of withdrawn jobs that are kept at a time, of all
    /// accounts and of one. Each has a row of the store for the retention time.
    std::size_t max_withdrawn_jobs = 10'000;
    std::size_t max_withdrawn_jobs_of_account = 2000;
};

/// @brief Outcome of a cancellation.
enum class cancel_result
{
    cancelled,
    /// There is no such job, and none will be accepted under its id for the
    /// retention time.
    unknown_job,
    /// The cancellation is not stored; it may or may not take effect.
    not_stored
};

/// @brief Counters of the last placement round that show why work waits.
struct round_summary
{
    std::size_t active_jobs = 0;
    /// Jobs whose queue is not in the newest configuration; they run under its
    /// last terms.
    std::size_t unrouted_jobs = 0;
    /// Jobs whose queue is not known; they do not run.
    std::size_t unknown_queue_jobs = 0;
    std::size_t ready_steps = 0;
    /// Steps whose account is at its maximum.
    std::size_t at_maximum = 0;
    /// Steps with an advice query in flight.
    std::size_t awaiting_advice = 0;
    /// Steps for which the usable hosts that are known to be allowed have too
    /// little free capacity.
    std::size_t without_capacity = 0;
    /// Steps deferred in favour of waiting steps of a higher value class.
    std::size_t deferred = 0;
    /// Jobs that can earn nothing any more and were not looked at.
    std::size_t parked_jobs = 0;
    /// Jobs beyond their account's share that have not started.
    std::size_t surplus_jobs = 0;
    /// Candidates that came later because of interfering work.
    std::size_t disturbed_hosts = 0;
    /// Hosts examined for all steps together.
    std::size_t hosts_examined = 0;
    std::chrono::microseconds duration{0};
    std::size_t usable_hosts = 0;
    std::size_t listed_hosts = 0;
    /// Listed hosts that do not answer lease renewals.
    std::size_t unreachable_hosts = 0;
    /// Listed hosts that are excluded or restricted because of failed runs.
    std::size_t suspect_hosts = 0;
    std::int64_t free_millicpus = 0;
};

/// @brief Schedules all submitted work of a cell; performs no I/O.
///
/// The caller persists state changes: next_commit() returns the rows that
/// changed, commit_done() releases the effects that depend on them. A start
/// order is released only after its assignment is durable, so that a successor
/// knows every worker on which a task may be running.
class planner
{
public:
    using time_point = base::steady_time;
    using accepted = std::function<void()>;
    using refused = std::function<void()>;
    using cancelled = std::function<void(cancel_result)>;

    planner(const base::clock& time, planner_options options,
            base::metrics& metrics);

    /// @name Inputs
    /// @{
    void set_configuration(jobs::configuration value);
    void set_evacuated(std::set<std::string, std::less<>> failure_domains);
    /// @brief Restores a job that a former leader persisted; `split` and
    /// `blocks` tell in which rows the store holds its progress.
    ///
    /// `version` is that of the newest of its rows.
    void restore(jobs::job specification, jobs::job_record record,
                 bool split = false,
                 std::map<std::string, std::string, std::less<>> blocks = {},
                 std::int64_t version = 0);
    /// @brief Records which orders of former leaders are settled, and by when
    /// others are.
    void settle_inherited_orders(const settled_orders& settled,
                                 const from_store_clock& from_store);
    /// @brief Restores the queues of the jobs that a former leader persisted;
    /// only then rows of queues are written.
    void restore_queues(const std::map<std::string, jobs::queue>& stored);
    /// @brief Restores the speeds of workers that a former leader learned.
    void restore_speeds(std::string_view text);
    /// @brief Removes rows that belong to no job.
    void discard(std::vector<row_change> removals);
    void worker_listed(const jobs::worker_info& info);
    void worker_unlisted(const std::string& id);
    void worker_reported(const std::string& id, const jobs::worker_report& it,
                         time_point asked);
    /// @brief Records that a worker did not answer a lease renewal.
    void worker_unresponsive(const std::string& id);
    void start_answered(const start_order& order,
                        const jobs::order_reply& reply);
    void stop_answered(const stop_order& order, const jobs::order_reply& reply);
    /// @brief Records the advisor's answer; std::nullopt when the query failed.
    void advice_answered(const advice_query& query,
                         std::optional<std::vector<advice_ticket>> allowed,
                         time_point sent_at);
    /// @}

    /// @name Callers
    /// @{
    /// @brief Submits a job; calls `done` once it is durable, or `on_refused`
    /// when it is dropped before that or withdrawn already. A repeated id
    /// refers to the existing job.
    void submit(
        jobs::job specification, accepted done, refused on_refused = [] {});
    /// @brief Returns std::nullopt if a new job is accepted, otherwise the time
    /// after which its caller should return: the job is beyond its account's
    /// share, and could not start in time.
    std::optional<std::chrono::milliseconds>
    refuse_surplus(const jobs::job& specification);
    /// @brief Drops the jobs that were not part of any transaction yet and
    /// calls the `refused` callbacks of their callers. Returns the number of
    /// jobs.
    std::size_t reject_unsent_jobs();
    /// @brief Cancels a job; calls `done` once its final state is durable, also
    /// when the job has ended otherwise.
    ///
    /// An unknown job becomes a withdrawn one: its submission may still be
    /// under way, and must not take effect later. The job counts towards the
    /// limit of the account that cancels it.
    void cancel(const std::string& id, const cancelled& done,
                const std::string& account = {});
    /// @brief Returns std::nullopt for an unknown and for a withdrawn job.
    std::optional<jobs::job_state> state_of(const std::string& id) const;
    /// @brief Returns for how long a job has been withdrawn; std::nullopt for
    /// every other job.
    std::optional<std::chrono::milliseconds>
    withdrawn_for(const std::string& id) const;
    std::size_t withdrawn_jobs() const
    {
        return withdrawn_jobs_;
    }
    /// @brief Returns the number of open jobs of which no task has started, of
    /// the queue that has the given name now or had it when they were accepted.
    std::size_t waiting_jobs(std::string_view queue) const;
    /// @}

    /// @name Durable state
    /// @{
    /// @brief Returns the rows to write now: at most `max_rows`, and none more
    /// once `max_bytes` are reached. Empty when nothing changed or a commit is
    /// in flight.
    ///
    /// A change with more rows than that takes several transactions. Its rows
    /// are in such an order that a successor can continue after each of them.
    std::vector<row_change> next_commit(std::size_t max_rows,
                                        std::size_t max_bytes);
    /// `version` is that of the rows that were written.
    void commit_done(std::int64_t version = 0);
    /// @brief Records that the store accepts other transactions, but not the
    /// one in flight, of which nothing was carried out.
    ///
    /// Smaller transactions find the job whose rows are rejected. A new job is
    /// refused; another one is suspended and its rows are sent again, alone,
    /// after a delay.
    void commit_rejected();
    bool commit_in_flight() const
    {
        return committing_.has_value();
    }
    bool has_changes() const
    {
        return !dirty_.empty();
    }
    /// @}

    /// @name Leases of workers that do not answer
    ///
    /// Their tasks start elsewhere once the leases have ended. A successor that
    /// knew only when it took over itself would wait anew each time.
    /// @{
    /// @brief Returns whether the stored leases are not those that lapse now.
    bool has_lease_changes(const lease_storing& how) const;
    /// @brief Returns the leases to store, which are not lengthened any more.
    std::vector<lapsing_lease> store_lapsing_leases(const lease_storing& how);
    /// @brief Records that the leases returned last are stored, and no others.
    void lapsing_leases_stored();
    /// @brief Restores a lease that a former leader stored, which ends at
    /// `bound` at the latest, unless a call is carried out late, which none is
    /// after `calls_bound`.
    void restore_lapsing_lease(const lapsing_lease& lease, time_point bound,
                               time_point calls_bound);
    /// @}

    /// @brief Returns which orders are settled, for a successor: a task whose
    /// order may still be carried out does not start again.
    settled_orders settled(const std::optional<to_store_clock>& to_store) const;
    /// @brief Forgets the outstanding orders that are settled by now.
    void drop_settled_orders();

    /// @brief Returns the learned speeds of the listed workers, to be restored
    /// by a successor.
    std::string encode_speeds() const;
    /// @brief Returns the learned speed of a worker relative to the average.
    double speed_of(const host_state& host) const
    {
        return speeds_.speed(host.index);
    }

    /// @brief Returns how much the learned speeds differ; see
    /// policy::worker_speeds.
    double speed_deviation() const
    {
        return speeds_.deviation();
    }

    /// @brief Returns the number of pairs of kinds of work that slow each other
    /// down.
    std::size_t interfering_pairs() const
    {
        return interference_.believed();
    }

    /// @brief Runs a placement round if one is due and returns the orders and
    /// queries to send.
    ///
    /// Queries beyond the free channels are not issued: while they waited for a
    /// channel, other steps would take the capacity that they cover.
    orders take_orders(advice_capacity advice);

    /// @brief Returns the deadline of a lease renewed now, in milliseconds on
    /// the worker's clock, and records that the lease may last until then;
    /// std::nullopt before the worker's clock is known and while the worker
    /// does not answer.
    std::optional<std::int64_t> lease_deadline(const std::string& id);
    /// @brief Returns how long a worker may take to answer a renewal that is
    /// sent now. Only the answer to a later one shows that an outstanding order
    /// has had no effect.
    std::chrono::milliseconds renewal_wait(const std::string& id);
    /// @brief Returns the highest number up to which the effects of all ends of
    /// a worker are durable; 0 for an unknown worker.
    std::int64_t acknowledged_end(const std::string& id) const;
    /// @brief Returns the same for a renewal that may reach another
    /// incarnation: 0 while that one may have ends of outstanding orders which
    /// nobody has read.
    std::int64_t acknowledged_unverified(const std::string& id) const;
    /// @brief Returns whether a worker reported ends whose effects are not yet
    /// committed.
    bool has_uncommitted_ends(const std::string& id) const;
    const round_summary& last_round() const
    {
        return round_;
    }
    const std::map<std::string, host_state, std::less<>>& hosts() const
    {
        return hosts_;
    }

private:
    /// Processors of a service's hosts, in millicores.
    struct processors
    {
        std::int64_t used = 0;
        std::int64_t listed = 0;
        std::int64_t usable = 0;
    };
    struct candidate;
    struct query_need;
    struct ready_step;

    // planner.cpp
    /// @brief Returns the state of a host, which is added when it is new.
    host_state& host_of(const std::string& id);
    job_run* find_job(const std::string& id);
    /// @brief Returns the job with the given number; nullptr once it is gone,
    /// even if its id has been submitted again.
    job_run* find_job(const std::string& id, std::uint64_t number);
    /// @brief Fills in the failed runs in rows of earlier releases.
    static void restore_failed_runs(const jobs::step& step,
                                    std::span<jobs::task_record> tasks);
    /// @brief Restores the run of a task and its outstanding order.
    void restore_task(job_run& job, std::size_t position, int step, int index,
                      std::int64_t version);
    void mark_dirty(job_run& job);
    void open_occurrence(job_run& job, std::int64_t number);
    /// @brief Returns whether the number of open tasks allows another
    /// occurrence of a timed job.
    static bool may_open_occurrence(const job_run& job);
    void open_due_occurrences(job_run& job);
    void close_occurrence(job_run& job, std::size_t position);
    void finish_job(job_run& job, jobs::job_state state);
    void drop_expired_jobs();
    account_usage& usage_of(const std::string& account);
    void erase_job(const std::string& id);
    /// @brief Removes jobs that the store does not hold and refuses their
    /// callers.
    void drop_unstored(const std::vector<std::string>& ids,
                       std::string_view reason);

    // planner_cancel.cpp
    /// @brief Adds a withdrawn job; returns nullptr when there are too many.
    job_run* withdraw(const std::string& id, const std::string& account);
    /// @brief Adds a withdrawn job to the numbers that are limited, or takes it
    /// out of them. Those of a former leader count as of no account.
    void count_withdrawn(const job_run& job, int change);

    // planner_queues.cpp
    /// @brief Brings the queues of open jobs in line with the configuration.
    void follow_configuration();
    /// @brief Adds the changed queues to the rows to write. Jobs whose queue
    /// has a new key are stored between the row of that key and the row that
    /// replaces the former one.
    void store_queues(const accepted_queues::renamed_keys& renamed);
    void drop_unused_queues();

    // planner_commits.cpp
    unfinished_change encode_change(job_run& job);
    /// @brief Marks a job whose change was not carried out as changed again.
    void restore_effects(job_effects effects);
    /// @brief Refuses or suspends the job whose rows the store rejects.
    void isolate(job_effects effects);
    /// @brief Lets suspended jobs whose delay has passed commit again.
    void resume_suspended_jobs();
    void release_starts(std::vector<start_order> starts);

    // planner_preemption.cpp
    /// @brief Returns the number of tasks of a step that fit on a host now or
    /// soon.
    int potential_slots(const host_state& host, const ready_step& step) const;
    /// @brief Returns false while more urgent gang steps of a busy service wait
    /// for all the capacity that can be planned ahead.
    bool may_plan_ahead(const ready_step& step) const;
    /// @brief Returns whether all waiting tasks of a step would fit if the
    /// usable hosts that are not denied to it were empty.
    bool may_fit(const ready_step& step);
    /// @brief Reserves capacity for a gang step on hosts that are known to be
    /// allowed, until all its tasks fit.
    void reserve_capacity(const ready_step& step);
    /// @brief Keeps the free slots of a step that waits for the last one from
    /// less urgent steps in this round.
    void keep_free_slots(const ready_step& step,
                         std::span<const candidate> allowed, int tasks);
    /// @brief Returns whether a run may be stopped for a step: it is less
    /// urgent and can be resumed later at little cost.
    bool may_preempt(const ready_step& step, const running& it);
    /// @brief Stops tasks so that a gang step fits on the hosts that are known
    /// to be allowed.
    void preempt_to_fit(const ready_step& step);
    /// @brief Returns the usable hosts that are known to be allowed for a step.
    std::vector<host_state*> allowed_hosts(const ready_step& step);

    // planner_runs.cpp
    void add_run(host_state& host, const job_run& job,
                 const jobs::task_key& task, int run, run_phase phase);
    void remove_run(host_state& host, const run_key& key);
    jobs::task_record* find_task(const jobs::task_key& task);
    step_run* find_step(const jobs::task_key& task);
    /// @brief Returns the member of a gang step whose record holds what the
    /// members have in common: their failures and their checkpoint.
    static jobs::task_key gang_record_of(jobs::task_key task);
    /// @brief Keeps the checkpoint of a run that has ended, or was lost.
    void keep_checkpoint(const jobs::task_key& task, int run,
                         const std::string& checkpoint, bool is_final);
    void set_waiting(const jobs::task_key& task, jobs::task_record& record);
    void requeue(const jobs::task_key& task, int run);
    void run_lost(host_state& host, const run_key& key,
                  std::string_view reason);
    void apply_end(host_state& host, const jobs::ended_run& end);
    /// @brief Keeps the step of a task off a host for a while.
    void avoid_host(const jobs::task_key& task, const host_state& host);
    /// @brief Returns the task that a failure is attributed to: the members of
    /// a gang step fail as one.
    static jobs::task_key failure_subject(const job_run& job,
                                          const jobs::task_key& task);
    /// @brief Counts a failed run against its host, which is quarantined after
    /// several that no job explains.
    void record_host_failure(host_state& host, const jobs::task_key& task,
                             int run);
    /// @brief Returns whether failed runs suggest that a host is faulty.
    bool is_suspect(const host_state& host) const;
    /// @brief Exempts the least suspect hosts of each service when more than a
    /// share of its hosts is suspect.
    void limit_quarantines();
    void task_done(job_run& job, const jobs::task_key& task);
    void task_failed(job_run& job, const jobs::task_key& task, int run);
    void stop_run(host_state& host, running& it);
    /// @brief Sends a stop order again if it has had no effect for a while.
    void repeat_stop(host_state& host, running& it);
    void stop_step_runs(const job_run& job, std::int64_t occurrence, int step);
    /// @brief Switches a worker to a new incarnation and stops the runs of the
    /// former one that the report does not list.
    void begin_incarnation(host_state& host, const jobs::worker_report& report);
    void reconcile_with_report(host_state& host,
                               const jobs::worker_report& report);
    /// @brief Logs runs that a worker lists although its lease had ended by
    /// what this leader knew.
    void report_outlived_leases(host_state& host,
                                const jobs::worker_report& report);
    /// @brief Returns whether a listed run is the present one of a task that
    /// waits because its order was outstanding.
    bool may_adopt(const host_state& host, const jobs::running_run& listed);
    void reconcile_listed_run(host_state& host,
                              const jobs::running_run& listed);
    /// @brief Logs a reply whose clock is not the one that the order's
    /// deadline refers to.
    void log_unexpected_clock(const host_state& host, const start_order& order,
                              const jobs::order_reply& reply) const;
    void mark_started(const std::string& id);
    /// @brief Returns whether a run that is missing from a report has ended or
    /// cannot start any more; `clock_ms` is the report's time.
    bool is_terminated(const running& it, std::int64_t clock_ms) const;
    std::int64_t estimated_clock(const host_state& host) const;
    void update_clock(host_state& host, std::int64_t clock_ms);

    // planner_outstanding.cpp
    /// @brief Remembers the order of a run that is removed, if it is
    /// outstanding.
    void keep_outstanding_order(host_state& host, const running& it);
    void add_outstanding_order(step_run& step, int index,
                               const outstanding_order& order);
    /// @brief Returns the outstanding order of a task on a host, or nullptr.
    outstanding_order* outstanding_order_on(const host_state& host,
                                            const jobs::task_key& task);
    /// @brief Records that a worker lists a run or its end: its order is not
    /// outstanding any more.
    void order_took_effect(const host_state& host, const jobs::task_key& task,
                           int run);
    /// @brief Records that an order whose run was given up has been carried
    /// out or refused by now.
    void order_answered_late(host_state& host, const start_order& order);
    /// @brief Returns whether a host has a run of a task other than the given
    /// one.
    static bool has_run(const host_state& host, const jobs::task_key& task,
                        int except);
    /// @brief Returns whether an order of a former leader had a ticket, so that
    /// it can take effect in the incarnation that it was meant for only.
    bool had_ticket(job_run& job, const outstanding_order& order);
    /// @brief Returns whether an outstanding order has no effect that has not
    /// ended, and can have none any more; `run` is the task's present run.
    bool is_settled(const jobs::task_key& task, int run,
                    const outstanding_order& order) const;
    void drop_settled_orders_of(job_run& job, std::size_t position, int step);
    /// @brief Returns whether waiting tasks of a step have outstanding orders.
    bool has_outstanding_orders(const ready_step& step);
    /// @brief Adds the waiting tasks of a job that may still be started to the
    /// usage of its account.
    static void count_outstanding_orders(job_run& job);
    /// @brief Places the tasks of a step some of which have outstanding orders;
    /// returns false when others have to wait for capacity.
    bool place_beside_outstanding(const ready_step& step,
                                  std::vector<candidate> allowed,
                                  int affordable);
    /// @brief Returns after which time neither a run nor an earlier one of its
    /// task can be in progress on a worker that does not answer.
    time_point latest_end(const host_state& host, const running& it);

    // planner_leases.cpp
    /// @brief Returns how long a lease lives at most, on this host's clock.
    static std::chrono::milliseconds
    lease_life(std::chrono::milliseconds granted);
    /// @brief Returns how long any lease lives at most.
    std::chrono::milliseconds longest_lease() const;
    /// @brief Returns by when a lease that a worker has granted up to now, or
    /// grants to a call that is sent now, has ended.
    time_point longest_lease_from_now() const;
    /// @brief Counts the lease of an answered order, which may last as long as
    /// its deadline is ahead on the clock of the reply: it need not be the
    /// clock that the deadline was meant for.
    void count_granted_lease(host_state& host, std::int64_t granted_ms);
    void handle_expired_leases();
    /// @brief Gives up the runs of a silent worker that can be in progress no
    /// more.
    void give_up_runs(host_state& host);
    /// @brief Returns the time since then, for log lines; -1 for never.
    std::int64_t
    milliseconds_since(const std::optional<time_point>& time) const;
    /// @brief Returns whether the end of a host's lease is to be stored.
    bool is_lease_lapsing(const host_state& host,
                          const lease_storing& how) const;

    // planner_interference.cpp
    /// @brief Returns the number of the kind of work that a step's tasks are.
    policy::interference::kind_id kind_id_of(const jobs::job& job, int step);
    /// @brief Returns the distinct kinds that run beside a run.
    static std::vector<policy::interference::kind_id>
    neighbours_of(const host_state& host, const running& of);
    void record_slowdown(const host_state& host, const running& it,
                         double log_slowdown);
    /// @brief Learns from the tail latency of a run that serves users.
    void sample_tail(const host_state& host, running& it);
    /// @brief Returns whether a kind and one that runs on a host slow each
    /// other down.
    bool is_disturbed(const host_state& host,
                      policy::interference::kind_id kind) const;

    // planner_speed.cpp
    /// @brief Learns the speed of a host from a run that has succeeded.
    void record_run_time(const host_state& host, const running& it);
    /// @brief Returns the speed at which a step is likely to be in time; 0 when
    /// it can earn nothing.
    static double needed_speed_of(const ready_step& step);
    void apply_saved_speed(host_state& host);

    // planner_ready.cpp
    /// @brief Returns the ready steps, most urgent first, without those whose
    /// account is at its maximum.
    std::vector<ready_step>
    collect_ready_steps(std::vector<ready_step>& at_maximum);
    const job_context& context_of(job_run& job);
    static std::int64_t objective_of(const jobs::job& job,
                                     const jobs::queue& queue,
                                     double estimate_factor);
    /// @brief Returns the expected time until a step can start.
    std::int64_t start_delay_of(const job_run& job, const step_run& step) const;
    /// @brief Returns whether a job's steps are left out of this round.
    bool is_parked(const job_run& job) const;
    policy::waiting_step urgency_inputs(job_run& job) const;

    // planner_place.cpp
    void place_waiting_steps();
    /// @brief Returns false when the step has to wait for capacity or advice.
    bool place_step(const ready_step& step);
    /// @brief Returns whether most processors of a service's hosts are in use.
    bool is_busy(std::string_view service) const;
    /// @brief Returns whether nearly all usable processors are in use.
    bool is_full(std::string_view service) const;
    processors processors_of(std::string_view service) const;
    int tasks_within_maximum(job_run& job, const policy::resources& size);
    /// @brief Returns whether a step is in time only if all its tasks start
    /// together.
    bool must_start_whole(const ready_step& step) const;
    void assign(const ready_step& step, int index, int run,
                const candidate& where);

    // planner_hosts.cpp
    /// @brief Returns whether a host answers and is in service, regardless of
    /// refused orders and failed runs.
    bool may_run_work(const host_state& host) const;
    bool is_in_service(const host_state& host, std::string_view service) const;
    /// @brief Returns whether a host is in service and not quarantined.
    bool is_usable(const host_state& host, std::string_view service) const;
    /// @brief Returns whether a step may use suspect hosts: no other host has
    /// been able to take it for a while, though the service is not busy.
    bool may_use_suspect_hosts(const ready_step& step) const;
    /// @brief Returns whether a host that is empty could take a task of a step:
    /// by label, capacity, spread and what the advisor has answered.
    bool can_ever_use(const host_state& host, const ready_step& step) const;
    /// @brief Returns whether all hosts in service that a step could use are
    /// suspect.
    bool needs_suspect_hosts(const ready_step& step) const;
    /// @brief Returns how many tasks of a step a host may run, regardless of
    /// its free capacity.
    int max_tasks_on(const host_state& host, const ready_step& step) const;
    /// @brief Returns the number of a step's tasks that occupy a host.
    static int count_tasks_on(const host_state& host, const ready_step& step);
    /// @brief Returns the free capacity of a host without what is reserved for
    /// other steps.
    policy::resources unreserved_capacity(const host_state& host,
                                          const ready_step& step) const;
    /// @brief Returns the number of tasks of a step that fit on a host now.
    int slots_on(const host_state& host, const ready_step& step) const;
    /// @brief Returns whether a task of a step failed on a host recently.
    bool has_failed_on(const ready_step& step, const host_state& host) const;
    std::vector<candidate> find_candidates(const ready_step& step,
                                           std::vector<candidate>& unknown);

    // planner_held_back.cpp
    /// @brief Records that no task of a step can start in this round.
    void hold_back(const ready_step& step, hold_reason reason);
    /// @brief Logs the steps that have been held back for longest, a few at a
    /// time.
    void log_held_steps(std::array<std::span<const ready_step>, 2> lists);
    void log_held_step(const ready_step& step);

    // planner_idle_cpu.cpp
    /// @brief Stops the runs that use idle CPU time on a host, because a
    /// latency-sensitive task is assigned there or needs the processors.
    void stop_idle_cpu_runs(host_state& host, std::string_view reason);
    /// @brief Returns whether a task that uses idle CPU time may run beside the
    /// latency-sensitive ones of a host: no other host has been able to take it
    /// for a while, it is the only one of its kind there, and they are far
    /// from their targets.
    bool may_share_idle_cpu(const host_state& host,
                            const ready_step& step) const;
    /// @brief Stops the runs that use idle CPU time on a host when a
    /// latency-sensitive one there comes close to its target.
    void protect_targets(host_state& host);

    // planner_advice.cpp
    bool can_use_advice(const ready_step& step);
    /// @brief Returns whether an advice query may be sent for a step now.
    bool may_query(const ready_step& step) const;
    static std::int64_t expected_query_ms(const ready_step& step,
                                          std::size_t hosts);
    /// @brief Returns the number of channels on which queries of a step can be
    /// sent now; one may be kept for the step that has waited longest.
    std::size_t usable_channels(const ready_step& step) const;
    /// @brief Records that a step has a query to send, but no channel.
    void want_channel(const ready_step& step) const;
    /// @brief Finds the step that has waited longest for a channel for long
    /// queries, of the services that are not busy.
    ///
    /// Load pattern: gang steps whose tickets expire before all their tasks
    /// fit ask again and again; in order of urgency alone the last of them
    /// would never be asked about.
    void find_longest_waiting(std::span<const ready_step> steps);
    void hold_hosts(const advice_query& query);
    void send_query(const ready_step& step, std::vector<std::string> workers);
    /// @brief Removes the hosts that a gang step's query should not cover, and
    /// returns what the query has to find.
    query_need narrow_query(const ready_step& step,
                            std::vector<candidate>& unknown,
                            const query_need& whole) const;
    void query_advice(const ready_step& step, std::vector<candidate> unknown,
                      int missing);

    static constexpr std::size_t max_commit_jobs = 1024;
    /// Runs are numbered from 1.
    static constexpr int no_run = 0;

    const base::clock& clock_;
    planner_options options_;
    base::metrics& metrics_;
    jobs::configuration configuration_;
    accepted_queues queues_;
    bool queues_restored_ = false;
    bool queue_rows_rejected_ = false;
    std::set<std::string, std::less<>> evacuated_;
    std::unordered_map<std::string, job_run> jobs_;
    /// Jobs that have not ended, oldest first.
    std::map<std::uint64_t, job_run*> active_;
    std::map<std::string, host_state, std::less<>> hosts_;
    /// Hosts by index; null once a host is removed.
    std::vector<host_state*> host_at_;
    policy::failure_attribution<std::size_t, jobs::task_key> failures_;
    policy::worker_speeds speeds_;
    policy::interference interference_;
    /// Speeds that a former leader learned of workers that are not listed yet.
    std::map<std::string, worker_speed_row, std::less<>> saved_speeds_;
    std::map<std::string, account_usage, std::less<>> accounts_;
    std::map<std::string, policy::allowed_share, std::less<>> allowed_share_;
    std::size_t withdrawn_jobs_ = 0;
    /// Workers whose leases are part of the latest transaction with leases.
    std::set<std::string, std::less<>> leases_in_flight_;
    std::deque<std::string> dirty_;
    /// Effects of the transaction in flight.
    std::optional<std::vector<job_effects>> committing_;
    std::deque<unfinished_change> unfinished_;
    /// Jobs whose rows the store rejects.
    std::set<std::string> suspended_;
    /// Maximum number of jobs in one transaction; small while a job whose rows
    /// are rejected is searched for.
    std::size_t max_jobs_per_commit_ = max_commit_jobs;
    orders outbox_;
    /// Usable hosts by service; valid within one round.
    std::map<std::string, std::vector<host_state*>, std::less<>> round_hosts_;
    /// Quarantined hosts by service; valid within one round.
    std::map<std::string, std::vector<host_state*>, std::less<>>
        round_quarantined_;
    std::map<std::string, processors, std::less<>> round_processors_;
    /// Processors that waiting gang steps need, in millicores.
    std::int64_t round_planned_millicpus_ = 0;
    /// Number of preemption searches in this round.
    int round_preemption_searches_ = 0;
    /// Step that has waited longest for a channel, if it waits too long; valid
    /// within one round.
    const step_run* round_longest_waiting_ = nullptr;
    /// The next long query is that of the step that has waited longest.
    bool long_query_by_age_ = false;
    round_summary round_;
    advice_capacity advice_;
    std::uint64_t configuration_serial_ = 1;
    bool placement_due_ = false;
    /// Earliest time of the next placement round.
    time_point earliest_placement_;
    /// Latest time of the next placement round, due even if nothing has
    /// changed.
    time_point latest_placement_;
    /// Version of the rows that were written last.
    std::int64_t stored_version_ = 0;
    /// Cleared by drop_settled_orders(): most rounds need not look for them in
    /// all jobs.
    bool may_have_outstanding_orders_ = false;
    std::uint64_t next_number_ = 0;
    time_point created_;
    time_point next_sweep_;
    time_point next_lease_check_;
    time_point next_held_log_;
};

} // namespace mustardwick::dispatch
