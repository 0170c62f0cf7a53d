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

/// @brief Checks the promises from the workers' records and the answers that
/// callers and operators saw.
///
/// It knows nothing of the state of the daemons.
class promise_monitor
{
public:
    using time = std::int64_t;

    explicit promise_monitor(const std::string& record_file);

    void set_host(const std::string& host, const std::string& domain,
                  std::int64_t millicpus, int slots);

    /// @brief Operators saw a change accepted.
    void domain_changed(const std::string& domain, bool in_service, time at);
    void key_changed(const std::string& key, bool withdrawn, time at);
    void task_limit_changed(const std::string& team, std::int64_t millicpus);

    /// @brief Operators saw all placed tasks within the limit.
    void task_limit_in_force(const std::string& team, std::int64_t millicpus);
    void request_limit_changed(const std::string& team, std::int64_t limit);

    /// @brief Operators saw the request limit in force.
    void request_limit_in_force(const std::string& team, std::int64_t limit);
    void version_accepted(std::uint64_t version, time at);

    /// @brief Work was accepted with a key.
    void work_accepted(const std::string& key, time at);

    /// @brief A call was answered with "refused", so that it has not run.
    void call_refused(const std::string& echo);

    /// @brief A query was answered with "not run" for a claimed attempt.
    void attempt_refused(const std::string& attempt);
    void version_seen(const std::string& daemon, std::uint64_t version,
                      bool fresh, time at);

    void report_violation(const std::string& promise, const std::string& what);

    /// @brief Reads new lines of the record and checks them.
    void read_new_events();

    /// @brief True when the record shows tasks that run on a worker.
    bool has_tasks(const std::string& worker) const;

    /// @brief Promises that were broken, with what was seen.
    const std::vector<std::string>& broken() const
    {
        return broken_;
    }

    /// @brief Events that were checked, so that a test can tell a run in which
    /// nothing happened.
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
