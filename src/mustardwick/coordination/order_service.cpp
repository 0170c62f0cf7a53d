#include "mustardwick/coordination/order_service.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/error.hpp"

namespace mustardwick::coordination
{

order_service::order_service(worker_leases& leases, ports::workers workers,
                             const config_store& config,
                             base::time_line& events)
    : leases_(leases), workers_(std::move(workers)), config_(config),
      events_(events)
{
}

/// Fills the orders for the worker; returns the attempts that must not start.
std::vector<std::string>
order_service::prepare_orders(const wire::deliver& orders,
                              ports::task_orders& out) const
{
    out.stops = orders.stops;
    // With a stale configuration the failure domain may be out of service by
    // now. The starts are left out, and the planner sends them again later.
    if (!config_.is_fresh())
        return {};
    if (config_.current()->in_service(orders.host))
    {
        out.starts = orders.starts;
        return {};
    }
    std::vector<std::string> refused;
    for (const auto& it : orders.starts)
        refused.push_back(it.attempt);
    out.stops.insert(out.stops.end(), refused.begin(), refused.end());
    return refused;
}

std::optional<wire::deliver_answer>
order_service::execute(const wire::deliver& orders)
{
    const auto lease = leases_.lease_of(orders.host);
    if (!lease)
        return std::nullopt;
    if (lease->lease != orders.lease)
        return base::fail(base::error_kind::conflict,
                          "the orders name another lease of host " +
                              orders.host,
                          "send the orders again under the current lease");
    ports::task_orders out;
    const auto refused = prepare_orders(orders, out);
    if (out.starts.empty() && out.stops.empty())
        return wire::deliver_answer{};
    const auto result = workers_.order(lease->worker, lease->lease, out);
    if (!result)
    {
        if (base::last_error().kind == base::error_kind::conflict)
            leases_.invalidate(orders.host, lease->lease);
        return std::nullopt;
    }
    for (const auto& it : result->started)
        events_.record("task_started", it, orders.host);
    if (!refused.empty())
        events_.record("starts_refused", orders.host, "out of service");
    return wire::deliver_answer{result->started, result->stopped};
}

} // namespace mustardwick::coordination
