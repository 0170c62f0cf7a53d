#include "testing/scenario/tcp_relay.hpp"

#include <array>
#include <chrono>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mustardwick::testing
{

namespace
{

constexpr int poll_interval_ms = 20;
constexpr std::chrono::milliseconds blocked_poll_interval{5};
constexpr std::size_t chunk_bytes = 64U << 10U;

void set_no_delay(const descriptor& socket)
{
    const int yes = 1;
    setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

bool send_all(const descriptor& socket, const char* data, std::size_t size)
{
    while (size > 0)
    {
        const auto n = send(socket.get(), data, size, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data += n;
        size -= static_cast<std::size_t>(n);
    }
    return true;
}

} // namespace

struct tcp_relay::connection
{
    std::uint64_t id = 0;
    descriptor client;
    descriptor server;
    std::atomic<int> active_threads{2};
    std::thread forward;
    std::thread backward;
};

tcp_relay::tcp_relay(std::uint16_t target, std::uint16_t listen)
    : target_(target), listener_(bind_loopback(socket_kind::tcp, listen)),
      acceptor_(
          [this]
          {
              accept_connections();
          })
{
}

tcp_relay::~tcp_relay()
{
    stopping_ = true;
    acceptor_.join();
    for (auto& it : connections_)
    {
        shutdown(it->client.get(), SHUT_RDWR);
        shutdown(it->server.get(), SHUT_RDWR);
        it->forward.join();
        it->backward.join();
    }
}

void tcp_relay::accept_connections()
{
    while (!stopping_)
    {
        remove_ended();
        if (!wait_readable(listener_, poll_interval_ms))
            continue;
        descriptor client(
            accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (client.is_open())
            start_connection(std::move(client));
    }
}

void tcp_relay::start_connection(descriptor client)
{
    auto server = connect_loopback(socket_kind::tcp, target_);
    if (!server.is_open())
        return;
    set_no_delay(client);
    set_no_delay(server);
    connections_.push_back(std::make_unique<connection>());
    auto& conn = *connections_.back();
    conn.id = link_.add_connection();
    conn.client = std::move(client);
    conn.server = std::move(server);
    conn.forward = std::thread(
        [this, &conn]
        {
            pump(conn, flow::forward);
        });
    conn.backward = std::thread(
        [this, &conn]
        {
            pump(conn, flow::backward);
        });
}

void tcp_relay::remove_ended()
{
    connections_.remove_if(
        [](const std::unique_ptr<connection>& it)
        {
            if (it->active_threads > 0)
                return false;
            it->forward.join();
            it->backward.join();
            return true;
        });
}

void tcp_relay::pump(connection& conn, flow direction) const
{
    while (!stopping_)
    {
        const bool blocked =
            link_.is_blackholed(conn.id) || link_.is_cut(direction);
        if (blocked)
            std::this_thread::sleep_for(blocked_poll_interval);
        else if (!forward_available(conn, direction))
            break;
    }
    --conn.active_threads;
}

/// Forwards the data that is available; false once the stream has ended.
bool tcp_relay::forward_available(connection& conn, flow direction) const
{
    const bool is_forward = direction == flow::forward;
    const auto& from = is_forward ? conn.client : conn.server;
    const auto& to = is_forward ? conn.server : conn.client;
    if (!wait_readable(from, poll_interval_ms))
        return true;
    const bool became_blocked =
        link_.is_blackholed(conn.id) || link_.is_cut(direction);
    if (became_blocked)
        return true;
    std::array<char, chunk_bytes> buf;
    const auto n = recv(from.get(), buf.data(), buf.size(), 0);
    const bool sent =
        n > 0 && send_all(to, buf.data(), static_cast<std::size_t>(n));
    if (!sent)
        shutdown(to.get(), SHUT_WR);
    return sent;
}

} // namespace mustardwick::testing
