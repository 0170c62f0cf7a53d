#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <cpprest/json.h>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/http/client.hpp"

namespace mustardwick::testing
{

/// @brief An HTTP call to a process of the scenario.
struct api_call
{
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path;
    /// The call has no body when null.
    web::json::value body;
    /// "id.secret"; no Authorization header when empty.
    std::string key;
    std::chrono::milliseconds timeout{5000};
};

struct api_reply
{
    /// HTTP status; 0 when no response arrived.
    int status = 0;
    web::json::value body;
    /// True when no byte of the call was sent.
    bool not_sent = false;

    /// @brief Returns a string field of the body; empty when absent.
    std::string text(const char* field) const;
    /// @brief Returns a number field of the body; 0 when absent.
    std::int64_t number(const char* field) const;

    bool ok() const
    {
        return status >= 200 && status < 300;
    }
};

/// @brief Sends each JSON call on a new connection and never retries.
class daemon_client
{
public:
    daemon_client() : client_({}, metrics_) {}

    api_reply send(const api_call& call);

private:
    base::metrics metrics_;
    http::client client_;
};

} // namespace mustardwick::testing
