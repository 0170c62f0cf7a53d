#include "mustardwick/wire/rpc.hpp"

#include <array>
#include <atomic>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/write.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/open_sessions.hpp"

namespace mustardwick::wire
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Time without calls after which a connection is closed.
constexpr std::chrono::minutes idle_timeout{5};
/// Frames up to this size do not count towards max_buffered_bytes.
constexpr std::size_t small_frame_bytes = 16U << 10U;
/// Delay after a failed accept, which without free file descriptors would fail
/// again immediately.
constexpr std::chrono::milliseconds accept_retry_delay{100};

failure to_failure(const base::error& reason)
{
    return {static_cast<std::uint8_t>(reason.kind), reason.message,
            reason.remedy};
}

} // namespace

struct rpc_server::impl : std::enable_shared_from_this<impl>
{
    class session;

    impl(rpc_server_options o, rpc_handler h, base::metrics& m)
        : options(std::move(o)), handler(std::move(h)), metrics(m),
          pool(static_cast<std::size_t>(options.handler_threads))
    {
    }

    void accept_next();
    void retry_accept();
    frame answer_to(const frame& message);
    void handle(const std::shared_ptr<session>& caller, frame message);

    rpc_server_options options;
    rpc_handler handler;
    base::metrics& metrics;
    asio::io_context io{1};
    /// Keeps the I/O thread running while calls are handled and no I/O is
    /// pending.
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    tcp::acceptor acceptor{io};
    asio::steady_timer accept_timer{io};
    asio::thread_pool pool;
    std::thread io_thread;
    open_sessions sessions;
    std::atomic<std::size_t> buffered{0};
    std::atomic<int> waiting{0};
    std::atomic<int> connections{0};
    std::atomic<std::uint16_t> bound_port{0};
};

class rpc_server::impl::session : public open_session,
                                  public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<impl> owner)
        : socket_(std::move(socket)), timer_(socket_.get_executor()),
          owner_(std::move(owner)), output_(make_challenge()),
          key_(connection_key(owner_->options.secret, output_))
    {
        ++owner_->connections;
    }

    ~session() override
    {
        release();
        owner_->sessions.remove(this);
        --owner_->connections;
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// Sends the challenge, then reads calls.
    void start()
    {
        write();
    }

    void answer(const frame& value)
    {
        const auto bytes = encode_frame(value, key_);
        asio::post(socket_.get_executor(),
                   [self = shared_from_this(),
                    bytes = encode_length(bytes.size()) + bytes]() mutable
                   {
                       self->output_ = std::move(bytes);
                       self->write();
                   });
    }

    void abort() override
    {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()]
                   {
                       self->aborted_ = true;
                       if (!self->writing_)
                           self->close();
                   });
    }

private:
    void expire_after(std::chrono::steady_clock::duration time)
    {
        timer_.expires_after(time);
        timer_.async_wait(
            [weak = weak_from_this()](error_code ec)
            {
                const auto self = weak.lock();
                if (!ec && self)
                    self->close();
            });
    }

    void read_length()
    {
        if (authenticated_)
            expire_after(idle_timeout);
        else
            expire_after(owner_->options.frame_timeout);
        asio::async_read(socket_, asio::buffer(length_),
                         [self = shared_from_this()](error_code ec, std::size_t)
                         {
                             if (!ec)
                                 self->read_body();
                             else
                                 self->close();
                         });
    }

    void read_body()
    {
        const auto n = decode_length(length_);
        if (!n)
            return reject(base::last_error().text());
        if (!reserve(*n))
            return reject("too many frames are being received");
        expire_after(owner_->options.frame_timeout);
        input_.resize(*n);
        asio::async_read(socket_, asio::buffer(input_),
                         [self = shared_from_this()](error_code ec, std::size_t)
                         {
                             if (!ec)
                                 self->dispatch();
                             else
                                 self->close();
                         });
    }

    void dispatch()
    {
        timer_.cancel();
        auto message = decode_frame(input_, key_);
        input_ = {};
        release();
        if (!message)
            return reject(base::last_error().text());
        // A frame received twice on the same connection is a replay.
        if (authenticated_ && message->correlation <= last_correlation_)
            return reject("the correlation id did not increase");
        authenticated_ = true;
        last_correlation_ = message->correlation;
        owner_->handle(shared_from_this(), std::move(*message));
    }

    void reject(const std::string& reason)
    {
        owner_->metrics.add("mustardwick_inner_frames_dropped_total");
        base::log_event(base::log_level::warning, "wire", "frame_dropped",
                        {{"reason", reason}});
        close();
    }

    bool reserve(std::size_t n)
    {
        if (n <= small_frame_bytes)
            return true;
        reserved_ = n;
        return (owner_->buffered += n) <= owner_->options.max_buffered_bytes;
    }

    void release()
    {
        owner_->buffered -= std::exchange(reserved_, 0);
    }

    void write()
    {
        writing_ = true;
        expire_after(owner_->options.frame_timeout);
        asio::async_write(
            socket_, asio::buffer(output_),
            [self = shared_from_this()](error_code ec, std::size_t)
            {
                self->writing_ = false;
                self->output_ = {};
                if (!ec && !self->aborted_)
                    self->read_length();
                else
                    self->close();
            });
    }

    void close()
    {
        error_code ec;
        timer_.cancel();
        socket_.close(ec);
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<impl> owner_;
    std::array<char, length_bytes> length_{};
    std::string input_;
    std::string output_;
    std::string key_;
    std::uint64_t last_correlation_ = 0;
    std::size_t reserved_ = 0;
    bool authenticated_ = false;
    bool writing_ = false;
    bool aborted_ = false;
};

void rpc_server::impl::accept_next()
{
    acceptor.async_accept(
        [self = shared_from_this()](error_code ec, tcp::socket socket)
        {
            if (!self->acceptor.is_open())
                return;
            if (ec)
                return self->retry_accept();
            if (self->connections < self->options.max_connections)
            {
                socket.set_option(tcp::no_delay(true), ec);
                const auto caller =
                    std::make_shared<session>(std::move(socket), self);
                if (self->sessions.add(caller))
                    caller->start();
            }
            self->accept_next();
        });
}

void rpc_server::impl::retry_accept()
{
    accept_timer.expires_after(accept_retry_delay);
    accept_timer.async_wait(
        [self = shared_from_this()](error_code ec)
        {
            if (!ec && self->acceptor.is_open())
                self->accept_next();
        });
}

frame rpc_server::impl::answer_to(const frame& message)
{
    try
    {
        auto bytes = handler(message.type, message.payload);
        if (bytes)
            return {message_type::answer, message.correlation,
                    std::move(*bytes)};
    }
    catch (const std::exception& ex)
    {
        base::fail(base::error_kind::internal,
                   std::string("the handler failed: ") + ex.what(),
                   "see the daemon's log");
    }
    return {message_type::failure, message.correlation,
            encode(to_failure(base::last_error()))};
}

void rpc_server::impl::handle(const std::shared_ptr<session>& caller,
                              frame message)
{
    if (waiting >= options.max_waiting_calls)
    {
        const base::error reason{base::error_kind::overloaded,
                                 "too many internal calls wait",
                                 "retry after a delay"};
        caller->answer({message_type::failure, message.correlation,
                        encode(to_failure(reason))});
        return;
    }
    ++waiting;
    asio::post(pool,
               [self = shared_from_this(), caller, message = std::move(message)]
               {
                   --self->waiting;
                   caller->answer(self->answer_to(message));
               });
}

rpc_server::rpc_server(rpc_server_options options, rpc_handler handler,
                       base::metrics& metrics)
    : impl_(std::make_shared<impl>(std::move(options), std::move(handler),
                                   metrics))
{
}

rpc_server::~rpc_server()
{
    stop();
}

bool rpc_server::start()
{
    error_code ec;
    const auto address =
        asio::ip::make_address(impl_->options.listen.address, ec);
    const tcp::endpoint where(address, impl_->options.listen.port);
    if (!ec)
        impl_->acceptor.open(where.protocol(), ec);
    if (!ec)
        impl_->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        impl_->acceptor.bind(where, ec);
    if (!ec)
        impl_->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
    {
        base::fail(base::error_kind::unavailable,
                   "cannot listen on " + to_string(impl_->options.listen) +
                       ": " + ec.message(),
                   "choose a free address in inner.listen");
        return false;
    }
    impl_->bound_port = impl_->acceptor.local_endpoint().port();
    impl_->accept_next();
    impl_->io_thread = std::thread(
        [self = impl_]
        {
            self->io.run();
        });
    return true;
}

void rpc_server::stop()
{
    if (!impl_->io_thread.joinable())
        return;
    asio::post(impl_->io,
               [self = impl_]
               {
                   error_code ec;
                   self->acceptor.close(ec);
                   self->accept_timer.cancel();
               });
    impl_->pool.join();
    impl_->sessions.abort_all();
    impl_->work.reset();
    impl_->io_thread.join();
}

std::uint16_t rpc_server::port() const
{
    return impl_->bound_port;
}

} // namespace mustardwick::wire
