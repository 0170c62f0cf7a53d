#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

/// @brief Sends the reports of workers to the planner and retries until it
/// answers.
///
/// Keeps the last state of each host, so that a new planner receives all of
/// them.
class report_sender
{
public:
    /// @brief Delivers reports; returns the attempts whose ends the planner has
    /// recorded, or std::nullopt when the planner is unreachable.
    using deliver_function =
        std::function<std::optional<wire::task_events_answer>(
            const wire::task_events&)>;
    /// @brief Receives the attempts whose ends the planner has recorded.
    using acknowledge_function =
        std::function<void(const std::vector<wire::recorded_attempt>&)>;

    report_sender(deliver_function deliver, acknowledge_function acknowledge);
    ~report_sender();
    report_sender(const report_sender&) = delete;
    report_sender& operator=(const report_sender&) = delete;

    void start();
    void stop();

    /// @brief Tries once to send the queued reports; false when the planner did
    /// not accept them, and they stay queued.
    ///
    /// Called by the thread of start(); tests call it directly instead.
    bool step();

    void add(wire::task_events events);

    /// @brief Removes the reports of a host that another daemon now owns.
    void forget(const std::string& host);

    /// @brief Queues the last state of all hosts again, for a new planner.
    void resend_hosts();

    /// @brief Makes the next step() send a report even when nothing is queued.
    ///
    /// The answer shows whether the planner has reloaded its state and lacks
    /// the hosts.
    void probe();

private:
    void run();
    void merge(wire::task_events events);
    wire::task_events take();
    bool has_work() const;
    void queue_all_hosts();
    void requeue(wire::task_events events);

    deliver_function deliver_;
    acknowledge_function acknowledge_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool probe_pending_ = false;
    /// Id of the planner's last known load of its state. When an answer has
    /// another id, all hosts are queued again.
    std::string planner_load_id_;
    std::map<std::string, wire::attempt_report> attempts_;
    std::map<std::string, wire::host_report> hosts_;
    std::map<std::string, wire::host_report> last_hosts_;
    std::thread thread_;
};

} // namespace mustardwick::coordination
