#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/base/sharded_map.hpp"
#include "mustardwick/base/time_line.hpp"
#include "mustardwick/coordination/claim_log.hpp"
#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/coordination/request_escrow.hpp"
#include "mustardwick/coordination/worker_leases.hpp"
#include "mustardwick/ports/worker.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

/// @brief Dependencies of the request owner.
struct request_owner_links
{
    worker_leases& leases;
    ports::workers workers;
    const config_store& config;
    request_escrow& escrow;
    claim_log& claims;
    const base::clock& clock;
    base::time_line& events;
    base::metrics& metrics;
    /// Name of this daemon.
    std::string self;
};

/// @brief Runs requests on the workers whose leases this daemon holds.
///
/// Limits the concurrent requests of each host to its slots and of each team to
/// its escrow part.
class request_owner
{
public:
    request_owner(request_owner_links links,
                  std::chrono::milliseconds max_request_time);

    /// @brief Runs a request on its host and returns the typed answer.
    ///
    /// A non-idempotent request is claimed first, so that it is sent at most
    /// once.
    wire::forward_answer serve(const wire::forward_request& call);

    /// @brief Occupies slots for requests found running on a worker when its
    /// lease was opened.
    void adopt(const std::string& host,
               const std::vector<std::string>& attempts);

    /// @brief Queries the worker for the outcome of a claimed request.
    ///
    /// The outcome is refused only when the request has not run and cannot run
    /// any more, because the lease under which it was claimed is closed. When
    /// the request has not reached the worker and this daemon is not serving
    /// it, the lease is closed so that a later call can determine the outcome.
    wire::forward_answer resolve(const claim_record& claim);

    /// @brief Returns the number of requests being served.
    int running() const;

private:
    struct host_slots
    {
        /// Attempts that this daemon is serving.
        std::set<std::string> serving;
        /// Attempts of a previous owner and those of unknown outcome, with the
        /// time by which they have ended.
        std::map<std::string, base::steady_time> adopted;
    };

    class slot;

    std::optional<slot> acquire_slot(const wire::forward_request& call);
    void release_slot(const std::string& host, const std::string& attempt);
    void retain_slot(const std::string& host, const std::string& team,
                     const std::string& attempt);
    std::optional<wire::forward_answer> claim(const wire::forward_request& call,
                                              const held_lease& lease,
                                              std::uint64_t& version);
    wire::forward_answer send(const wire::forward_request& call,
                              const held_lease& lease, base::steady_time end);
    bool may_send(const wire::forward_request& call,
                  const held_lease& lease) const;
    bool is_serving(const std::string& host, const std::string& attempt);
    void close_lease_of(const claim_record& claim);
    wire::forward_answer stored_answer(const std::string& key) const;

    request_owner_links links_;
    std::chrono::milliseconds max_request_time_;
    base::sharded_map<host_slots> slots_;
    std::atomic<int> running_{0};
};

/// @brief Returns an answer stating that the request has not run and will not
/// run.
wire::forward_answer refused_answer(std::string reason, std::string remedy);

/// @brief Returns an answer stating that the request may have run.
wire::forward_answer unknown_answer(std::string reason);

} // namespace mustardwick::coordination
