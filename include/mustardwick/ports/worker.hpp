#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/wire/endpoint.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::ports
{

/// @brief Name and network address of a worker.
struct worker_address
{
    wire::endpoint where;
    /// Distinguishes the workers that share an address.
    std::string name;
};

/// @brief State that a worker reports when its lease is opened or renewed.
struct lease_state
{
    std::string lease;
    /// Task attempts that run under the lease; filled only by open().
    std::vector<std::string> running;
    /// Request attempts that the target still serves; filled only by open().
    std::vector<std::string> requests;
    /// Ended attempts that have not been acknowledged.
    std::vector<wire::attempt_report> ended;
};

/// @brief One lease of a group renewal.
struct renewal
{
    std::string worker;
    std::string lease;
    /// Ended attempts that the worker need not report again.
    std::vector<std::string> acknowledged;
};

enum class renewal_state
{
    renewed,
    /// The worker has closed the lease, or the lease has expired.
    closed,
    unreachable
};

struct renewal_result
{
    renewal_state state = renewal_state::unreachable;
    std::vector<wire::attempt_report> ended;
};

struct task_orders
{
    std::vector<wire::start_order> starts;
    std::vector<std::string> stops;
};

struct task_orders_result
{
    std::vector<std::string> started;
    std::vector<std::string> stopped;
};

/// @brief State of a request attempt as known to its worker.
enum class attempt_state
{
    /// The worker has no record of the lease.
    unknown,
    never_started,
    running,
    done
};

struct attempt_answer
{
    attempt_state state = attempt_state::unknown;
    int status = 0;
    std::string body;
};

/// @brief A request for the target on a worker.
struct target_request
{
    std::string lease;
    std::string attempt;
    std::string queue;
    std::string body;
    std::chrono::milliseconds timeout{0};
    bool idempotent = false;
};

/// @brief HTTP client of the workers.
///
/// Relies on the following guarantees of a worker: it has at most one open
/// lease, opening one closes the previous one, orders under a closed or expired
/// lease are rejected, and an attempt id is started at most once.
class worker_client
{
public:
    explicit worker_client(base::metrics& metrics);
    ~worker_client();
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;

    /// @brief Opens a lease, which closes the previous one.
    std::optional<lease_state> open(const worker_address& worker,
                                    const std::string& holder,
                                    std::chrono::milliseconds ttl);

    /// @brief Renews a lease and acknowledges ended attempts.
    ///
    /// error_kind::conflict when the lease is closed.
    std::optional<lease_state> renew(const worker_address& worker,
                                     const std::string& lease,
                                     std::chrono::milliseconds ttl,
                                     const std::vector<std::string>& ended);

    /// @brief Renews the leases of workers that share an address in one call.
    ///
    /// One call per lease would cost an owner of 89 workers about 8 KB/s, four
    /// times the budget for control traffic. The results are in the order of
    /// the leases.
    std::vector<renewal_result> renew_group(const wire::endpoint& where,
                                            std::span<const renewal> leases,
                                            std::chrono::milliseconds ttl);

    /// @brief Starts and stops tasks under a lease.
    std::optional<task_orders_result> order(const worker_address& worker,
                                            const std::string& lease,
                                            const task_orders& orders);

    /// @brief Sends a request to the target.
    ///
    /// The outcome is `refused` only when nothing was sent or the worker
    /// rejected the lease; it is `unknown` whenever the target may have run the
    /// request.
    wire::forward_answer request(const worker_address& worker,
                                 const target_request& call);

    /// @brief Queries the state of a request attempt sent under a lease.
    ///
    /// A worker that was restarted has no record of the lease and reports
    /// attempt_state::unknown.
    std::optional<attempt_answer> attempt(const worker_address& worker,
                                          const std::string& lease,
                                          const std::string& attempt);

    /// @brief Returns the bytes of control traffic: leases, orders and reports.
    std::uint64_t control_bytes() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief Requirements on a client of the workers.
template <typename Workers>
concept worker_service = requires(Workers workers, const worker_address& worker,
                                  const std::string& text,
                                  std::chrono::milliseconds time,
                                  const std::vector<std::string>& texts,
                                  const task_orders& orders,
                                  const target_request& call)
{
    {
        workers.open(worker, text, time)
        } -> std::same_as<std::optional<lease_state>>;
    {
        workers.renew(worker, text, time, texts)
        } -> std::same_as<std::optional<lease_state>>;
    {
        workers.order(worker, text, orders)
        } -> std::same_as<std::optional<task_orders_result>>;
    {
        workers.request(worker, call)
        } -> std::same_as<wire::forward_answer>;
    {
        workers.attempt(worker, text, text)
        } -> std::same_as<std::optional<attempt_answer>>;
};

/// @brief A worker service that renews several leases in one call.
template <typename Workers>
concept group_renewal_service = requires(Workers workers,
                                         const wire::endpoint& where,
                                         std::span<const renewal> leases,
                                         std::chrono::milliseconds ttl)
{
    {
        workers.renew_group(where, leases, ttl)
        } -> std::same_as<std::vector<renewal_result>>;
};

/// @brief Renews a group of leases with one call per lease.
template <typename Service>
std::vector<renewal_result>
renew_each(Service& service, const wire::endpoint& where,
           std::span<const renewal> leases, std::chrono::milliseconds ttl)
{
    std::vector<renewal_result> out;
    for (const auto& it : leases)
    {
        const auto state =
            service.renew({where, it.worker}, it.lease, ttl, it.acknowledged);
        if (state)
            out.push_back({renewal_state::renewed, state->ended});
        else if (base::last_error().kind == base::error_kind::conflict)
            out.push_back({renewal_state::closed, {}});
        else
            out.push_back({renewal_state::unreachable, {}});
    }
    return out;
}

/// @brief Type-erased reference to a worker service, which must outlive it.
class workers
{
public:
    template <worker_service Service>
    explicit workers(Service& service)
        : open_(
              [&service](const worker_address& worker,
                         const std::string& holder,
                         std::chrono::milliseconds ttl)
              {
                  return service.open(worker, holder, ttl);
              }),
          renew_(
              [&service](const worker_address& worker, const std::string& lease,
                         std::chrono::milliseconds ttl,
                         const std::vector<std::string>& ended)
              {
                  return service.renew(worker, lease, ttl, ended);
              }),
          renew_group_(
              [&service](const wire::endpoint& where,
                         std::span<const renewal> leases,
                         std::chrono::milliseconds ttl)
              {
                  if constexpr (group_renewal_service<Service>)
                      return service.renew_group(where, leases, ttl);
                  else
                      return renew_each(service, where, leases, ttl);
              }),
          order_(
              [&service](const worker_address& worker, const std::string& lease,
                         const task_orders& orders)
              {
                  return service.order(worker, lease, orders);
              }),
          request_(
              [&service](const worker_address& worker,
                         const target_request& call)
              {
                  return service.request(worker, call);
              }),
          attempt_(
              [&service](const worker_address& worker, const std::string& lease,
                         const std::string& attempt)
              {
                  return service.attempt(worker, lease, attempt);
              })
    {
    }

    std::optional<lease_state> open(const worker_address& worker,
                                    const std::string& holder,
                                    std::chrono::milliseconds ttl) const
    {
        return open_(worker, holder, ttl);
    }

    std::optional<lease_state>
    renew(const worker_address& worker, const std::string& lease,
          std::chrono::milliseconds ttl,
          const std::vector<std::string>& ended) const
    {
        return renew_(worker, lease, ttl, ended);
    }

    std::vector<renewal_result> renew_group(const wire::endpoint& where,
                                            std::span<const renewal> leases,
                                            std::chrono::milliseconds ttl) const
    {
        return renew_group_(where, leases, ttl);
    }

    std::optional<task_orders_result> order(const worker_address& worker,
                                            const std::string& lease,
                                            const task_orders& orders) const
    {
        return order_(worker, lease, orders);
    }

    wire::forward_answer request(const worker_address& worker,
                                 const target_request& call) const
    {
        return request_(worker, call);
    }

    std::optional<attempt_answer> attempt(const worker_address& worker,
                                          const std::string& lease,
                                          const std::string& attempt) const
    {
        return attempt_(worker, lease, attempt);
    }

private:
    std::function<std::optional<lease_state>(
        const worker_address&, const std::string&, std::chrono::milliseconds)>
        open_;
    std::function<std::optional<lease_state>(
        const worker_address&, const std::string&, std::chrono::milliseconds,
        const std::vector<std::string>&)>
        renew_;
    std::function<std::vector<renewal_result>(const wire::endpoint&,
                                              std::span<const renewal>,
                                              std::chrono::milliseconds)>
        renew_group_;
    std::function<std::optional<task_orders_result>(
        const worker_address&, const std::string&, const task_orders&)>
        order_;
    std::function<wire::forward_answer(const worker_address&,
                                       const target_request&)>
        request_;
    std::function<std::optional<attempt_answer>(
        const worker_address&, const std::string&, const std::string&)>
        attempt_;
};

} // namespace mustardwick::ports
