// Measures the HTTP server and the internal protocol on loopback.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <cxxopts.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/http/client.hpp"
#include "mustardwick/http/server.hpp"
#include "mustardwick/wire/rpc.hpp"

namespace
{

using namespace mustardwick;
using std::chrono::duration;
using std::chrono::steady_clock;

struct load
{
    int clients = 8;
    int calls = 10'000;
};

struct result
{
    std::vector<double> microseconds;
    double seconds = 0;
    int failed = 0;
};

/// Calls the function from several threads and times each call.
result measure(const load& chosen, const std::function<bool()>& call)
{
    std::vector<result> parts(static_cast<std::size_t>(chosen.clients));
    std::vector<std::thread> threads;
    threads.reserve(parts.size());
    const auto began = steady_clock::now();
    for (auto& part : parts)
        threads.emplace_back(
            [&]
            {
                for (int n = 0; n < chosen.calls; ++n)
                {
                    const auto start = steady_clock::now();
                    part.failed += !call();
                    const duration<double, std::micro> took =
                        steady_clock::now() - start;
                    part.microseconds.push_back(took.count());
                }
            });
    for (auto& it : threads)
        it.join();
    result out;
    out.seconds = duration<double>(steady_clock::now() - began).count();
    for (const auto& it : parts)
    {
        out.failed += it.failed;
        out.microseconds.insert(out.microseconds.end(), it.microseconds.begin(),
                                it.microseconds.end());
    }
    std::sort(out.microseconds.begin(), out.microseconds.end());
    return out;
}

void print(const std::string& name, const load& chosen, const result& out)
{
    const auto n = out.microseconds.size();
    std::cout << name << " clients=" << chosen.clients << " calls=" << n
              << " failed=" << out.failed << " per_second="
              << static_cast<long>(static_cast<double>(n) / out.seconds)
              << " p50_us=" << static_cast<long>(out.microseconds[n / 2])
              << " p99_us=" << static_cast<long>(out.microseconds[n * 99 / 100])
              << '\n';
}

bool measure_http(const load& chosen, base::metrics& metrics)
{
    http::server_options options;
    options.listen = {"127.0.0.1", 0};
    options.handler_threads = 8;
    http::server listener(
        options,
        [](const http::request& call)
        {
            http::response out;
            out.body = call.body;
            return out;
        },
        metrics);
    if (!listener.start())
        return false;
    http::client caller({}, metrics);
    http::client_call call;
    call.body = R"({"value":1})";
    call.idempotent = true;
    const wire::endpoint peer{"127.0.0.1", listener.port()};
    const auto send = [&]
    {
        return caller.send(peer, call).has_value();
    };
    print("http_kept", chosen, measure(chosen, send));
    call.idempotent = false;
    const load fewer{chosen.clients, std::min(chosen.calls, 2000)};
    print("http_new_connection", fewer, measure(fewer, send));
    return true;
}

bool measure_rpc(const load& chosen, base::metrics& metrics)
{
    wire::rpc_server_options options;
    options.listen = {"127.0.0.1", 0};
    options.secret = "secret";
    options.handler_threads = 8;
    wire::rpc_server listener(
        options,
        [](wire::message_type, const std::string& bytes)
        {
            return std::optional(bytes);
        },
        metrics);
    if (!listener.start())
        return false;
    wire::rpc_client caller({"secret"}, metrics);
    const wire::endpoint peer{"127.0.0.1", listener.port()};
    const std::string payload(100, 'x');
    print("rpc", chosen,
          measure(chosen,
                  [&]
                  {
                      return caller
                          .call(peer, wire::message_type::notify_inbox, payload,
                                std::chrono::seconds{2}, true)
                          .has_value();
                  }));
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bench_transport",
                             "measures the transports on loopback");
    options.add_options()("clients", "threads that call",
                          cxxopts::value<int>()->default_value("8"))(
        "calls", "calls of each thread",
        cxxopts::value<int>()->default_value("10000"));
    try
    {
        const auto chosen = options.parse(argc, argv);
        const load wanted{std::clamp(chosen["clients"].as<int>(), 1, 64),
                          std::clamp(chosen["calls"].as<int>(), 1, 100'000)};
        base::metrics metrics;
        if (measure_http(wanted, metrics) && measure_rpc(wanted, metrics))
            return 0;
        std::cerr << base::last_error().text() << '\n';
    }
    catch (const std::exception& ex)
    {
        std::cerr << ex.what() << '\n' << options.help();
    }
    return 1;
}
