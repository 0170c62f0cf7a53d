#pragma once

#include <atomic>
#include <chrono>
#include <string>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/base/time_line.hpp"
#include "mustardwick/caller/authenticator.hpp"
#include "mustardwick/caller/claim_resolver.hpp"
#include "mustardwick/caller/job_service.hpp"
#include "mustardwick/caller/request_router.hpp"
#include "mustardwick/http/message.hpp"

namespace mustardwick::caller
{

/// @brief Dependencies of caller_api; the referenced objects outlive it.
struct caller_api_links
{
    const authenticator& keys;
    const coordination::config_store& config;
    request_router& router;
    claim_resolver& claims;
    job_service& jobs;
    base::time_line& events;
    base::metrics& metrics;
    /// Upper bound of a request's deadline_ms.
    std::chrono::milliseconds max_request_time;
};

/// @brief HTTP API for callers: /v1/requests and /v1/jobs.
class caller_api
{
public:
    explicit caller_api(caller_api_links links);

    /// @brief Handles a call to a path under /v1/requests or /v1/jobs.
    http::response handle(const http::request& call);

    /// @brief Rejects new work from now on, for a graceful shutdown.
    void drain();

private:
    http::response handle_request(const http::request& call,
                                  const principal& from);
    http::response run_request(const http::request& call,
                               const principal& from);
    http::response get_request_outcome(const std::string& id,
                                       const principal& from);
    http::response handle_job(const http::request& call, const principal& from);
    http::response submit_job(const http::request& call, const principal& from);
    http::response list_jobs(const principal& from);
    std::optional<std::string> admit(const std::string& queue,
                                     bool takes_requests,
                                     const principal& from) const;

    caller_api_links links_;
    std::atomic<bool> draining_{false};
};

} // namespace mustardwick::caller
