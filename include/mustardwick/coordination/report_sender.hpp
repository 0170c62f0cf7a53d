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

/// @brief Sends what workers report to the planner, again until it answers.
///
/// Keeps the last state of each host, so that a new planner learns all of them.
class report_sender
{
public:
    /// @brief Delivers reports; gives the attempts that the planner has
    /// recorded as ended, or nothing when it cannot be reached.
    using deliver_function =
        std::function<std::optional<wire::task_events_answer>(
            const wire::task_events&)>;
    /// @brief Receives the recorded attempts.
    using acknowledge_function =
        std::function<void(const std::vector<wire::recorded_attempt>&)>;

    report_sender(deliver_function deliver, acknowledge_function acknowledge);
    ~report_sender();
    report_sender(const report_sender&) = delete;
    report_sender& operator=(const report_sender&) = delete;

    void start();
    void stop();

    /// @brief Sends what is queued once; false when the planner did not take
    /// it.
    ///
    /// Called by the thread that start() begins, or by a test without one.
    bool step();

    void add(wire::task_events events);

    /// @brief Forgets a host that another daemon owns now.
    void forget(const std::string& host);

    /// @brief Reports all hosts again, for a new planner.
    void resend_hosts();

    /// @brief Sends a report even if it is empty; its answer tells whether the
    /// planner has read its state anew and lacks the hosts.
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
    std::string planner_load_id_;
    std::map<std::string, wire::attempt_report> attempts_;
    std::map<std::string, wire::host_report> hosts_;
    std::map<std::string, wire::host_report> last_hosts_;
    std::thread thread_;
};

} // namespace mustardwick::coordination
