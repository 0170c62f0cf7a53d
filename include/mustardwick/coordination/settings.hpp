#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/json.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::coordination
{

using std::chrono::milliseconds;

/// @brief The initial operator key, with which other keys are granted.
struct bootstrap_key
{
    std::string id;
    std::string salt;
    /// SHA-256 of "salt:secret" in hexadecimal.
    std::string hash;
};

/// @brief HTTP interface for callers and operators.
struct http_settings
{
    wire::endpoint listen;
    /// Paths of the TLS certificate and key; both empty for plain HTTP.
    std::string certificate;
    std::string private_key;
    /// Plain HTTP is served only when this is set.
    bool allow_plain = false;
    std::uint64_t max_body_bytes = 1U << 20U;
    milliseconds read_timeout{10'000};
    int handler_threads = 128;
    int max_waiting_requests = 1024;
};

/// @brief Interface for the other daemons.
struct inner_settings
{
    wire::endpoint listen;
    /// Addresses that peers connect to; default to the listening addresses.
    wire::endpoint advertise_tcp;
    wire::endpoint advertise_udp;
    /// Listening address for datagrams; defaults to the value of listen.
    wire::endpoint udp;
    /// Shared secret of all daemons; at least 16 characters.
    std::string secret;
};

/// @brief Lease durations, polling intervals and timeouts.
struct timing_settings
{
    milliseconds member_lease{3000};
    milliseconds table_poll{1000};
    /// Maximum age of a configuration copy that decisions may use.
    milliseconds freshness{3000};
    milliseconds worker_lease{15'000};
    milliseconds worker_renewal{4000};
    /// Time over which writes are collected into one transaction.
    milliseconds commit_interval{10};
    milliseconds max_request_time{30'000};
    /// Time allowed for requests to finish during shutdown.
    milliseconds stop_grace{20'000};

    /// @brief Returns how long a daemon may act on worker leases after the
    /// table or its peers last confirmed that it is not fenced.
    milliseconds authority() const
    {
        return 3 * member_lease;
    }
};

/// @brief Settings of a daemon.
struct settings
{
    std::string name;
    std::string region;
    std::string failure_domain;
    wire::endpoint table;
    milliseconds table_timeout{800};
    http_settings http;
    inner_settings inner;
    bootstrap_key operator_key;
    timing_settings timing;
    base::log_level log_level = base::log_level::info;
};

/// @brief Parses settings from JSON text.
///
/// Returns std::nullopt when there are errors. All errors are appended, not
/// only the first; each names the path of the field, the value found and the
/// remedy.
std::optional<settings> parse_settings(std::string_view text,
                                       std::vector<std::string>& errors);

} // namespace mustardwick::coordination
