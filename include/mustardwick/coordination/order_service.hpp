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

/// @brief Hands the planner's orders to the workers this daemon owns.
class order_service
{
public:
    order_service(worker_leases& leases, ports::workers workers,
                  const config_store& config, base::time_line& events);

    /// @brief Carries out orders under the lease they name.
    ///
    /// Starts on a host that is out of service become stops, so that they can
    /// never start later.
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
