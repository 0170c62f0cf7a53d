#pragma once

#include <chrono>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/cli/transport.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::cli
{

/// @brief When a failed call is sent again, to the next daemon.
enum class resend
{
    /// Also after a lost answer: the call is read-only or idempotent.
    always,
    /// Only when the request was not sent: the call is not idempotent.
    only_if_not_sent
};

struct api_call
{
    std::string method = "GET";
    std::string target{};
    std::string body{};
    resend policy = resend::always;
    /// Time that the daemon may take to answer beyond the usual timeout.
    std::chrono::milliseconds extra_time{0};
};

/// @brief The answer of the daemon that was reached.
struct api_answer
{
    int status = 0;
    std::string body;
    std::string daemon;
    /// An earlier attempt through another daemon may have taken effect.
    bool earlier_attempt_lost = false;

    bool is_success() const
    {
        return status >= 200 && status < 300;
    }

    /// @brief Returns the body as JSON; fails with kind internal.
    std::optional<web::json::value> json() const;
};

struct daemon_settings
{
    std::vector<wire::endpoint> daemons;
    std::string key;
    std::string ca_file;
    std::chrono::milliseconds timeout{5000};
};

/// @brief Sends calls to the first daemon that can be reached.
class daemon_client
{
public:
    explicit daemon_client(daemon_settings settings);

    /// @brief Tries the daemons in order, starting with the last one that
    /// answered.
    ///
    /// Fails with kind unavailable when the call had no effect, and with kind
    /// timeout when it may have taken effect.
    std::optional<api_answer> call(const api_call& call);

    /// @brief Calls the given daemon only, with the same errors as call().
    std::optional<api_answer> call_at(const wire::endpoint& daemon,
                                      const api_call& call) const;

    const std::vector<wire::endpoint>& daemons() const;

private:
    transport_call prepare(const wire::endpoint& daemon,
                           const api_call& call) const;

    daemon_settings settings_;
    std::size_t last_reachable_ = 0;
};

/// @brief Builds an absolute path from segments, which it percent-encodes.
std::string path_of(std::initializer_list<std::string_view> segments);

/// @brief Percent-encodes the value of a query parameter.
std::string encode(std::string_view text);

} // namespace mustardwick::cli
