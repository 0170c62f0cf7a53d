#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/dispatch/host_state.hpp"
#include "mustardwick/dispatch/job_run.hpp"
#include "mustardwick/dispatch/orders.hpp"
#include "mustardwick/jobs/configuration.hpp"
#include "mustardwick/policy/urgency.hpp"

namespace mustardwick::dispatch
{

struct planner_options
{
    /// Longest lease that a worker grants.
    std::chrono::milliseconds max_lease{6000};
    /// Validity of a start order on the worker's clock. An order without an
    /// answer is void after it, which bounds how long its room stays blocked.
    std::chrono::milliseconds start_validity{1500};
    /// How long a former leader may go on renewing leases.
    std::chrono::milliseconds former_leader_authority{2500};
    /// How long the state of a finished job can be queried.
    std::chrono::milliseconds retention{120'000};
    /// Longest time that a worker takes to stop a run.
    std::chrono::milliseconds stop_grace{900};
    /// How early a timed occurrence may start.
    std::chrono::milliseconds early_start{200};
};

/// @brief Outcome of a cancellation.
enum class cancel_result
{
    cancelled,
    unknown_job
};

/// @brief Why work waits, as of the last placement round.
struct round_summary
{
    std::size_t active_jobs = 0;
    std::size_t ready_steps = 0;
    /// Steps whose account is at its maximum.
    std::size_t at_maximum = 0;
    /// Steps that wait for an answer of the advisor.
    std::size_t awaiting_advice = 0;
    /// Steps for which too few hosts have room.
    std::size_t without_capacity = 0;
    /// Steps that wait because more valuable ones wait.
    std::size_t deferred = 0;
    std::size_t usable_hosts = 0;
    std::int64_t free_millicpus = 0;
};

/// @brief Decides about all submitted work of a cell; does no I/O.
///
/// State changes are made durable by the caller: next_commit() hands out the
/// rows that changed, commit_done() releases what depended on them. A start is
/// released only once its assignment is durable, so that a successor knows of
/// every worker on which a task may be running.
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
    /// @brief Restores a job that a former leader stored.
    void restore(jobs::job specification, jobs::job_record record);
    void worker_listed(const jobs::worker_info& info);
    void worker_unlisted(const std::string& id);
    void worker_reported(const std::string& id, const jobs::worker_report& it);
    /// @brief A renewal was not answered.
    void worker_unresponsive(const std::string& id);
    void start_answered(const start_order& order,
                        const jobs::order_reply& reply);
    void stop_answered(const stop_order& order, const jobs::order_reply& reply);
    void advice_answered(const advice_query& query,
                         std::optional<std::vector<advice_ticket>> allowed,
                         time_point asked);
    /// @}

    /// @name Callers
    /// @{
    /// @brief Calls back once the job is durable; the same id is one job.
    void submit(
        jobs::job specification, accepted done, refused on_refused = [] {});
    /// @brief Forgets the jobs of which no transaction has been sent, and tells
    /// their callers. Returns their number.
    std::size_t reject_unsent_jobs();
    void cancel(const std::string& id, const cancelled& done);
    std::optional<jobs::job_state> state_of(const std::string& id) const;
    /// @brief Accepted jobs of a queue of which no task has started.
    std::size_t waiting_jobs(std::string_view queue) const;
    /// @}

    /// @name Durable state
    /// @{
    /// @brief Rows to write now; empty when nothing changed or a commit is
    /// under way.
    std::vector<row_change> next_commit(std::size_t max_rows,
                                        std::size_t max_bytes);
    void commit_done();
    bool commit_in_flight() const
    {
        return committing_.has_value();
    }
    bool has_changes() const
    {
        return !dirty_.empty();
    }
    /// @}

    /// @brief Decides placements and takes what is to be sent.
    ///
    /// Questions that no channel could take are not asked: while they waited,
    /// the room that they are about would be taken by others.
    orders take_orders(advice_capacity advice);

    /// @brief The deadline of a lease that is renewed now; none before the
    /// worker's clock is known. Notes that the lease may last until then.
    std::optional<std::int64_t> lease_deadline(const std::string& id);
    std::int64_t acknowledged_end(const std::string& id) const;
    /// @brief Ends were reported whose effects are not durable yet.
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
    struct effects
    {
        std::vector<start_order> starts;
        std::vector<uncommitted_end> ends;
        std::vector<std::pair<std::string, jobs::job_state>> states;
        std::vector<pending_reply> replies;
        std::vector<std::string> removed;
    };
    /// Thousandths of processors of a service's hosts.
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
    job_run* find_job(const std::string& id);
    void mark_dirty(job_run& job);
    void open_occurrence(job_run& job, std::int64_t number);
    void open_due_occurrences(job_run& job);
    void close_occurrence(job_run& job, std::size_t position);
    void finish_job(job_run& job, jobs::job_state state);
    void drop_expired_jobs();
    account_usage& usage_of(const std::string& account);
    void release_starts(std::vector<start_order> starts);

    // planner_room.cpp
    /// @brief Tasks of a step for which a host has room now or soon.
    int potential_slots(const host_state& host, const ready_step& step) const;
    /// @brief False while more urgent all-at-once steps wait for all the room
    /// that can be planned ahead.
    bool may_plan_ahead(const ready_step& step) const;
    /// @brief Keeps room on hosts that are known to be allowed for an
    /// all-at-once step until all its tasks fit.
    void reserve_capacity(const ready_step& step);
    /// @brief The task can be stopped and resumed later at little cost, and is
    /// less urgent than the step.
    bool may_preempt(const ready_step& step, const running& it);
    /// @brief Stops tasks so that an all-at-once step fits on the hosts that
    /// are known to be allowed.
    void preempt_to_fit(const ready_step& step);
    /// @brief Usable hosts that are known to be allowed for a step.
    std::vector<host_state*> allowed_hosts(const ready_step& step);

    // planner_runs.cpp
    void add_run(host_state& host, const job_run& job,
                 const jobs::task_key& task, int run, run_phase phase);
    void remove_run(host_state& host, const run_key& key);
    jobs::task_record* find_task(const jobs::task_key& task);
    step_run* find_step(const jobs::task_key& task);
    void requeue(const jobs::task_key& task, int run,
                 const std::string& checkpoint);
    void run_lost(host_state& host, const run_key& key,
                  std::string_view reason);
    void apply_end(host_state& host, const jobs::ended_run& end);
    void task_done(job_run& job, const jobs::task_key& task);
    void task_failed(job_run& job, const jobs::task_key& task, int run);
    void stop_run(host_state& host, running& it);
    /// @brief Repeats a stop that has had no effect for a while.
    void repeat_stop(host_state& host, running& it);
    void stop_step_runs(const job_run& job, std::int64_t occurrence, int step);
    /// @brief Settles the runs of a worker's former life.
    void begin_incarnation(host_state& host, const jobs::worker_report& report);
    void handle_expired_leases();
    void reconcile_with_report(host_state& host,
                               const jobs::worker_report& report);
    void reconcile_listed_run(host_state& host,
                              const jobs::running_run& listed);
    void mark_started(const std::string& id);
    bool is_terminated(const running& it, std::int64_t clock_ms) const;
    std::int64_t estimated_clock(const host_state& host) const;
    void update_clock(host_state& host, std::int64_t clock_ms);

    // planner_place.cpp
    void place_waiting_steps();
    std::vector<ready_step> collect_ready_steps();
    bool can_use_advice(const ready_step& step);
    /// @brief False when the step has to wait for room or advice.
    bool place_step(const ready_step& step);
    /// @brief Most processors of a service's hosts are in use.
    bool is_busy(std::string_view service) const;
    processors processors_of(std::string_view service) const;
    std::vector<candidate> find_candidates(const ready_step& step,
                                           std::vector<candidate>& unknown);
    const job_context& context_of(job_run& job);
    int tasks_within_maximum(job_run& job, const policy::resources& size);
    bool is_usable(const host_state& host, std::string_view service) const;
    /// @brief Tasks of a step that a host may run, whatever room it has.
    int max_tasks_on(const host_state& host, const ready_step& step) const;
    /// @brief Free room of a host without what is kept for other steps.
    policy::resources unreserved_capacity(const host_state& host,
                                          const ready_step& step) const;
    /// @brief Tasks of a step for which a host has room now.
    int slots_on(const host_state& host, const ready_step& step) const;
    static std::int64_t objective_of(const job_run& job,
                                     const jobs::queue& queue);
    policy::waiting_step urgency_inputs(job_run& job);
    void assign(const ready_step& step, int index, int run,
                const candidate& where);
    void hold_hosts(const advice_query& query);
    void send_query(const ready_step& step, std::vector<std::string> workers);
    /// @brief Leaves the hosts about which an all-at-once step should ask.
    query_need narrow_query(const ready_step& step,
                            std::vector<candidate>& unknown,
                            const query_need& whole) const;
    void query_advice(const ready_step& step, std::vector<candidate> unknown,
                      int missing);

    const base::clock& clock_;
    planner_options options_;
    base::metrics& metrics_;
    jobs::configuration configuration_;
    std::set<std::string, std::less<>> evacuated_;
    std::unordered_map<std::string, job_run> jobs_;
    /// Jobs that have not ended, oldest first.
    std::map<std::uint64_t, std::string> active_;
    std::map<std::string, host_state, std::less<>> hosts_;
    std::map<std::string, account_usage, std::less<>> accounts_;
    std::map<std::string, policy::allowed_share, std::less<>> allowed_share_;
    std::deque<std::string> dirty_;
    std::optional<effects> committing_;
    orders outbox_;
    /// Usable hosts by service, for the length of one round.
    std::map<std::string, std::vector<host_state*>, std::less<>> round_hosts_;
    std::map<std::string, processors, std::less<>> round_processors_;
    /// Thousandths of processors that waiting all-at-once steps need.
    std::int64_t round_planned_millicpus_ = 0;
    /// Searches for tasks to stop in this round.
    int round_preemption_searches_ = 0;
    round_summary round_;
    advice_capacity advice_;
    std::uint64_t configuration_serial_ = 1;
    bool placement_due_ = false;
    /// No round before this time, and one at the latest at that one.
    time_point earliest_placement_;
    time_point next_placement_;
    std::uint64_t next_number_ = 0;
    time_point created_;
    time_point next_sweep_;
};

} // namespace mustardwick::dispatch
