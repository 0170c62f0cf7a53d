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
    std::string self;
};

/// @brief Hands out the request slots of the workers this daemon owns.
class request_owner
{
public:
    request_owner(request_owner_links links,
                  std::chrono::milliseconds max_request_time);

    /// @brief Runs a request on its host and gives the typed answer.
    wire::forward_answer serve(const wire::forward_request& call);

    /// @brief Counts requests found on a worker when its lease was opened.
    void adopt(const std::string& host,
               const std::vector<std::string>& attempts);

    /// @brief Asks the worker what became of a claimed request.
    ///
    /// Refused means that it has not run and never will, because the lease it
    /// was claimed under is closed. The lease of a request that did not arrive
    /// and is not being served is closed, so that a later call can tell.
    wire::forward_answer resolve(const claim_record& claim);

    /// @brief Requests being served now.
    int running() const;

private:
    struct host_slots
    {
        /// Attempts that this daemon is serving now.
        std::set<std::string> serving;
        /// Requests of a former owner and those of unknown outcome, until they
        /// have ended.
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

/// @brief A typed answer that nothing has run and nothing will.
wire::forward_answer refused_answer(std::string reason, std::string remedy);

/// @brief A typed answer that the request may have run.
wire::forward_answer unknown_answer(std::string reason);

} // namespace mustardwick::coordination
