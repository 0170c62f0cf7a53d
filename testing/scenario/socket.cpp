#include "testing/scenario/socket.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mustardwick::testing
{

namespace
{

constexpr int listen_backlog = 256;
constexpr int min_port = 12'000;
constexpr int ports_per_block = 50;
constexpr int port_blocks = 400;

descriptor open_socket(socket_kind kind)
{
    const int type = kind == socket_kind::tcp ? SOCK_STREAM : SOCK_DGRAM;
    return descriptor(socket(AF_INET, type | SOCK_CLOEXEC, 0));
}

const sockaddr* as_sockaddr(const sockaddr_in& address)
{
    return reinterpret_cast<const sockaddr*>(&address);
}

} // namespace

descriptor::~descriptor()
{
    if (value_ >= 0)
        close(value_);
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(port);
    return out;
}

descriptor bind_loopback(socket_kind kind, std::uint16_t port)
{
    auto out = open_socket(kind);
    const int yes = 1;
    if (kind == socket_kind::tcp)
        setsockopt(out.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = loopback(port);
    if (bind(out.get(), as_sockaddr(address), sizeof address) != 0)
        return descriptor{};
    if (kind == socket_kind::tcp && listen(out.get(), listen_backlog) != 0)
        return descriptor{};
    return out;
}

descriptor connect_loopback(socket_kind kind, std::uint16_t port)
{
    auto out = open_socket(kind);
    const auto address = loopback(port);
    if (connect(out.get(), as_sockaddr(address), sizeof address) != 0)
        return descriptor{};
    return out;
}

std::uint16_t port_of(const descriptor& socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

bool wait_readable(const descriptor& socket, int time_ms)
{
    pollfd entry{socket.get(), POLLIN, 0};
    return poll(&entry, 1, time_ms) > 0;
}

std::optional<std::uint16_t> find_free_port()
{
    // Each runner begins with a block of ports chosen by its process id, so
    // that concurrent runners rarely compete for the same ports. Other programs
    // may use all ports of a block.
    constexpr int ports = port_blocks * ports_per_block;
    static const int first = getpid() % port_blocks * ports_per_block;
    static int used = 0;
    while (used < ports)
    {
        const auto port =
            static_cast<std::uint16_t>(min_port + (first + used++) % ports);
        const bool is_free = bind_loopback(socket_kind::tcp, port).is_open() &&
                             bind_loopback(socket_kind::udp, port).is_open();
        if (is_free)
            return port;
    }
    return std::nullopt;
}

} // namespace mustardwick::testing
