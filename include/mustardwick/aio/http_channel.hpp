#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::aio
{

/// @brief One HTTP request and its timeout.
struct http_call
{
    std::string method = "POST";
    std::string target = "/";
    std::string body;
    /// Makes the body when the call is sent, if it depends on what was sent
    /// before; see http_result::is_verified.
    std::function<std::string(bool is_verified)> make_body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// The process that the call is meant for, as channel_options::identify
    /// shows it. The call is sent to no other, except as
    /// http_result::is_verified tells.
    std::optional<std::int64_t> process;
    /// Includes the time that the call waits for a connection.
    std::chrono::milliseconds timeout{1000};
    /// When set, an answer that has begun to arrive is given up only when less
    /// than 4 KB arrive in this time, and `timeout` ends with its first byte:
    /// how long a large answer takes depends on the path, not on the peer. In
    /// the same way `timeout` begins again whenever the path takes a part of a
    /// large request.
    std::optional<std::chrono::milliseconds> stall_timeout;
};

/// @brief How far a call got.
enum class transport_outcome
{
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// The same; another process than the one that is meant has the address.
    other_process,
    /// The peer may have received and processed the request.
    maybe_sent
};

/// @brief Outcome of a call: status and body when it was answered, otherwise
/// the reason.
struct http_result
{
    transport_outcome end = transport_outcome::not_sent;
    int status = 0;
    std::string body;
    std::string reason;
    /// False if the call had a connection of its own, because the peer closes
    /// a connection after the call that identifies its process: the process
    /// may have changed in between.
    bool is_verified = true;

    bool answered() const
    {
        return end == transport_outcome::answered;
    }
};

using http_callback = std::function<void(http_result)>;

/// @brief The first call on a new connection, which shows which process the
/// connection leads to. A process that starts again at an address has none of
/// the connections of the former one, so that the answer holds for as long as
/// the connection is open. If it ends with the answer, a call that is meant for
/// the process is sent over another connection, and is not verified.
struct identification
{
    http_call call;
    /// Returns which process has answered the call; the numbers of processes
    /// that follow each other at an address rise. std::nullopt if the answer
    /// does not tell: the connection is closed after the second such answer.
    std::function<std::optional<std::int64_t>(const http_result&)> process_of;
};

struct channel_options
{
    /// Connections open at the same time; further calls are queued.
    std::size_t max_connections = 2;
    std::chrono::milliseconds connect_timeout{800};
    std::size_t max_body_bytes = 4U << 20U;
    /// Makes the first call on each new connection. Required if any call is
    /// meant for one process.
    std::function<identification()> identify{};
};

/// @brief Asynchronous HTTP/1.1 client for one endpoint over persistent
/// connections.
///
/// Every call has a deadline. When a call times out, the channel closes its
/// connection and all idle connections, because a network path that lost its
/// connection state drops the packets of all of them. No call is retried.
class http_channel : public std::enable_shared_from_this<http_channel>
{
public:
    http_channel(boost::asio::io_context& io, wire::endpoint peer,
                 channel_options options);
    ~http_channel();

    /// @brief Sends a call, or queues it while all connections are in use. The
    /// callback runs exactly once.
    void send(http_call call, http_callback done);

    /// @brief Closes idle connections and fails queued calls. Later calls fail
    /// without being sent.
    void close();

    /// @brief Returns when 4 KB, or the first part, of an answer arrived last
    /// that is not complete yet.
    std::chrono::steady_clock::time_point last_part() const
    {
        return last_part_;
    }

    /// @brief Returns when the path took a part of a large request last whose
    /// rest it has not taken yet. Parts in the kernel's send buffer are not
    /// taken.
    std::chrono::steady_clock::time_point last_sent_part() const
    {
        return last_sent_part_;
    }

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
    /// @brief Ends a call that is meant for another process.
    void refuse(http_callback done);

    boost::asio::io_context& io_;
    wire::endpoint peer_;
    channel_options options_;
    std::vector<std::shared_ptr<connection>> idle_;
    std::deque<waiting_call> waiting_;
    std::size_t open_ = 0;
    std::uint64_t connections_opened_ = 0;
    std::chrono::steady_clock::time_point last_part_;
    std::chrono::steady_clock::time_point last_sent_part_;
    bool closed_ = false;
};

} // namespace mustardwick::aio
