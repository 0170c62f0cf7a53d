#include "mustardwick/aio/peer_hub.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "framed_stream.hpp"
#include "mustardwick/aio/acceptor.hpp"
#include "mustardwick/aio/socket_options.hpp"
#include "mustardwick/base/log.hpp"

namespace mustardwick::aio
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

/// Timeout for connecting to a peer and receiving its challenge.
constexpr std::chrono::milliseconds connect_timeout{700};

} // namespace

struct peer_hub::impl : std::enable_shared_from_this<impl>
{
    struct pending_call
    {
        peer_callback done;
        steady::time_point sent;
        std::unique_ptr<asio::steady_timer> timer;
    };

    /// The outgoing connection to one peer and the calls pending on it.
    struct link
    {
        std::shared_ptr<framed_stream> stream;
        bool connecting = false;
        std::vector<wire::frame> waiting;
        std::map<std::uint64_t, pending_call> calls;
        std::uint64_t generation = 0;
    };

    /// An attempt to connect and to read the challenge.
    struct attempt
    {
        explicit attempt(asio::io_context& io) : socket(io), timer(io) {}

        tcp::socket socket;
        asio::steady_timer timer;
        std::array<char, wire::challenge_bytes> challenge{};
    };

    impl(asio::io_context& context, wire::endpoint where, std::string key,
         connection_guard& connections, peer_handler handler,
         peer_limits connection_limits)
        : io(context), listen(std::move(where)), secret(std::move(key)),
          guard(connections), handle(std::move(handler)),
          limits(connection_limits), acceptor(context), accept_timer(context)
    {
    }

    void call(const wire::endpoint& peer, wire::message_type type,
              std::string payload, std::chrono::milliseconds timeout,
              peer_callback done)
    {
        auto& it = links[peer];
        const auto id = ++last_id;
        auto timer = std::make_unique<asio::steady_timer>(io, timeout);
        timer->async_wait(
            [self = shared_from_this(), peer, id](error_code ec)
            {
                if (!ec)
                    self->time_out(peer, id);
            });
        it.calls[id] = {std::move(done), steady::now(), std::move(timer)};
        wire::frame frame{type, id, std::move(payload)};
        if (it.stream)
            it.stream->send(frame);
        else
        {
            it.waiting.push_back(std::move(frame));
            if (!it.connecting)
                connect(peer);
        }
    }

    void connect(const wire::endpoint& peer)
    {
        auto& it = links[peer];
        it.connecting = true;
        const auto generation = ++it.generation;
        error_code ec;
        const auto address = asio::ip::make_address(peer.address, ec);
        auto current = std::make_shared<attempt>(io);
        current->timer.expires_after(connect_timeout);
        current->timer.async_wait(
            [current](error_code failed)
            {
                error_code ignored;
                if (!failed)
                    current->socket.close(ignored);
            });
        current->socket.async_connect(
            tcp::endpoint(address, peer.port),
            [self = shared_from_this(), peer, current,
             generation](error_code err)
            {
                if (err)
                {
                    current->timer.cancel();
                    return self->drop(peer, generation,
                                      err == asio::error::connection_refused
                                          ? peer_failure::connection_refused
                                          : peer_failure::connection_lost);
                }
                set_low_latency(current->socket);
                self->read_challenge(peer, current, generation);
            });
    }

    void read_challenge(const wire::endpoint& peer,
                        const std::shared_ptr<attempt>& current,
                        std::uint64_t generation)
    {
        asio::async_read(current->socket, asio::buffer(current->challenge),
                         [self = shared_from_this(), peer, current,
                          generation](error_code ec, std::size_t)
                         {
                             current->timer.cancel();
                             if (ec)
                                 return self->drop(
                                     peer, generation,
                                     peer_failure::connection_lost);
                             self->connected(peer, *current, generation);
                         });
    }

    void connected(const wire::endpoint& peer, attempt& current,
                   std::uint64_t generation)
    {
        auto& it = links[peer];
        if (it.generation != generation || stopped)
            return;
        it.connecting = false;
        it.stream = std::make_shared<framed_stream>(
            std::move(current.socket),
            wire::connection_key(
                secret, {current.challenge.data(), current.challenge.size()}));
        it.stream->run(
            [self = shared_from_this(), peer](wire::frame frame)
            {
                self->answered(peer, std::move(frame));
            },
            [self = shared_from_this(), peer, generation](error_code)
            {
                self->drop(peer, generation, peer_failure::connection_lost);
            });
        auto waiting = std::move(it.waiting);
        it.waiting.clear();
        for (const auto& frame : waiting)
            if (it.stream)
                it.stream->send(frame);
    }

    void answered(const wire::endpoint& peer, wire::frame frame)
    {
        auto& it = links[peer];
        const auto found = it.calls.find(frame.correlation);
        if (found == it.calls.end())
            return;
        auto done = std::move(found->second.done);
        it.calls.erase(found);
        done({frame.type == wire::message_type::answer ? peer_failure::none
                                                       : peer_failure::failed,
              std::move(frame.payload)});
    }

    void time_out(const wire::endpoint& peer, std::uint64_t id)
    {
        auto& it = links[peer];
        const auto found = it.calls.find(id);
        if (found == it.calls.end())
            return;
        auto done = std::move(found->second.done);
        const bool is_silent =
            it.stream && it.stream->last_received() <= found->second.sent;
        it.calls.erase(found);
        if (is_silent)
            drop(peer, it.generation, peer_failure::connection_lost);
        done({peer_failure::timed_out, {}});
    }

    /// Closes the connection to a peer and fails its pending calls.
    void drop(const wire::endpoint& peer, std::uint64_t generation,
              peer_failure failure)
    {
        auto& it = links[peer];
        if (it.generation != generation)
            return;
        ++it.generation;
        if (it.stream && !it.calls.empty())
            log_lost_connection(peer, it);
        if (it.stream)
            it.stream->close();
        it.stream.reset();
        it.connecting = false;
        it.waiting.clear();
        auto calls = std::move(it.calls);
        it.calls.clear();
        for (auto& [id, call] : calls)
            call.done({failure, {}});
    }

    static void log_lost_connection(const wire::endpoint& peer, const link& it)
    {
        const auto silence =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                steady::now() - it.stream->last_received());
        base::log_event(base::log_level::warning, "peers", "connection_lost",
                        {{"peer", wire::to_string(peer)},
                         {"open_calls", it.calls.size()},
                         {"silent_ms", silence.count()}});
    }

    /// Closes the connection that has waited longest for its first frame;
    /// returns false when all peers are authenticated.
    bool close_unknown()
    {
        while (!unknown.empty())
        {
            const auto it = unknown.front().lock();
            unknown.pop_front();
            if (it && !it->is_authenticated() && incoming.erase(it) > 0)
            {
                it->close();
                return true;
            }
        }
        return false;
    }

    /// Closes a connection whose peer does not authenticate itself in time.
    void expect_authentication(const std::shared_ptr<framed_stream>& stream)
    {
        unknown.push_back(stream);
        const auto timer = std::make_shared<asio::steady_timer>(
            io, limits.authentication_timeout);
        timer->async_wait(
            [self = shared_from_this(), timer,
             weak = std::weak_ptr(stream)](error_code)
            {
                const auto it = weak.lock();
                std::erase_if(self->unknown,
                              [&](const auto& other)
                              {
                                  return other.expired() || other.lock() == it;
                              });
                if (!it || it->is_authenticated() ||
                    self->incoming.erase(it) == 0)
                    return;
                self->guard.refused("peers", "not authenticated");
                it->close();
            });
    }

    void accepted(tcp::socket socket)
    {
        if (incoming.size() >= limits.max_incoming)
        {
            guard.refused("peers", "too many connections");
            if (!close_unknown())
                return;
        }
        set_low_latency(socket);
        const auto challenge =
            std::make_shared<std::string>(wire::make_challenge());
        const auto shared = std::make_shared<tcp::socket>(std::move(socket));
        asio::async_write(*shared, asio::buffer(*challenge),
                          [self = shared_from_this(), shared,
                           challenge](error_code ec, std::size_t)
                          {
                              if (!ec)
                                  self->serve_frames(std::move(*shared),
                                                     *challenge);
                          });
    }

    void serve_frames(tcp::socket socket, const std::string& challenge)
    {
        auto stream = std::make_shared<framed_stream>(
            std::move(socket), wire::connection_key(secret, challenge));
        incoming.insert(stream);
        stream->require_authentication(guard);
        expect_authentication(stream);
        const std::weak_ptr<framed_stream> weak = stream;
        stream->run(
            [self = shared_from_this(), weak](wire::frame frame)
            {
                const auto id = frame.correlation;
                self->handle(frame.type, std::move(frame.payload),
                             [weak, id](std::string payload)
                             {
                                 if (const auto it = weak.lock())
                                     it->send({wire::message_type::answer, id,
                                               std::move(payload)});
                             });
            },
            [self = shared_from_this(), weak](error_code)
            {
                self->incoming.erase(weak.lock());
            });
    }

    asio::io_context& io;
    wire::endpoint listen;
    std::string secret;
    connection_guard& guard;
    peer_handler handle;
    peer_limits limits;
    tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    std::map<wire::endpoint, link> links;
    std::set<std::shared_ptr<framed_stream>> incoming;
    /// Incoming connections without an authenticated frame, oldest first.
    std::deque<std::weak_ptr<framed_stream>> unknown;
    std::uint64_t last_id = 0;
    bool stopped = false;
};

std::string_view to_string(peer_failure failure)
{
    switch (failure)
    {
    case peer_failure::none:
        return "none";
    case peer_failure::connection_refused:
        return "connection refused";
    case peer_failure::connection_lost:
        return "connection lost";
    case peer_failure::timed_out:
        return "timed out";
    case peer_failure::failed:
        return "the peer failed";
    }
    return "unknown";
}

peer_hub::peer_hub(asio::io_context& io, wire::endpoint listen,
                   std::string secret, connection_guard& guard,
                   peer_handler handle, peer_limits limits)
    : impl_(std::make_shared<impl>(io, std::move(listen), std::move(secret),
                                   guard, std::move(handle), limits))
{
}

peer_hub::~peer_hub()
{
    stop();
}

bool peer_hub::start()
{
    if (!open_acceptor(impl_->acceptor, impl_->listen))
        return false;
    accept_connections(impl_, "peers");
    return true;
}

void peer_hub::call(const wire::endpoint& peer, wire::message_type type,
                    std::string payload, std::chrono::milliseconds timeout,
                    peer_callback done)
{
    impl_->call(peer, type, std::move(payload), timeout, std::move(done));
}

void peer_hub::stop()
{
    impl_->stopped = true;
    error_code ec;
    impl_->acceptor.close(ec);
    impl_->accept_timer.cancel();
    const auto incoming = std::move(impl_->incoming);
    impl_->incoming.clear();
    for (const auto& it : incoming)
        it->close();
    auto links = std::move(impl_->links);
    impl_->links.clear();
    for (auto& [peer, it] : links)
        if (it.stream)
            it.stream->close();
}

} // namespace mustardwick::aio
