#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/dispatch/host_state.hpp"
#include "mustardwick/dispatch/orders.hpp"
#include "mustardwick/jobs/configuration.hpp"
#include "mustardwick/jobs/record.hpp"
#include "mustardwick/policy/advice_plan.hpp"

namespace mustardwick::dispatch
{

/// @brief A permission and when it ends.
struct held_ticket
{
    std::string ticket;
    base::steady_time expires;
};

/// @brief Volatile state of one step of one occurrence.
struct step_run
{
    std::map<std::string, held_ticket, std::less<>> tickets;
    /// Workers that the policy does not allow; this never changes for a step.
    std::set<std::string, std::less<>> denied;
    /// Workers on which a task of the step failed.
    std::set<std::string, std::less<>> failed_on;
    /// When the last of the tickets expires.
    base::steady_time tickets_until;
    /// Questions that are not answered yet.
    int open_queries = 0;
    base::steady_time next_query;
    /// Hosts are kept for the step until this time, on which tasks were
    /// stopped.
    base::steady_time preempting_until;
    /// Failures of an all-at-once step count once for each run number.
    int failed_run = 0;
    /// Time before which no task of the step is started again.
    base::steady_time not_before;
};

/// @brief An end of a run whose effect waits to become durable.
struct uncommitted_end
{
    std::string worker;
    std::int64_t worker_incarnation_start_ms = 0;
    std::int64_t number = 0;
};

/// @brief A caller that waits until a change is durable.
struct pending_reply
{
    std::function<void()> done;
    /// The job was never stored and is forgotten.
    std::function<void()> refused;
};

/// @brief What the configuration says of a job, looked up once for each
/// configuration.
struct job_context
{
    std::uint64_t configuration_serial = 0;
    /// Null while the configuration has no such queue.
    const jobs::queue* queue = nullptr;
    /// Null when the account has no maximum.
    const policy::resources* maximum = nullptr;
    account_usage* usage = nullptr;
    std::int64_t objective_ms = 0;
};

/// @brief One job with its durable record and what depends on writing it.
struct job_run
{
    jobs::job specification;
    jobs::job_record record;
    /// By position in record.open, then by step.
    std::vector<std::vector<step_run>> steps;
    std::uint64_t number = 0;
    base::steady_time arrived;
    /// What callers are shown; final states only once they are durable.
    jobs::job_state reported_state = jobs::job_state::queued;
    /// A commit that is done or under way carries the specification.
    bool specification_stored = false;
    /// The rows exist in the store.
    bool durable = false;
    /// Runs that occupy room on workers.
    int runs = 0;
    /// A worker has had one of its tasks under way.
    bool has_started = false;
    bool dirty = false;
    job_context context;
    /// Expected run time of the steps that are left; negative when not known.
    std::int64_t remaining_chain_ms = -1;
    bool removed = false;
    /// Released when the record is durable.
    std::vector<start_order> starts;
    std::vector<uncommitted_end> ends;
    std::vector<pending_reply> replies;
};

} // namespace mustardwick::dispatch
