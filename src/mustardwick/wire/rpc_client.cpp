#include "mustardwick/wire/rpc.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "mustardwick/base/error.hpp"

namespace mustardwick::wire
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace
{

/// A TCP connection with its own event loop, so that every operation has a
/// deadline.
class connection
{
public:
    bool open(const endpoint& peer, steady_clock::time_point deadline)
    {
        error_code ec;
        const auto address = asio::ip::make_address(peer.address, ec);
        if (ec)
            return false;
        const bool ok = run(deadline,
                            [&](auto done)
                            {
                                socket_.async_connect({address, peer.port},
                                                      [done](error_code e)
                                                      {
                                                          done(e);
                                                      });
                            });
        if (ok)
            socket_.set_option(tcp::no_delay(true), ec);
        return ok;
    }

    bool write(const std::string& bytes, steady_clock::time_point deadline)
    {
        return run(deadline,
                   [&](auto done)
                   {
                       asio::async_write(socket_, asio::buffer(bytes),
                                         [done](error_code e, std::size_t)
                                         {
                                             done(e);
                                         });
                   });
    }

    template <typename Buffer>
    bool read(Buffer& buf, steady_clock::time_point deadline)
    {
        return run(deadline,
                   [&](auto done)
                   {
                       asio::async_read(socket_, asio::buffer(buf),
                                        [done](error_code e, std::size_t)
                                        {
                                            done(e);
                                        });
                   });
    }

    /// Reads the server's challenge and derives the key of the connection.
    bool read_challenge(std::string_view secret,
                        steady_clock::time_point deadline)
    {
        std::string challenge(challenge_bytes, '\0');
        if (!read(challenge, deadline))
            return false;
        key_ = connection_key(secret, challenge);
        return true;
    }

    const std::string& key() const
    {
        return key_;
    }

    /// Returns false when the peer has closed the idle connection or has sent
    /// bytes outside of a call.
    bool is_usable()
    {
        error_code ec;
        char byte = 0;
        socket_.non_blocking(true, ec);
        socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                        ec);
        return ec == asio::error::would_block;
    }

private:
    template <typename Start>
    bool run(steady_clock::time_point deadline, Start&& start)
    {
        bool finished = false;
        error_code result;
        io_.restart();
        start(
            [&](error_code ec)
            {
                finished = true;
                result = ec;
            });
        io_.run_until(deadline);
        if (finished)
            return !result;
        error_code ec;
        socket_.close(ec);
        io_.restart();
        io_.run();
        return false;
    }

    asio::io_context io_{1};
    tcp::socket socket_{io_};
    std::string key_;
};

/// Converts a failure; an unknown kind, from a newer release, becomes internal.
base::error to_error(const failure& reason)
{
    constexpr auto last = static_cast<std::uint8_t>(base::error_kind::internal);
    const auto kind = std::min(reason.kind, last);
    return {static_cast<base::error_kind>(kind), reason.message, reason.remedy};
}

std::uint64_t random_start()
{
    std::random_device source;
    return (std::uint64_t{source() >> 1U} << 32U) | source();
}

using connection_ptr = std::unique_ptr<connection>;

} // namespace

struct rpc_client::impl
{
    impl(rpc_client_options o, base::metrics& m)
        : options(std::move(o)), metrics(m)
    {
    }

    connection_ptr take_idle(const endpoint& peer)
    {
        const std::scoped_lock lock(mutex);
        auto& list = idle[peer];
        while (!list.empty())
        {
            auto out = std::move(list.back());
            list.pop_back();
            if (out->is_usable())
                return out;
        }
        return nullptr;
    }

    void return_idle(const endpoint& peer, connection_ptr value)
    {
        const std::scoped_lock lock(mutex);
        auto& list = idle[peer];
        if (list.size() < options.max_idle_per_peer)
            list.push_back(std::move(value));
    }

    connection_ptr connect(const endpoint& peer,
                           steady_clock::time_point deadline) const
    {
        auto out = std::make_unique<connection>();
        const auto limit =
            std::min(deadline, steady_clock::now() + options.connect_timeout);
        const bool ok = out->open(peer, limit) &&
                        out->read_challenge(options.secret, limit);
        return ok ? std::move(out) : nullptr;
    }

    std::optional<frame> exchange(connection& conn, const frame& message,
                                  steady_clock::time_point deadline) const;

    rpc_client_options options;
    base::metrics& metrics;
    std::mutex mutex;
    std::map<endpoint, std::vector<connection_ptr>> idle;
    /// Starts at a random value, so that answers to an earlier process do not
    /// match.
    std::atomic<std::uint64_t> next_correlation{random_start()};
};

std::optional<frame>
rpc_client::impl::exchange(connection& conn, const frame& message,
                           steady_clock::time_point deadline) const
{
    const auto bytes = encode_frame(message, conn.key());
    if (!conn.write(encode_length(bytes.size()) + bytes, deadline))
        return std::nullopt;
    std::array<char, length_bytes> length{};
    if (!conn.read(length, deadline))
        return std::nullopt;
    const auto n = decode_length(length);
    if (!n)
        return std::nullopt;
    std::string input(*n, '\0');
    if (!conn.read(input, deadline))
        return std::nullopt;
    auto answer = decode_frame(input, conn.key());
    if (!answer || answer->correlation != message.correlation)
        return std::nullopt;
    const bool is_answer = answer->type == message_type::answer ||
                           answer->type == message_type::failure;
    return is_answer ? std::move(answer) : std::nullopt;
}

rpc_client::rpc_client(rpc_client_options options, base::metrics& metrics)
    : impl_(std::make_unique<impl>(std::move(options), metrics))
{
}

rpc_client::~rpc_client() = default;

std::optional<std::string>
rpc_client::call(const endpoint& peer, message_type type,
                 const std::string& payload, std::chrono::milliseconds timeout,
                 bool idempotent, call_progress* progress)
{
    call_progress ignored = call_progress::not_sent;
    auto& sent = progress != nullptr ? *progress : ignored;
    sent = call_progress::not_sent;
    const auto deadline = steady_clock::now() + timeout;
    frame message{type, 0, payload};
    auto conn = impl_->take_idle(peer);
    bool pooled = conn != nullptr;
    auto next = call_progress::maybe_sent;
    while (true)
    {
        if (!conn)
            conn = impl_->connect(peer, deadline);
        if (!conn)
            return base::fail(base::error_kind::unavailable,
                              "cannot connect to " + to_string(peer),
                              "check that the daemon runs");
        // Assigned after the connection is taken, because the server requires
        // that the ids on each connection increase.
        message.correlation = impl_->next_correlation++;
        sent = std::exchange(next, call_progress::resent);
        auto answer = impl_->exchange(*conn, message, deadline);
        if (answer && answer->type == message_type::answer)
        {
            impl_->return_idle(peer, std::move(conn));
            return std::move(answer->payload);
        }
        if (answer)
        {
            impl_->return_idle(peer, std::move(conn));
            const auto reason = decode<failure>(answer->payload);
            if (!reason)
                return std::nullopt;
            return base::fail(to_error(*reason));
        }
        impl_->metrics.add("mustardwick_inner_connections_lost_total");
        conn.reset();
        const bool past_deadline = steady_clock::now() >= deadline;
        if (!idempotent || !pooled || past_deadline)
            return base::fail(base::error_kind::timeout,
                              "no answer from " + to_string(peer),
                              "check that the daemon runs");
        pooled = false;
    }
}

} // namespace mustardwick::wire
