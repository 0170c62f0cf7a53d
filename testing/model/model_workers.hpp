#pragma once

#include <optional>
#include <string>

#include "mustardwick/ports/worker.hpp"

namespace mustardwick::testing
{

class model_cell;

/// @brief A daemon's calls to the workers, with injected connection faults.
class model_workers
{
public:
    model_workers(model_cell& cell, std::size_t daemon)
        : cell_(cell), daemon_(daemon)
    {
    }

    std::optional<ports::lease_state> open(const ports::worker_address& worker,
                                           const std::string& holder,
                                           std::chrono::milliseconds ttl);
    std::optional<ports::lease_state>
    renew(const ports::worker_address& worker, const std::string& lease,
          std::chrono::milliseconds ttl, const std::vector<std::string>& ended);
    std::optional<ports::task_orders_result>
    order(const ports::worker_address& worker, const std::string& lease,
          const ports::task_orders& orders);
    wire::forward_answer request(const ports::worker_address& worker,
                                 const ports::target_request& call);
    std::optional<ports::attempt_answer>
    attempt(const ports::worker_address& worker, const std::string& lease,
            const std::string& attempt);

private:
    /// @brief Returns whether a call gets through to the worker.
    ///
    /// First applies the pause of a preceding step pause_at_send.
    bool reaches(const std::string& worker);

    /// @brief Returns whether the answer gets back to the daemon.
    bool answers(const std::string& worker);

    model_cell& cell_;
    std::size_t daemon_;
};

} // namespace mustardwick::testing
