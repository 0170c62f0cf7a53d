#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/base/time_line.hpp"
#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/coordination/job_tracker.hpp"
#include "mustardwick/coordination/planner_leadership.hpp"
#include "mustardwick/coordination/report_filter.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

/// @brief Dependencies of the planner.
struct planner_links
{
    ports::table table;
    planner_leadership& leadership;
    const config_store& config;
    const base::clock& clock;
    base::time_line& events;
    base::metrics& metrics;
    /// Sends orders to the daemon that owns a host; std::nullopt when it is
    /// unreachable.
    std::function<std::optional<wire::deliver_answer>(const wire::deliver&)>
        deliver;
    /// Runs a delivery on another thread, because it blocks until the daemon
    /// answers.
    std::function<void(std::function<void()>)> post;
    /// Returns whether the platform is about to remove a host; an empty
    /// function when the platform has no host list.
    std::function<bool(const std::string&)> is_leaving = {};
};

/// @brief Schedules submitted jobs while this daemon holds planner leadership.
///
/// One thread applies reports, makes decisions and commits them in batches.
/// Orders are sent only after the transaction with their placements has
/// committed.
class planner
{
public:
    explicit planner(planner_links links);
    ~planner();
    planner(const planner&) = delete;
    planner& operator=(const planner&) = delete;

    void start();
    void stop();

    /// @brief Wakes the planner because the inbox has a new message.
    void notify_inbox();

    /// @brief Runs one planning round.
    ///
    /// Returns false when the round changed nothing, when its changes could not
    /// be committed, when the state could not be loaded, or when this daemon is
    /// not the planner. The thread that start() creates calls it; a test may
    /// call it directly instead of start().
    bool step();

    /// @brief Returns the placed tasks of each host after the last committed
    /// round; null when this daemon is not the planner.
    std::shared_ptr<const host_counts> placed_per_host() const;

    /// @brief Queues reports for the next round.
    ///
    /// Returns the number of reports queued so far, or std::nullopt, with
    /// last_error(), when this daemon is not the planner.
    std::optional<std::uint64_t> queue_reports(const wire::task_events& events);

    /// @brief Returns the attempts of the reports whose end is committed.
    wire::task_events_answer
    recorded_attempts(const wire::task_events& events) const;

    /// @brief Queues reports and waits a bounded time for their commit.
    ///
    /// Returns the attempts whose end is committed by then, or std::nullopt,
    /// with last_error(), when this daemon is not the planner.
    std::optional<wire::task_events_answer>
    submit_reports(const wire::task_events& events);

private:
    void run();
    bool load(std::uint64_t leadership_version);
    bool is_current(const std::optional<ports::check>& guard) const;
    void sync_configuration();
    void read_inbox();
    bool handle_message(std::string_view operation, const std::string& job);
    bool apply_reports();
    std::optional<host_holders> read_holders() const;
    bool commit(job_changes changes);
    void send_orders(const job_changes& changes);
    void post_orders(wire::deliver orders);
    void publish_counts();
    void drop_state();

    planner_links links_;
    std::unique_ptr<job_tracker> tracker_;
    /// Version of the leadership row when the tracker was loaded.
    std::uint64_t leadership_version_ = 0;
    std::uint64_t config_version_ = 0;
    /// Inbox rows to delete with the next commit.
    std::set<std::string> handled_inbox_keys_;
    base::steady_time next_inbox_{};
    /// Version of the row that shows whether the last transaction committed.
    std::uint64_t witness_version_ = 0;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable applied_;
    bool stopping_ = false;
    bool loaded_ = false;
    /// Identifies one load of the state, so that report senders notice a new
    /// planner and report all hosts again.
    std::string load_id_;
    bool inbox_notified_ = false;
    std::uint64_t reports_queued_ = 0;
    std::uint64_t reports_applied_ = 0;
    std::deque<wire::task_events> reports_;
    std::deque<std::pair<std::string, wire::deliver_answer>> confirmations_;
    /// The most recent attempts whose end is committed; bounded, oldest
    /// evicted first.
    std::set<std::string> recorded_;
    std::deque<std::string> recorded_order_;
    std::shared_ptr<const host_counts> placed_per_host_;
    std::thread thread_;
};

} // namespace mustardwick::coordination
