#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mustardwick/jobs/job.hpp"
#include "mustardwick/policy/types.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::jobs
{

/// @brief What a worker announces about itself.
struct worker_info
{
    std::string id;
    /// Start time of the worker's incarnation in Unix milliseconds; 0 when
    /// unknown.
    std::int64_t incarnation_start_ms = 0;
    std::string service;
    wire::endpoint address;
    std::string failure_domain;
    /// The kind of the host and the name of its rack, among others.
    std::vector<std::string> labels;
    std::string rack;
    policy::resources capacity;
    bool draining = false;
    /// Minimum time that is left while the worker drains.
    std::int64_t remaining_ms = 0;

    bool operator==(const worker_info&) const = default;
};

/// @brief How a run of a task ended.
enum class run_outcome
{
    done,
    failed,
    stopped,
    /// The worker's lease expired.
    lease_expired,
    /// Another task of the same gang step ended.
    gang_member_ended,
    /// The other tasks of a gang step did not arrive in time.
    gang_incomplete
};

/// @brief A run that is in progress on a worker.
struct running_run
{
    task_key task;
    int run = 0;
    /// Latest checkpoint; empty means none.
    std::string checkpoint;
    /// Tail latency in milliseconds of a serving task, else millicores used.
    std::int64_t load = 0;
};

/// @brief A run that has ended and is not acknowledged yet.
struct ended_run
{
    /// Position in the worker's list of ends, from 1.
    std::int64_t number = 0;
    task_key task;
    int run = 0;
    run_outcome outcome = run_outcome::done;
    std::string checkpoint;
};

/// @brief A worker's reply to a renewal of its lease.
struct worker_report
{
    std::int64_t clock_ms = 0;
    std::int64_t incarnation_start_ms = 0;
    std::vector<running_run> running;
    std::vector<ended_run> ended;
    /// False if another incarnation than the one that was meant may have
    /// reported: earlier calls to the worker need not be void.
    bool is_verified = true;
};

/// @brief A worker's reply to an order.
enum class order_result
{
    accepted,
    /// Another daemon has sent orders with a newer fencing token.
    fenced,
    /// The run number is not above one that ended or was stopped there.
    stale_run,
    /// The order's deadline had passed on the worker's clock.
    expired,
    insufficient_capacity,
    /// The ticket of the advice service was not accepted.
    bad_ticket,
    /// The worker is unhealthy and did not carry out the order.
    unhealthy,
    /// Another incarnation of the worker has the address, or another worker; it
    /// was not sent the order, or has not carried it out.
    other_incarnation,
    /// A later call of this leader has reached the worker before, with a higher
    /// fencing token; the order was not carried out.
    overtaken,
    /// The order was malformed.
    invalid,
    /// No byte of the order was sent.
    not_sent,
    /// No reply: the order may still be carried out before its deadline.
    unknown
};

struct order_reply
{
    order_result result = order_result::unknown;
    /// The worker's clock; 0 when it did not reply.
    std::int64_t clock_ms = 0;
    /// False if another incarnation than the one that was meant may have
    /// replied, because the worker does not keep its connections.
    bool is_verified = true;
};

} // namespace mustardwick::jobs
