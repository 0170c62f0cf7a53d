#include <algorithm>
#include <array>
#include <cstdlib>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// How long a host that refused an order gets no new work.
constexpr milliseconds refusal_backoff{300};
/// A reply whose clock differs by more than this from the estimate is logged.
constexpr std::int64_t max_clock_deviation_ms = 1000;

std::string_view name_of(jobs::order_result result)
{
    constexpr std::array<std::string_view, 12> names = {
        "accepted",  "fenced",     "stale_run", "expired",
        "no_room",   "bad_ticket", "unhealthy", "other_life",
        "overtaken", "invalid",    "not_sent",  "unknown"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace

void planner::start_answered(const start_order& order,
                             const jobs::order_reply& reply)
{
    using jobs::order_result;
    const auto found = hosts_.find(order.worker);
    if (found == hosts_.end())
        return;
    auto& host = found->second;
    // Without the worker's clock no report can be known to be later than the
    // start.
    const auto result =
        reply.result == order_result::accepted && reply.clock_ms == 0
            ? order_result::unknown
            : reply.result;
    const run_key key{order.task, order.run};
    const auto it = host.runs.find(key);
    // Another incarnation may have accepted it, which the next report tells.
    const bool is_settled =
        result != order_result::unknown &&
        (reply.is_verified || result != order_result::accepted);
    if (it != host.runs.end() && is_settled)
        it->second.outstanding_until.reset();
    // Also with a ticket, which may be that of the next incarnation.
    else if (it != host.runs.end() && !reply.is_verified)
        it->second.outstanding_until =
            result == order_result::unknown
                ? std::max(it->second.outstanding_until.value_or(time_point()),
                           clock_.now() + options_.max_delivery_delay)
                : clock_.now();
    else if (it == host.runs.end() && result != order_result::unknown)
        order_answered_late(host, order);
    const bool has_clock =
        reply.clock_ms != 0 && reply.result != order_result::other_incarnation;
    if (has_clock && !reply.is_verified)
        host.lease_bound = std::max(host.lease_bound, longest_lease_from_now());
    // What a former incarnation replied says nothing about the present one,
    // which was sent a stop of each run that it does not list.
    if (order.worker_incarnation_start_ms != host.incarnation_start_ms)
        return;
    log_unexpected_clock(host, order, reply);
    // Another worker at the address answers with its own clock.
    if (has_clock && reply.is_verified)
    {
        count_granted_lease(host, order.deadline_ms - reply.clock_ms);
        update_clock(host, reply.clock_ms);
    }
    if (it == host.runs.end())
        return;
    if (result == order_result::accepted)
    {
        metrics_.add("mustardwick_starts_total");
        it->second.started_clock_ms = reply.clock_ms;
        it->second.confirmed = true;
        mark_started(order.task.job);
        it->second.started = clock_.now();
        if (it->second.phase == run_phase::ordered)
            it->second.phase = run_phase::started;
        return;
    }
    metrics_.add("mustardwick_starts_refused_total");
    log_event(log_level::info, "planner", "start_not_accepted",
              {{"task", to_string(order.task)},
               {"run", order.run},
               {"worker", order.worker},
               {"result", name_of(result)}});
    // The run may still exist: an order without a reply can take effect until
    // its deadline, and a successor may control the run of a fenced one.
    if (result == order_result::unknown || result == order_result::fenced)
        return;
    if (result == order_result::bad_ticket)
    {
        if (auto* step = find_step(order.task))
            step->access.reset(host.index);
    }
    else if (result == order_result::invalid)
        // The fault is in the order: the host can still run other tasks.
        avoid_host(order.task, host);
    else if (result != order_result::stale_run &&
             result != order_result::expired)
        host.avoid_until =
            std::max(host.avoid_until, clock_.now() + refusal_backoff);
    run_lost(host, key, "the order was not accepted");
    if (auto* earlier = outstanding_order_on(host, order.task))
        earlier->was_refused |= result == order_result::stale_run;
}

void planner::log_unexpected_clock(const host_state& host,
                                   const start_order& order,
                                   const jobs::order_reply& reply) const
{
    const auto expected = estimated_clock(host);
    if (reply.clock_ms == 0 || host.clock_ms == 0 ||
        std::abs(reply.clock_ms - expected) <= max_clock_deviation_ms)
        return;
    log_event(log_level::warning, "planner", "start_answered_by_other_clock",
              {{"task", to_string(order.task)},
               {"run", order.run},
               {"worker", order.worker},
               {"result", name_of(reply.result)},
               {"clock_ms", reply.clock_ms},
               {"expected_clock_ms", expected},
               {"deadline_ms", order.deadline_ms}});
}

void planner::stop_answered(const stop_order& order,
                            const jobs::order_reply& reply)
{
    const auto found = hosts_.find(order.worker);
    if (found == hosts_.end() || reply.result != jobs::order_result::accepted ||
        order.worker_incarnation_start_ms != found->second.incarnation_start_ms)
        return;
    if (reply.is_verified)
        update_clock(found->second, reply.clock_ms);
    const auto it = found->second.runs.find({order.task, order.run});
    if (it != found->second.runs.end())
        it->second.stopped_clock_ms = reply.clock_ms;
}

} // namespace mustardwick::dispatch
