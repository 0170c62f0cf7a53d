#include "testing/scenario/udp_relay.hpp"

#include <array>
#include <vector>

#include <poll.h>
#include <sys/socket.h>

namespace mustardwick::testing
{

namespace
{

constexpr int poll_interval_ms = 20;
constexpr std::size_t max_datagram_bytes = 64U << 10U;

} // namespace

udp_relay::udp_relay(std::uint16_t target)
    : target_(target), listener_(bind_loopback(socket_kind::udp, 0)),
      thread_(
          [this]
          {
              run();
          })
{
}

udp_relay::~udp_relay()
{
    stopping_ = true;
    thread_.join();
}

void udp_relay::run()
{
    while (!stopping_)
    {
        std::vector<pollfd> entries{{listener_.get(), POLLIN, 0}};
        std::vector<std::uint16_t> ports{0};
        for (const auto& [port, it] : senders_)
        {
            entries.push_back({it.get(), POLLIN, 0});
            ports.push_back(port);
        }
        if (poll(entries.data(), entries.size(), poll_interval_ms) <= 0)
            continue;
        for (std::size_t n = 1; n < entries.size(); ++n)
        {
            if (entries[n].revents != 0)
                return_datagram(ports[n], senders_.at(ports[n]));
        }
        if (entries.front().revents != 0)
            forward_datagram();
    }
}

void udp_relay::forward_datagram()
{
    std::array<char, max_datagram_bytes> buf;
    sockaddr_in sender{};
    socklen_t size = sizeof sender;
    const auto n = recvfrom(listener_.get(), buf.data(), buf.size(), 0,
                            reinterpret_cast<sockaddr*>(&sender), &size);
    if (n < 0 || link_.is_cut(flow::forward))
        return;
    const auto port = ntohs(sender.sin_port);
    auto it = senders_.find(port);
    if (it == senders_.end())
        it = senders_.emplace(port, connect_loopback(socket_kind::udp, target_))
                 .first;
    send(it->second.get(), buf.data(), static_cast<std::size_t>(n), 0);
}

void udp_relay::return_datagram(std::uint16_t sender, const descriptor& socket)
{
    std::array<char, max_datagram_bytes> buf;
    const auto n = recv(socket.get(), buf.data(), buf.size(), 0);
    if (n < 0 || link_.is_cut(flow::backward))
        return;
    const auto address = loopback(sender);
    sendto(listener_.get(), buf.data(), static_cast<std::size_t>(n), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

} // namespace mustardwick::testing
