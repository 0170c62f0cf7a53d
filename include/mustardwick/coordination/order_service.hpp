#pragma once

#include <optional>
#include <string>

#include "mustardwick/base/time_line.hpp"
#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/coordination/worker_leases.hpp"
#include "mustardwick/ports/worker.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

/// @brief Forwards the planner's orders to the workers whose leases this daemon
/// holds.
class order_service
{
public:
    order_service(worker_leases& leases, ports::workers workers,
                  const config_store& config, base::time_line& events);

    /// @brief Sends orders to a worker under the lease that they name; returns
    /// the attempts that were started and stopped.
    ///
    /// Starts on a host that is out of service are sent as stops, so that these
    /// attempts can never start later. Empty, with last_error(), when this
    /// daemon does not hold that lease or the worker did not execute the
    /// orders.
    std::optional<wire::deliver_answer> execute(const wire::deliver& orders);

private:
    std::vector<std::string> prepare_orders(const wire::deliver& orders,
                                            ports::task_orders& out) const;

    worker_leases& leases_;
    ports::workers workers_;
    const config_store& config_;
    base::time_line& events_;
};

} // namespace mustardwick::coordination
