#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "samples.hpp"

namespace mustardwick::bench
{

/// @brief How an entry host chooses the target of a request.
enum class target_choice
{
    two_random,
    one_random,
    least_loaded
};

/// @brief A configuration of request handling and its traffic.
struct request_setup
{
    std::string name;
    target_choice choice = target_choice::two_random;
    bool retries = true;
    bool budget = true;
    bool admission = true;
    bool quarantine = true;
    /// Requests per second.
    double rate = 2000;
    /// A third of the targets fails all requests for part of the run.
    bool faults = false;
};

/// @brief The measurements of one setup.
struct request_outcome
{
    std::string name;
    /// Milliseconds from arrival to the start at a target.
    quantiles waiting_ms;
    /// Fraction of the requests answered within their deadline.
    double answered = 0;
    /// Fraction of the requests refused before their first attempt.
    double refused = 0;
    /// Attempts per request that was not refused.
    double attempts = 0;
};

/// @brief Simulates one setup against the targets of one deployment.
request_outcome run_requests(const request_setup& setup, std::uint64_t seed);

/// @brief Returns the setups of the report.
std::vector<request_setup> request_setups();

} // namespace mustardwick::bench
