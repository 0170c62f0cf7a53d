#pragma once

#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mustardwick/aio/connection_guard.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::aio
{

/// @brief Binds an acceptor and listens. Returns false, with
/// base::last_error(), on failure.
bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                   const wire::endpoint& address);

/// Delay after a failed accept: without free descriptors, an immediate retry
/// would fail again and keep the thread busy.
inline constexpr std::chrono::milliseconds accept_retry_delay{100};

/// @brief A server that takes accepted connections.
template <typename Server>
concept accepting_server = requires(Server& it,
                                    boost::asio::ip::tcp::socket socket)
{
    {it.acceptor};
    {it.accept_timer};
    {it.guard};
    it.accepted(std::move(socket));
};

/// @brief Accepts connections until the acceptor of the server is closed.
template <accepting_server Server>
void accept_connections(const std::shared_ptr<Server>& server,
                        std::string_view component)
{
    using boost::system::error_code;
    server->acceptor.async_accept(
        [server, component](error_code ec, boost::asio::ip::tcp::socket socket)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (!ec)
            {
                server->accepted(std::move(socket));
                return accept_connections(server, component);
            }
            server->guard.refused(component, "accept failed");
            server->accept_timer.expires_after(accept_retry_delay);
            server->accept_timer.async_wait(
                [server, component](error_code failed)
                {
                    if (!failed && server->acceptor.is_open())
                        accept_connections(server, component);
                });
        });
}

} // namespace mustardwick::aio
