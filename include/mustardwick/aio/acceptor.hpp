#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::aio
{

/// @brief Binds an acceptor and listens. Returns false, with
/// base::last_error(), on failure.
bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                   const wire::endpoint& address);

} // namespace mustardwick::aio
