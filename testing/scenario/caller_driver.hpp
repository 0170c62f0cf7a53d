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

/// @brief A synchronous request as a caller submits it.
struct caller_request
{
    std::string id;
    std::string queue;
    std::string key;
    milliseconds work{0};
    milliseconds deadline{5000};
    bool idempotent = false;
};

/// @brief Outcome of a call as the caller sees it.
enum class call_outcome
{
    done,
    refused,
    unknown,
    no_answer,
    /// The queried daemon has no record of the request.
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

/// @brief Sends requests and jobs as a caller and records every call.
class caller_driver
{
public:
    caller_driver(cell& target, operator_driver& operators, recorder& records)
        : cell_(target), operators_(operators), recorder_(records)
    {
    }

    /// @brief Sends a request to a daemon. Each call gets a new echo text, also
    /// when the request id repeats.
    call_result send(const caller_request& request, const daemon_entry& daemon);

    /// @brief Queries the status of a request that was sent with the given
    /// echo.
    call_result query_request(const caller_request& request,
                              const std::string& echo,
                              const daemon_entry& daemon);

    /// @brief Submits a job, and retries with the same id until a daemon
    /// accepts or rejects it or the time limit expires.
    ///
    /// Returns false and sets last_error() when the job was not accepted.
    bool submit(const std::string& id, const statement& line,
                milliseconds limit);

    bool cancel(const std::string& id, const std::string& key);

    /// @brief Returns the state of a job; empty when no daemon reports it.
    std::string job_state(const std::string& id);
    /// @brief Returns a number from the job's status, such as "running";
    /// std::nullopt when the status cannot be read.
    std::optional<std::int64_t> job_number(const std::string& id,
                                           const char* field);

    /// @brief Results of single requests by id; the last one sent wins.
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
