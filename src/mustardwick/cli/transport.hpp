#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "mustardwick/http/client.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::cli
{

/// @brief One HTTP call to one daemon.
struct transport_call
{
    wire::endpoint daemon;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string key;
    /// PEM file of the trusted certificate authority; empty means plain HTTP.
    std::string ca_file;
    std::chrono::milliseconds timeout{5000};
};

/// @brief Sends a call once, over a new connection.
///
/// Connections are not reused, because cpprestsdk resends a POST when a pooled
/// connection turns out to be closed. Fails with kind unavailable; progress
/// then says whether the daemon may have received the call.
std::optional<http::reply> send_once(const transport_call& call,
                                     http::delivery& progress);

} // namespace mustardwick::cli
