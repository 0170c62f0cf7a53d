#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::testing
{

/// @brief Checks the promises against the workers' records and the answers that
/// callers and operators received.
///
/// Does not use the internal state of the daemons.
class promise_monitor
{
public:
    /// Wall time in microseconds since the epoch.
    using time = std::int64_t;

    explicit promise_monitor(const std::string& record_file);

    void set_host(const std::string& host, const std::string& domain,
                  std::int64_t millicpus, int slots);

    /// @brief Records a change that an operator made.
    void domain_changed(const std::string& domain, bool in_service, time at);
    void key_changed(const std::string& key, bool withdrawn, time at);
    void task_limit_changed(const std::string& team, std::int64_t millicpus);

    /// @brief Records that all placed tasks fit in the limit, so that earlier
    /// limits no longer apply.
    void task_limit_in_force(const std::string& team, std::int64_t millicpus);
    void request_limit_changed(const std::string& team, std::int64_t limit);

    /// @brief Records that the request limit is in force, so that earlier
    /// limits no longer apply.
    void request_limit_in_force(const std::string& team, std::int64_t limit);
    void version_accepted(std::uint64_t version, time at);

    /// @brief Records that work was accepted with a key.
    void work_accepted(const std::string& key, time at);

    /// @brief Records that a call was answered with "refused": it must not run.
    void call_refused(const std::string& echo);

    /// @brief Records that a query was answered with "not run" for a claimed
    /// attempt.
    void attempt_refused(const std::string& attempt);

    /// @brief Checks that a daemon's configuration version never decreases and,
    /// if `fresh`, includes all changes accepted more than 4 s before.
    void version_seen(const std::string& daemon, std::uint64_t version,
                      bool fresh, time at);

    /// @brief Adds a broken promise.
    void report_violation(const std::string& promise, const std::string& what);

    /// @brief Reads the new lines of the record and checks them.
    void read_new_events();

    /// @brief Returns whether tasks run on a worker according to the record.
    bool has_tasks(const std::string& worker) const;

    /// @brief Returns the broken promises, each with what was observed.
    const std::vector<std::string>& broken() const
    {
        return broken_;
    }

    /// @brief Numbers of checked events by kind.
    ///
    /// Lets a test detect a run in which nothing happened.
    std::map<std::string, int> counts;

private:
    struct host
    {
        std::string domain;
        std::int64_t millicpus = 0;
        int slots = 0;
    };

    struct running
    {
        std::string worker;
        std::string team;
        std::string task;
        std::int64_t millicpus = 0;
    };

    void check(const web::json::value& event);
    void start_task(const web::json::value& event, time at);
    void start_request(const web::json::value& event);
    void restart_worker(const std::string& worker);

    std::string file_name_;
    std::ifstream file_;
    std::map<std::string, host> hosts_;
    std::map<std::string, running> tasks_;
    std::map<std::string, running> requests_;
    std::map<std::string, time> domain_out_;
    std::map<std::string, time> key_out_;
    std::map<std::string, std::set<std::int64_t>> task_limits_;
    std::map<std::string, std::set<std::int64_t>> request_limits_;
    std::map<std::string, std::uint64_t> versions_;
    std::vector<std::pair<time, std::uint64_t>> accepted_versions_;
    std::set<std::string> refused_;
    std::set<std::string> refused_attempts_;
    std::set<std::string> started_attempts_;
    std::map<std::string, int> started_calls_;
    std::map<std::string, int> started_ids_;
    std::vector<std::string> broken_;
};

} // namespace mustardwick::testing
