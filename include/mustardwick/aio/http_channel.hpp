#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::aio
{

/// @brief One HTTP call of a channel.
struct http_call
{
    std::string method = "POST";
    std::string target = "/";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout{1000};
};

/// @brief How a call ended.
enum class transport_outcome
{
    answered,
    /// No byte of the request has left this process.
    not_sent,
    /// The peer may have read and run the request.
    maybe_sent
};

struct http_result
{
    transport_outcome end = transport_outcome::not_sent;
    int status = 0;
    std::string body;
    std::string reason;

    bool answered() const
    {
        return end == transport_outcome::answered;
    }
};

using http_callback = std::function<void(http_result)>;

struct channel_options
{
    /// Connections that may be open at once; further calls wait.
    std::size_t max_connections = 2;
    std::chrono::milliseconds connect_timeout{800};
    std::size_t max_body_bytes = 4U << 20U;
};

/// @brief Asynchronous HTTP/1.1 calls to one endpoint over kept connections.
///
/// Every call has a deadline. A connection that misses one is closed, and the
/// idle connections beside it with it, because a path that lost its state
/// silences all of them. No call is ever sent a second time.
class http_channel : public std::enable_shared_from_this<http_channel>
{
public:
    http_channel(boost::asio::io_context& io, wire::endpoint peer,
                 channel_options options);
    ~http_channel();

    void send(http_call call, http_callback done);

    /// @brief Closes idle connections and fails the calls that wait.
    void close();

    std::uint64_t connections_opened() const
    {
        return connections_opened_;
    }

private:
    class connection;
    struct waiting_call
    {
        http_call call;
        http_callback done;
        std::chrono::steady_clock::time_point queued;
    };

    void dispatch(waiting_call next);
    void released(const std::shared_ptr<connection>& it, bool reusable);
    void drop_idle();

    boost::asio::io_context& io_;
    wire::endpoint peer_;
    channel_options options_;
    std::vector<std::shared_ptr<connection>> idle_;
    std::deque<waiting_call> waiting_;
    std::size_t open_ = 0;
    std::uint64_t connections_opened_ = 0;
    bool closed_ = false;
};

} // namespace mustardwick::aio
