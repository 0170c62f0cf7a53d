#include "mustardwick/http/client.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <openssl/ssl.h>

#include "connection.hpp"
#include "mustardwick/base/error.hpp"

namespace mustardwick::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace
{

using connection_ptr = std::unique_ptr<connection>;

wire_request to_wire(const wire::endpoint& peer, const client_call& call)
{
    wire_request out;
    out.version(11);
    out.method_string(call.method);
    out.target(call.target);
    out.set(beast::http::field::host, wire::to_string(peer));
    if (!call.authorization.empty())
        out.set(beast::http::field::authorization, call.authorization);
    if (!call.body.empty())
        out.set(beast::http::field::content_type, "application/json");
    out.body() = call.body;
    out.prepare_payload();
    return out;
}

} // namespace

struct client::impl
{
    impl(client_options o, base::metrics& m) : options(std::move(o)), metrics(m)
    {
        if (options.ca_file.empty())
            return;
        SSL_CTX_set_min_proto_version(tls.native_handle(), TLS1_2_VERSION);
        tls.load_verify_file(options.ca_file, ca_error);
    }

    connection_ptr make()
    {
        return options.ca_file.empty() ? make_plain_connection(counter)
                                       : make_tls_connection(counter, tls);
    }

    connection_ptr take_idle(const wire::endpoint& peer)
    {
        const std::scoped_lock lock(mutex);
        auto& list = idle[peer];
        while (!list.empty())
        {
            auto out = std::move(list.back());
            list.pop_back();
            if (out->is_usable())
                return out;
        }
        return nullptr;
    }

    void return_idle(const wire::endpoint& peer, connection_ptr value)
    {
        const std::scoped_lock lock(mutex);
        auto& list = idle[peer];
        if (list.size() < options.max_idle_per_peer)
            list.push_back(std::move(value));
    }

    connection_ptr connect(const wire::endpoint& peer,
                           steady_clock::time_point deadline)
    {
        auto out = make();
        const auto limit =
            std::min(deadline, steady_clock::now() + options.connect_timeout);
        return out->open(peer, limit) ? std::move(out) : nullptr;
    }

    client_options options;
    base::metrics& metrics;
    asio::ssl::context tls{asio::ssl::context::tls_client};
    error_code ca_error;
    traffic counter;
    std::mutex mutex;
    std::map<wire::endpoint, std::vector<connection_ptr>> idle;
};

client::client(client_options options, base::metrics& metrics)
    : impl_(std::make_unique<impl>(std::move(options), metrics))
{
}

client::~client() = default;

std::uint64_t client::bytes_transferred() const
{
    return impl_->counter.bytes;
}

std::optional<reply> client::send(const wire::endpoint& peer,
                                  const client_call& call, delivery* progress)
{
    delivery ignored = delivery::not_sent;
    auto& sent = progress != nullptr ? *progress : ignored;
    sent = delivery::not_sent;
    if (impl_->ca_error)
        return base::fail(base::error_kind::invalid_input,
                          "cannot load the CA file " + impl_->options.ca_file +
                              ": " + impl_->ca_error.message(),
                          "name a PEM file of certificates");
    const auto deadline = steady_clock::now() + call.timeout;
    auto message = to_wire(peer, call);
    auto conn = call.idempotent ? impl_->take_idle(peer) : nullptr;
    bool pooled = conn != nullptr;
    auto next = delivery::maybe_sent;
    while (true)
    {
        if (!conn)
            conn = impl_->connect(peer, deadline);
        if (!conn)
            return base::fail(base::error_kind::unavailable,
                              "cannot connect to " + wire::to_string(peer),
                              "check that the peer runs and is reachable");
        sent = std::exchange(next, delivery::resent);
        bool keep_alive = false;
        auto answer = conn->write(message, deadline)
                          ? conn->read(impl_->options, call.method == "HEAD",
                                       deadline, keep_alive)
                          : std::nullopt;
        if (answer && keep_alive && call.idempotent)
            impl_->return_idle(peer, std::move(conn));
        if (answer)
            return answer;
        impl_->metrics.add("mustardwick_http_client_lost_total");
        conn.reset();
        if (!pooled || steady_clock::now() >= deadline)
            return base::fail(base::error_kind::timeout,
                              "no answer from " + wire::to_string(peer),
                              "retry with the same request id");
        pooled = false;
    }
}

} // namespace mustardwick::http
