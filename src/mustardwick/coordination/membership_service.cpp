#include "mustardwick/coordination/membership_service.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/wire/codec.hpp"
#include "mustardwick/wire/frame.hpp"

namespace mustardwick::coordination
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using wire::message_type;

namespace
{

/// Resolution of the timeouts, of which the shortest is the direct timeout of
/// 200 ms.
constexpr std::chrono::milliseconds tick_interval{50};
/// Larger than wire::max_datagram_bytes, so that an oversized datagram is not
/// truncated to a valid size.
constexpr std::size_t receive_bytes = 2048;

std::uint64_t random_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

bool is_membership(message_type type)
{
    return type == message_type::probe || type == message_type::probe_answer ||
           type == message_type::indirect_probe;
}

bool states_are_known(const wire::membership_message& message)
{
    return std::all_of(message.claims.begin(), message.claims.end(),
                       [](const wire::member_claim& it)
                       {
                           return it.state <= wire::member_state::dead;
                       });
}

std::optional<membership_datagram> decode(std::string_view bytes,
                                          const udp::endpoint& source,
                                          std::string_view secret)
{
    if (bytes.size() > wire::max_datagram_bytes)
        return std::nullopt;
    const auto frame = wire::decode_frame(bytes, secret);
    if (!frame || !is_membership(frame->type))
        return std::nullopt;
    auto message = wire::decode<wire::membership_message>(frame->payload);
    if (!message || !states_are_known(*message))
        return std::nullopt;
    return membership_datagram{{source.address().to_string(), source.port()},
                               frame->type,
                               frame->correlation,
                               std::move(*message)};
}

} // namespace

struct membership_service::impl
{
    impl(membership_options o, const base::clock& c, base::metrics& m)
        : options(std::move(o)), clock(c), metrics(m),
          state(options.self, options.incarnation, random_seed())
    {
    }

    bool open();
    void receive_next();
    void handle(std::string_view bytes);
    void tick_later();
    void send(const membership::datagrams& output);

    membership_options options;
    const base::clock& clock;
    base::metrics& metrics;
    mutable std::mutex mutex;
    membership state;
    asio::io_context io{1};
    udp::socket socket{io};
    asio::steady_timer timer{io};
    udp::endpoint source;
    std::array<char, receive_bytes> buf{};
    std::thread thread;
    std::atomic<std::uint16_t> bound_port{0};
};

bool membership_service::impl::open()
{
    error_code ec;
    const auto address = asio::ip::make_address(options.listen.address, ec);
    const udp::endpoint where(address, options.listen.port);
    if (!ec)
        socket.open(where.protocol(), ec);
    if (!ec)
        socket.bind(where, ec);
    if (!ec)
        socket.non_blocking(true, ec);
    if (!ec)
    {
        bound_port = socket.local_endpoint().port();
        return true;
    }
    base::fail(base::error_kind::unavailable,
               "cannot receive datagrams on " +
                   wire::to_string(options.listen) + ": " + ec.message(),
               "choose a free address in inner.listen");
    return false;
}

void membership_service::impl::receive_next()
{
    socket.async_receive_from(asio::buffer(buf), source,
                              [this](error_code ec, std::size_t n)
                              {
                                  if (ec == asio::error::operation_aborted)
                                      return;
                                  if (!ec)
                                      handle({buf.data(), n});
                                  receive_next();
                              });
}

void membership_service::impl::handle(std::string_view bytes)
{
    const auto input = decode(bytes, source, options.secret);
    if (!input)
    {
        metrics.add("mustardwick_datagrams_dropped_total");
        return;
    }
    metrics.add("mustardwick_membership_bytes_total", bytes.size());
    const std::scoped_lock lock(mutex);
    send(state.receive(clock.now(), *input));
}

void membership_service::impl::tick_later()
{
    timer.expires_after(tick_interval);
    timer.async_wait(
        [this](error_code ec)
        {
            if (ec)
                return;
            {
                const std::scoped_lock lock(mutex);
                send(state.tick(clock.now()));
            }
            tick_later();
        });
}

void membership_service::impl::send(const membership::datagrams& output)
{
    for (const auto& it : output)
    {
        error_code ec;
        const auto address = asio::ip::make_address(it.remote.address, ec);
        const auto bytes = wire::encode_frame(
            {it.type, it.sequence, wire::encode(it.message)}, options.secret);
        if (ec || bytes.size() > wire::max_datagram_bytes)
            continue;
        const auto n = socket.send_to(asio::buffer(bytes),
                                      {address, it.remote.port}, 0, ec);
        if (!ec)
            metrics.add("mustardwick_membership_bytes_total", n);
    }
}

membership_service::membership_service(membership_options options,
                                       const base::clock& clock,
                                       base::metrics& metrics)
    : impl_(std::make_unique<impl>(std::move(options), clock, metrics))
{
}

membership_service::~membership_service()
{
    stop();
}

bool membership_service::start()
{
    if (!impl_->open())
        return false;
    impl_->receive_next();
    impl_->tick_later();
    impl_->thread = std::thread(
        [this]
        {
            impl_->io.run();
        });
    return true;
}

void membership_service::stop()
{
    if (!impl_->thread.joinable())
        return;
    asio::post(impl_->io,
               [this]
               {
                   error_code ec;
                   impl_->timer.cancel();
                   impl_->socket.close(ec);
                   impl_->io.stop();
               });
    impl_->thread.join();
}

std::uint16_t membership_service::port() const
{
    return impl_->bound_port;
}

void membership_service::set_peers(std::span<const peer> peers)
{
    const std::scoped_lock lock(impl_->mutex);
    impl_->state.set_peers(peers);
}

std::optional<wire::member_state>
membership_service::peer_state(std::string_view name) const
{
    const std::scoped_lock lock(impl_->mutex);
    return impl_->state.peer_state(name);
}

std::optional<base::milliseconds>
membership_service::since_last_datagram(std::string_view name) const
{
    const std::scoped_lock lock(impl_->mutex);
    return impl_->state.since_last_datagram(name, impl_->clock.now());
}

std::uint64_t membership_service::incarnation() const
{
    const std::scoped_lock lock(impl_->mutex);
    return impl_->state.incarnation();
}

void membership_service::set_config_version(std::uint64_t version)
{
    const std::scoped_lock lock(impl_->mutex);
    impl_->state.set_config_version(version);
}

std::uint64_t membership_service::highest_config_version() const
{
    const std::scoped_lock lock(impl_->mutex);
    return impl_->state.highest_config_version();
}

} // namespace mustardwick::coordination
