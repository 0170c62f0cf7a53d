#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include <netinet/in.h>

namespace mustardwick::testing
{

/// @brief Owns a file descriptor.
class descriptor
{
public:
    explicit descriptor(int value = -1) : value_(value) {}

    descriptor(descriptor&& other) noexcept
        : value_(std::exchange(other.value_, -1))
    {
    }

    descriptor& operator=(descriptor&& other) noexcept
    {
        std::swap(value_, other.value_);
        return *this;
    }

    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor();

    int get() const
    {
        return value_;
    }

    bool is_open() const
    {
        return value_ >= 0;
    }

private:
    int value_;
};

enum class socket_kind
{
    tcp,
    udp
};

sockaddr_in loopback(std::uint16_t port);

/// @brief Returns a socket bound to a port on 127.0.0.1, listening if TCP; 0
/// takes any free port. The descriptor is not open on failure.
descriptor bind_loopback(socket_kind kind, std::uint16_t port);

/// @brief Returns a socket connected to a port on 127.0.0.1; not open on
/// failure.
descriptor connect_loopback(socket_kind kind, std::uint16_t port);

std::uint16_t port_of(const descriptor& socket);

/// @brief Waits until a socket is readable; false when the time expires.
bool wait_readable(const descriptor& socket, int time_ms);

/// @brief Returns a port that is free for TCP and UDP; std::nullopt when the
/// runner's block is used up.
///
/// The port lies below the ephemeral range, so that no outgoing connection can
/// occupy it while a daemon is down.
std::optional<std::uint16_t> find_free_port();

} // namespace mustardwick::testing
