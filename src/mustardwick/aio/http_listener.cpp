#include "http_listener_impl.hpp"

#include <algorithm>
#include <vector>

#include "mustardwick/aio/acceptor.hpp"
#include "mustardwick/aio/socket_options.hpp"

namespace mustardwick::aio
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

/// Connections whose sockets are asked for unread bytes when a new one needs a
/// place. All of a crowd would cost a system call each.
constexpr std::size_t max_asked_connections = 8;
/// Connections beyond the limit that are open at once to be told so.
constexpr std::size_t max_turned_away = 16;

} // namespace

bool http_listener::impl::close_longest_idle()
{
    std::vector<std::shared_ptr<session>> waiting;
    for (const auto& it : sessions)
        if (!it->is_busy() && !it->is_turned_away())
            waiting.push_back(it);
    const auto asked = std::min(waiting.size(), max_asked_connections);
    std::partial_sort(waiting.begin(), waiting.begin() + std::ptrdiff_t(asked),
                      waiting.end(),
                      [](const auto& left, const auto& right)
                      {
                          return left->idle_since() < right->idle_since();
                      });
    waiting.resize(asked);
    const auto longest =
        std::find_if(waiting.begin(), waiting.end(),
                     [](const auto& it)
                     {
                         return it->is_discarding() || it->is_idle();
                     });
    if (longest == waiting.end())
        return false;
    (*longest)->close("displaced");
    return true;
}

void http_listener::impl::turn_away(asio::ip::tcp::socket socket)
{
    if (turned_away < max_turned_away)
    {
        const auto it =
            std::make_shared<session>(shared_from_this(), std::move(socket));
        sessions.insert(it);
        return it->turn_away();
    }
    error_code ec;
    const auto unread = socket.available(ec);
    guard.closed("listener",
                 {"turned away", milliseconds(0), ec ? 0 : unread, false});
}

void http_listener::impl::accepted(asio::ip::tcp::socket socket)
{
    if (sessions.size() - turned_away >= limits.max_connections)
    {
        guard.refused("listener", "too many connections");
        if (!close_longest_idle())
            return turn_away(std::move(socket));
    }
    set_low_latency(socket);
    auto it = std::make_shared<session>(shared_from_this(), std::move(socket));
    sessions.insert(it);
    it->start();
}

void http_listener::impl::accept_established()
{
    error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec)
    {
        asio::ip::tcp::socket socket(io);
        acceptor.accept(socket, ec);
        if (!ec)
            accepted(std::move(socket));
    }
}

http_listener::http_listener(asio::io_context& io, wire::endpoint address,
                             std::string deadline_header,
                             connection_guard& guard, request_handler handle)
    : impl_(std::make_shared<impl>(io, std::move(address),
                                   std::move(deadline_header), guard,
                                   std::move(handle)))
{
}

http_listener::~http_listener()
{
    error_code ec;
    impl_->acceptor.close(ec);
    impl_->accept_timer.cancel();
    const auto sessions = impl_->sessions;
    for (const auto& it : sessions)
        if (!it->is_busy())
            it->close("stopping");
}

bool http_listener::start()
{
    if (!open_acceptor(impl_->acceptor, impl_->address))
        return false;
    accept_connections(impl_, "listener");
    return true;
}

void http_listener::set_limits(const listener_limits& limits)
{
    impl_->limits = limits;
}

void http_listener::begin_drain()
{
    impl_->draining = true;
}

void http_listener::close_idle()
{
    error_code ec;
    if (impl_->acceptor.is_open())
        impl_->accept_established();
    impl_->acceptor.close(ec);
    const auto sessions = impl_->sessions;
    for (const auto& it : sessions)
        if (it->is_idle())
            it->close("stopping");
}

bool http_listener::is_closed() const
{
    return impl_->sessions.empty();
}

std::size_t http_listener::open_requests() const
{
    return impl_->open_requests;
}

} // namespace mustardwick::aio
