#include "mustardwick/aio/acceptor.hpp"

#include "mustardwick/base/error.hpp"

namespace mustardwick::aio
{

bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                   const wire::endpoint& address)
{
    namespace asio = boost::asio;
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(address.address, ec);
    const asio::ip::tcp::endpoint where(ip, address.port);
    if (!ec)
        acceptor.open(where.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(where, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        return true;
    base::fail(base::error_kind::unavailable,
               "cannot listen on " + wire::to_string(address) + ": " +
                   ec.message(),
               "check that the address is this host's and the port free");
    return false;
}

} // namespace mustardwick::aio
