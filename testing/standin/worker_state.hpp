#pragma once

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/ports/worker.hpp"
#include "mustardwick/wire/messages.hpp"
#include "testing/standin/event_log.hpp"

namespace mustardwick::testing
{

struct worker_identity
{
    std::string name;
    std::string rack;
    std::string failure_domain;
};

struct worker_faults
{
    /// Every task fails immediately after its start.
    std::atomic<bool> fail_all{false};
    /// Calls get status 504 after a delay, and new ones have no effect. Group
    /// renewals list the leases of this worker as unreachable.
    std::atomic<bool> unresponsive{false};
    /// Added to the run time of tasks and requests.
    std::atomic<int> slow_ms{0};
};

/// @brief Reason why a request was not started.
enum class request_refusal
{
    none,
    lease_closed,
    attempt_repeated
};

/// @brief One worker: its lease, tasks and requests.
///
/// The worker does not enforce its capacity. Only advance() ends tasks whose
/// run time has passed and expires the lease. Opening, renewing and using a
/// lease run it first, so that an expired lease is never accepted.
class worker_state
{
public:
    worker_state(worker_identity identity, const base::clock& time,
                 event_log& events);

    const worker_identity& identity() const
    {
        return identity_;
    }

    /// @brief Opens a lease and closes the previous one; running tasks
    /// continue.
    ports::lease_state open(const std::string& holder,
                            std::chrono::milliseconds ttl);

    /// @brief Renews a lease and drops the acknowledged reports; std::nullopt
    /// when the lease is closed or expired.
    std::optional<ports::lease_state>
    renew(const std::string& lease, std::chrono::milliseconds ttl,
          const std::vector<std::string>& acknowledged);

    /// @brief Starts and stops tasks; std::nullopt when the lease is not open.
    std::optional<ports::task_orders_result>
    order(const std::string& lease, const ports::task_orders& orders);

    /// @brief Starts a request under a lease, unless it is refused.
    request_refusal start_request(const std::string& lease,
                                  const std::string& attempt,
                                  const std::string& queue,
                                  const std::string& echo);

    void end_request(const std::string& attempt, int status,
                     const std::string& body);

    /// @brief Returns whether this worker issued the lease and still remembers
    /// it. Evicting an old request forgets all leases but the current one.
    bool has_issued(const std::string& lease);

    /// @brief Returns the state of a request attempt made under a lease.
    ///
    /// For an attempt that is not recorded, the state is never_started under a
    /// lease for which has_issued() holds, and otherwise unknown, as after a
    /// restart.
    ports::attempt_answer attempt(const std::string& lease,
                                  const std::string& id);

    /// @brief Ends tasks whose run time has passed and expires the lease when
    /// it is due.
    void advance();

    worker_faults& faults()
    {
        return faults_;
    }

private:
    struct task
    {
        wire::start_order order;
        bool fails = false;
        /// Absent for a task that runs until it is stopped.
        std::optional<base::steady_time> ends_at;
    };

    void advance_locked();
    bool lease_is_open(const std::string& lease) const;
    void expire_lease(base::steady_time at);
    void start(const wire::start_order& order);
    void stop(const std::string& attempt);
    void end(const std::string& attempt, wire::attempt_event outcome,
             const std::string& detail, base::steady_time at);
    void refuse_orders(const std::string& lease,
                       const ports::task_orders& orders);
    json_object event(const char* kind) const;
    json_object event(const char* kind, const wire::start_order& order) const;
    std::vector<wire::attempt_report> unacknowledged_reports() const;
    void evict_old_requests();

    const worker_identity identity_;
    const base::clock& clock_;
    event_log& event_log_;
    worker_faults faults_;
    std::mutex mutex_;
    std::string lease_;
    std::string holder_;
    base::steady_time lease_ends_;
    std::map<std::string, task> tasks_;
    std::set<std::string> known_attempts_;
    /// The leases issued since the last eviction of a request, and the one that
    /// was current then.
    std::set<std::string> issued_leases_;
    std::map<std::string, wire::attempt_report> unacknowledged_reports_;
    std::map<std::string, ports::attempt_answer> requests_;
    std::deque<std::string> completed_requests_;
};

/// @brief Returns the name of an event, as used in responses and records.
const char* name_of(wire::attempt_event outcome);

} // namespace mustardwick::testing
