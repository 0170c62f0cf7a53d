#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/jobs/job.hpp"
#include "mustardwick/jobs/worker.hpp"

namespace mustardwick::dispatch
{

/// @brief Order to start one run on a worker.
struct start_order
{
    std::string worker;
    jobs::task_key task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    /// Ticket of the advice service; empty when none is needed.
    std::string ticket;
    /// Expiry of the ticket.
    base::steady_time ticket_expires = base::steady_time::max();
    /// Worker clock time after which the order has no effect.
    std::int64_t deadline_ms = 0;
    /// The worker's incarnation that the order was decided for.
    std::int64_t worker_incarnation_start_ms = 0;
    /// The host was chosen although it is suspect.
    bool uses_suspect_host = false;
};

/// @brief Order to stop one run on a worker.
struct stop_order
{
    std::string worker;
    jobs::task_key task;
    int run = 0;
    /// The worker's incarnation that the order was decided for.
    std::int64_t worker_incarnation_start_ms = 0;
};

/// @brief Number of advice queries that can be sent now.
struct advice_capacity
{
    std::size_t free = 0;
    /// Number of those that may be long queries.
    std::size_t free_for_long = 0;
};

/// A query is long when it is expected to take more than this. Queries for
/// urgent queues take much less and must find a free channel at any time.
inline constexpr std::int64_t long_query_ms = 150;

/// @brief Asks the advisor which of the given workers may run a step.
struct advice_query
{
    std::string job;
    /// job_run::number of the job that asks.
    std::uint64_t job_number = 0;
    std::int64_t occurrence = 0;
    int step = 0;
    std::vector<std::string> workers;
    std::int64_t expected_ms = 0;

    bool is_long() const
    {
        return expected_ms > long_query_ms;
    }
};

/// @brief Permission to run a step on a worker.
struct advice_ticket
{
    std::string worker;
    std::string ticket;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(worker, ticket);
    }
};

/// @brief Orders and queries that the planner's caller has to send.
struct orders
{
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<advice_query> queries;
};

} // namespace mustardwick::dispatch
