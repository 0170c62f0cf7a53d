#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::jobs
{

/// @brief Advice on which hosts may run a step of a queue: the duration of a
/// query and the validity of its answer.
struct advice_cost
{
    /// Fixed part of a query's duration.
    double base_ms = 0;
    double per_host_ms = 0;
    /// How long an answer is valid.
    std::int64_t valid_ms = 0;

    bool operator==(const advice_cost&) const = default;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(base_ms, per_host_ms, valid_ms);
    }
};

struct queue
{
    std::string name;
    std::string host_name;
    std::string path_prefix;
    /// Service whose workers run the tasks.
    std::string service;
    /// 0 is the highest priority.
    int priority = 0;
    /// Failed runs of a task after which its job fails.
    int attempts = 1;
    /// A job's time objective is the estimated time of its longest chain of
    /// steps, advice queries included, times this factor, plus
    /// target_latency_ms.
    double stretch = 1;
    std::int64_t target_latency_ms = 0;
    std::optional<advice_cost> advice;
    /// Requests need no API key.
    bool is_public = false;

    bool operator==(const queue&) const = default;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(name, host_name, path_prefix, service, priority, attempts, stretch,
           target_latency_ms, advice, is_public);
    }
};

struct service
{
    std::string name;
    /// Workers refuse orders that exceed their free capacity.
    bool enforces_capacity = false;
    /// The hosts are switched off until they are moved to another service.
    bool standby = false;
};

struct account
{
    std::string name;
    std::vector<std::string> keys;
    /// The account's share of the cell while the cell is full, in jobs per
    /// second.
    double weight = 1;
    /// Maximum resources of the account's running tasks; 0 means no limit.
    policy::resources maximum;
};

/// @brief Limits on callers' requests, set by the operator.
struct request_limits
{
    std::int64_t max_header_bytes = 16'384;
    std::int64_t max_body_bytes = 262'144;
    std::int64_t header_timeout_ms = 3000;
    std::int64_t idle_timeout_ms = 15'000;
};

/// @brief The operator's declared configuration at one version.
struct configuration
{
    std::int64_t version = 0;
    std::map<std::string, queue, std::less<>> queues;
    std::map<std::string, service, std::less<>> services;
    std::map<std::string, account, std::less<>> accounts;
    /// Account name by key.
    std::map<std::string, std::string, std::less<>> account_of_key;
    request_limits limits;

    /// @brief Returns the queue with the longest matching prefix, or null.
    const queue* find_queue(std::string_view host_name,
                            std::string_view path) const;
};

} // namespace mustardwick::jobs
