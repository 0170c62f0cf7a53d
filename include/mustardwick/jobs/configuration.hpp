#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::jobs
{

/// @brief Cost of asking which hosts may run a step of a queue.
struct advice_cost
{
    /// Time of one question before any host is looked at.
    double base_ms = 0;
    double per_host_ms = 0;
    /// How long an answer can be used.
    std::int64_t valid_ms = 0;
};

struct queue
{
    std::string name;
    std::string host_name;
    std::string path_prefix;
    /// Service whose workers run the tasks.
    std::string service;
    /// 0 comes first.
    int priority = 0;
    /// Failed runs after which a task is given up.
    int attempts = 1;
    /// Objective of a job: this many times its longest chain of work, plus
    /// the target latency.
    double stretch = 1;
    std::int64_t target_latency_ms = 0;
    std::optional<advice_cost> advice;
    /// Calls need no key.
    bool is_public = false;
};

struct service
{
    std::string name;
    /// Workers refuse what does not fit.
    bool enforces_capacity = false;
    /// Hosts of the pool are switched off until they are moved elsewhere.
    bool standby = false;
};

struct account
{
    std::string name;
    std::vector<std::string> keys;
    /// Share of the cell when it is full.
    double weight = 1;
    /// What the account may have running; 0 means no limit.
    policy::resources maximum;
};

/// @brief Limits that the operator sets for callers' requests.
struct request_limits
{
    std::int64_t max_header_bytes = 16'384;
    std::int64_t max_body_bytes = 262'144;
    std::int64_t header_timeout_ms = 3000;
    std::int64_t idle_timeout_ms = 15'000;
};

/// @brief Everything the operator declares, as of one version.
struct configuration
{
    std::int64_t version = 0;
    std::map<std::string, queue, std::less<>> queues;
    std::map<std::string, service, std::less<>> services;
    std::map<std::string, account, std::less<>> accounts;
    /// Account name by key.
    std::map<std::string, std::string, std::less<>> account_of_key;
    request_limits limits;

    /// @brief The queue with the longest matching prefix, or null.
    const queue* find_queue(std::string_view host_name,
                            std::string_view path) const;
};

} // namespace mustardwick::jobs
