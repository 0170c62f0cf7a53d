#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/time_line.hpp"
#include "mustardwick/coordination/cluster_view.hpp"
#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/coordination/settings.hpp"
#include "mustardwick/ports/worker.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

/// @brief An open lease and the address of its worker.
struct held_lease
{
    std::string lease;
    ports::worker_address worker;
};

/// @brief The parts of the daemon that worker_leases uses.
struct worker_leases_links
{
    ports::table table;
    ports::workers workers;
    member_registry& registry;
    const cluster_view& view;
    const config_store& config;
    change_freeze& freeze;
    const base::clock& clock;
    base::time_line& events;
    /// Runs a call to a worker, which may block until the answer, on another
    /// thread.
    std::function<void(std::function<void()>)> post;
};

/// @brief Opens and renews the leases of the workers that this daemon owns.
///
/// Hosts are assigned by rendezvous hashing over live members. A daemon opens
/// a lease only after it has committed the holder row of the host, so that the
/// table always names the daemon that may be renewing it.
class worker_leases
{
public:
    /// @brief Receives the reports of workers.
    using report_function = std::function<void(wire::task_events)>;
    /// @brief Receives the request attempts that were already running when a
    /// lease was opened.
    using adopt_function = std::function<void(
        const std::string& host, const std::vector<std::string>& attempts)>;

    worker_leases(worker_leases_links links, timing_settings timing,
                  report_function report, adopt_function adopt);
    worker_leases(const worker_leases&) = delete;
    worker_leases& operator=(const worker_leases&) = delete;

    /// @brief Starts due renewals, releases hosts that are no longer assigned
    /// and acquires missing ones. Called periodically.
    void tick();

    /// @brief Returns the open lease of a host; empty, with last_error(), when
    /// this daemon does not own the host, has no open lease on it or has no
    /// authority.
    std::optional<held_lease> lease_of(std::string_view host) const;

    /// @brief Closes a lease that the worker refused, so that a new one is
    /// opened. Ignored when the host has another lease by now.
    void invalidate(std::string_view host, const std::string& lease);

    /// @brief Acknowledges to the workers, with the next renewal of each lease,
    /// that the planner has recorded the ends of these attempts.
    void acknowledge(const std::vector<wire::recorded_attempt>& attempts);

    /// @brief Returns the names of the hosts with an open lease.
    std::vector<std::string> held() const;

    /// @brief Forgets all hosts without writing to the table. Called after this
    /// daemon was fenced.
    void drop_all();

    /// @brief Releases all hosts; returns their names.
    std::vector<std::string> release_all();

    /// @brief Sets a listener that is called when this daemon no longer holds a
    /// host.
    void on_release(std::function<void(const std::string&)> listener);

private:
    struct entry;
    using entry_ptr = std::shared_ptr<entry>;

    std::set<std::string> assigned_hosts(const configuration& config) const;
    void start_calls(const std::vector<entry_ptr>& due,
                     const configuration& config);
    bool use_address(const entry_ptr& it,
                     const ports::worker_address& worker) const;
    bool know_holders(const std::set<std::string>& wanted,
                      const std::vector<ports::row>& rows);
    void acquire_hosts(const std::set<std::string>& wanted);
    bool commit_holders(
        const std::vector<std::pair<std::string, std::uint64_t>>& group,
        const std::set<std::string>& dead);
    bool may_acquire(const holder_record& holder) const;
    void release_hosts(const std::vector<std::string>& names);
    void open_or_probe(const entry_ptr& it);
    milliseconds renewal_interval() const;
    void open(const entry_ptr& it);
    void send_report(wire::task_events events);
    void probe(const entry_ptr& it);
    void renew(const std::vector<entry_ptr>& group);
    void finish_renewal(const entry_ptr& it, const ports::renewal& renewal,
                        const ports::renewal_result& result,
                        base::steady_time sent);
    void handle_unresponsive(const entry_ptr& it);
    /// @brief Returns whether the holder row names this daemon; empty when the
    /// table did not answer.
    std::optional<bool> is_still_holder(const std::string& host) const;
    bool names_this_daemon(const std::optional<holder_record>& holder) const;
    void release_group(const std::vector<std::string>& names);
    void forget_hosts(const std::vector<std::string>& names);
    void release_in_doubt(const std::set<std::string>& wanted);
    entry_ptr find(std::string_view host) const;

    worker_leases_links links_;
    timing_settings timing_;
    report_function report_;
    adopt_function adopt_;
    std::function<void(const std::string&)> released_;
    mutable std::mutex mutex_;
    std::map<std::string, entry_ptr, std::less<>> entries_;
    std::atomic<std::size_t> held_count_{0};
    base::steady_time next_acquire_{};
    /// Hosts whose last acquisition has an unknown outcome.
    std::set<std::string> in_doubt_;
};

} // namespace mustardwick::coordination
