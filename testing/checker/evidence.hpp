#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardwick::testing
{

/// @brief Wall time in microseconds since the epoch.
using event_time = std::int64_t;

inline constexpr event_time one_second = 1'000'000;

/// @brief Amounts of a host's resources.
struct amounts
{
    std::int64_t millicpus = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    amounts& operator+=(const amounts& other)
    {
        millicpus += other.millicpus;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    amounts& operator-=(const amounts& other)
    {
        millicpus -= other.millicpus;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    bool fits(const amounts& limit) const
    {
        return millicpus <= limit.millicpus && memory_mb <= limit.memory_mb &&
               accelerators <= limit.accelerators;
    }
};

/// @brief One attempt of a task, as the worker recorded it.
struct task_run
{
    std::string attempt;
    std::string job;
    std::int64_t index = 0;
    std::string worker;
    amounts size;
    event_time start = 0;
    std::optional<event_time> end;
};

/// @brief One request, as the target recorded it.
struct request_run
{
    std::string attempt;
    std::string worker;
    /// Text from the caller that the target returns in its answer.
    std::string echo;
    event_time start = 0;
    std::optional<event_time> end;
};

/// @brief One call to submit a request, as the caller saw it.
struct call_record
{
    /// Id of the request; a repeated call has the same id.
    std::string id;
    /// Echo text of this call; unique among all calls.
    std::string echo;
    std::string team;
    std::string key;
    std::string daemon;
    bool idempotent = false;
    /// done, refused (not run), unknown, or no_answer.
    std::string outcome;
    /// Echo text in the answer.
    std::string answer;
    event_time sent = 0;
    event_time answered = 0;
};

/// @brief Failure domain and capacity of a host.
struct host_facts
{
    std::string failure_domain;
    amounts capacity;
    std::int64_t slots = 0;
};

/// @brief A team's limits from a time on.
struct team_limit
{
    event_time from = 0;
    amounts resources;
    std::int64_t requests = 0;
};

/// @brief A period in which a named object was in some state, such as out of
/// service; open-ended without `to`.
struct time_window
{
    std::string name;
    event_time from = 0;
    std::optional<event_time> to;
};

/// @brief Everything that workers, callers and operators recorded in one run.
struct evidence
{
    std::vector<task_run> tasks;
    std::vector<request_run> requests;
    std::vector<call_record> calls;
    std::map<std::string, host_facts> hosts;
    std::map<std::string, std::string> team_of_job;
    std::map<std::string, std::vector<team_limit>> limits;
    std::vector<time_window> domains_out;
    std::vector<time_window> hosts_leaving;
    std::vector<time_window> keys_withdrawn;
    std::vector<time_window> planned_stops;
    /// Start times of worker processes; a restart loses the worker's state.
    std::map<std::string, std::vector<event_time>> worker_starts;
    /// Malformed or unknown lines.
    std::vector<std::string> errors;
};

} // namespace mustardwick::testing
