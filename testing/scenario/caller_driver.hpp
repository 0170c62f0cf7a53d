#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "testing/scenario/cell.hpp"
#include "testing/scenario/daemon_client.hpp"
#include "testing/scenario/operator_driver.hpp"
#include "testing/scenario/recorder.hpp"

namespace mustardwick::testing
{

/// @brief What a caller submits.
struct caller_request
{
    std::string id;
    std::string queue;
    std::string key;
    milliseconds work{0};
    milliseconds deadline{5000};
    bool idempotent = false;
};

/// @brief How a call ended for the caller.
enum class call_outcome
{
    done,
    refused,
    unknown,
    no_answer,
    /// No daemon knows the request that was asked for.
    not_found,
    not_sent
};

const char* name_of(call_outcome outcome);

struct call_result
{
    call_outcome outcome = call_outcome::not_sent;
    int status = 0;
    std::string echo;
    milliseconds time{0};
};

/// @brief Sends requests and jobs as callers do, and records each call.
class caller_driver
{
public:
    caller_driver(cell& target, operator_driver& operators, recorder& records)
        : cell_(target), operators_(operators), recorder_(records)
    {
    }

    /// @brief Sends a request to a daemon; a new call even for the same id.
    call_result send(const caller_request& request, const daemon_entry& daemon);

    /// @brief Asks what became of a request that was sent as the given echo.
    call_result query_request(const caller_request& request,
                              const std::string& echo,
                              const daemon_entry& daemon);

    /// @brief Submits a job; it is sent again, under the same id, until a
    /// daemon answers or the time is over.
    bool submit(const std::string& id, const statement& line,
                milliseconds limit);

    bool cancel(const std::string& id, const std::string& key);

    /// @brief The state of a job; empty when no daemon tells it.
    std::string job_state(const std::string& id);
    /// @brief A number from the job's status, such as "running".
    std::optional<std::int64_t> job_number(const std::string& id,
                                           const char* field);

    /// @brief The result of the last request that a scenario sent by name.
    std::map<std::string, call_result>& named_results()
    {
        return named_results_;
    }

private:
    api_reply get_job(const std::string& id);
    void record_call(const caller_request& request, const std::string& daemon,
                     const call_result& result, const std::string& answer,
                     std::int64_t sent);

    cell& cell_;
    operator_driver& operators_;
    recorder& recorder_;
    daemon_client client_;
    std::atomic<std::uint64_t> next_call_{0};
    std::mutex mutex_;
    std::map<std::string, std::string> keys_of_jobs_;
    std::map<std::string, call_result> named_results_;
};

} // namespace mustardwick::testing
