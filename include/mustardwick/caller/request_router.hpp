#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/base/sharded_map.hpp"
#include "mustardwick/coordination/cluster_view.hpp"
#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/coordination/request_owner.hpp"
#include "mustardwick/policy/admission.hpp"
#include "mustardwick/policy/retry_budget.hpp"
#include "mustardwick/wire/messages.hpp"
#include "mustardwick/wire/rpc.hpp"

namespace mustardwick::caller
{

/// @brief A request that passed the checks of its queue.
struct admitted_request
{
    std::string id;
    std::string team;
    std::string queue;
    std::string body;
    bool idempotent = false;
    std::chrono::milliseconds timeout{0};
};

/// @brief Dependencies of request_router; the referenced objects outlive it.
struct request_router_links
{
    const coordination::config_store& config;
    const coordination::cluster_view& view;
    coordination::request_owner& owner;
    wire::rpc_client& peers;
    const base::clock& clock;
    base::metrics& metrics;
    std::string self;
    std::string failure_domain;
    /// Returns whether the platform lists a host as leaving.
    std::function<bool(const std::string&)> is_leaving;
};

/// @brief Selects a host for a request and forwards it to the daemon that owns
/// the host.
class request_router
{
public:
    explicit request_router(request_router_links links);

    /// @brief Tries hosts until the request is done or may not be tried again.
    ///
    /// Gives up when the deadline has passed or cannot be met, when the outcome
    /// is unknown and a retry is not allowed, or when no host is available.
    /// Blocks the calling thread.
    wire::forward_answer route(const admitted_request& request);

private:
    struct load
    {
        int outstanding = 0;
        base::steady_time avoid_until{};
    };

    struct queue_state
    {
        policy::retry_budget retries;
        policy::admission_control<> admission;
        /// Requests that this daemon has admitted and not yet answered.
        int unanswered = 0;
        /// Those of them that are with the owner of a host, which may be this
        /// daemon.
        int sent = 0;
    };

    std::optional<std::string> choose_host(const std::set<std::string>& tried);
    std::vector<std::string>
    candidates(const coordination::configuration& config,
               const std::set<std::string>& tried, bool own_domain);
    double load_of(const coordination::configuration& config,
                   const std::string& host);
    std::size_t random_below(std::size_t n);
    wire::forward_answer send(const admitted_request& request,
                              const std::string& host,
                              base::steady_time deadline);
    wire::forward_answer forward(const std::string& owner,
                                 const wire::forward_request& call,
                                 std::chrono::milliseconds left);
    bool may_retry(const std::string& queue);
    bool cannot_meet_deadline(const std::string& queue,
                              base::steady_time deadline);
    void record_service_time(const std::string& queue,
                             base::steady_time started);
    wire::forward_answer try_hosts_until(const admitted_request& request,
                                         base::steady_time deadline);

    request_router_links links_;
    base::sharded_map<load> loads_;
    std::mutex mutex_;
    std::mt19937 random_;
    base::sharded_map<queue_state> queues_;
};

} // namespace mustardwick::caller
