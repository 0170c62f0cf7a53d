#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/scenario/caller_driver.hpp"

namespace mustardwick::testing
{

/// @brief Outcome counts and latencies of a load of requests.
struct load_summary
{
    std::int64_t sent = 0;
    std::int64_t done = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    std::int64_t no_answer = 0;
    std::int64_t not_sent = 0;
    /// Calls with an unknown outcome that the last queried daemon has no record
    /// of.
    std::int64_t not_found = 0;
    /// Calls whose unknown outcome a later query determined.
    std::int64_t resolved = 0;
    std::int64_t p50_ms = 0;
    std::int64_t p99_ms = 0;
    std::int64_t max_ms = 0;

    /// @brief Returns a value by name; -1 when no value has that name.
    std::int64_t value(const std::string& name) const;
    std::string text() const;
};

/// @brief Sends requests at a constant rate from background threads for a
/// limited time.
class load
{
public:
    /// @brief Starts the load. The statement gives its name and the options
    /// queue=, key=, rate= (requests per second), for=, work=, deadline=,
    /// idempotent= and threads=.
    load(caller_driver& callers, cell& target, const statement& line);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    /// @brief Waits for all calls, resolves non-idempotent calls with an
    /// unknown outcome and returns the summary.
    load_summary finish();

private:
    struct finished_call
    {
        caller_request request;
        call_result result;
    };

    void run();
    void send_one(std::int64_t n);
    void resolve(finished_call& call,
                 std::chrono::steady_clock::time_point deadline);

    caller_driver& callers_;
    cell& cell_;
    statement line_;
    std::int64_t count_;
    std::chrono::steady_clock::time_point begin_;
    std::chrono::microseconds interval_;
    std::atomic<std::int64_t> next_{0};
    std::mutex mutex_;
    std::vector<finished_call> calls_;
    std::vector<std::thread> threads_;
};

} // namespace mustardwick::testing
