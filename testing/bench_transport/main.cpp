// Benchmarks the HTTP server and the internal RPC protocol on loopback.

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

struct load_config
{
    int clients = 8;
    int calls = 10'000;
};

struct measurement
{
    std::vector<double> microseconds;
    double seconds = 0;
    int failed = 0;
};

/// Calls the function from several threads; returns the sorted call times.
measurement measure(const load_config& config,
                    const std::function<bool()>& call)
{
    std::vector<measurement> parts(static_cast<std::size_t>(config.clients));
    std::vector<std::thread> threads;
    threads.reserve(parts.size());
    const auto start_time = steady_clock::now();
    for (auto& part : parts)
        threads.emplace_back(
            [&]
            {
                for (int n = 0; n < config.calls; ++n)
                {
                    const auto start = steady_clock::now();
                    part.failed += !call();
                    const duration<double, std::micro> elapsed =
                        steady_clock::now() - start;
                    part.microseconds.push_back(elapsed.count());
                }
            });
    for (auto& it : threads)
        it.join();
    measurement out;
    out.seconds = duration<double>(steady_clock::now() - start_time).count();
    for (const auto& it : parts)
    {
        out.failed += it.failed;
        out.microseconds.insert(out.microseconds.end(), it.microseconds.begin(),
                                it.microseconds.end());
    }
    std::sort(out.microseconds.begin(), out.microseconds.end());
    return out;
}

void print(const std::string& name, const load_config& config,
           const measurement& out)
{
    const auto n = out.microseconds.size();
    std::cout << name << " clients=" << config.clients << " calls=" << n
              << " failed=" << out.failed << " per_second="
              << static_cast<long>(static_cast<double>(n) / out.seconds)
              << " p50_us=" << static_cast<long>(out.microseconds[n / 2])
              << " p99_us=" << static_cast<long>(out.microseconds[n * 99 / 100])
              << '\n';
}

bool measure_http(const load_config& config, base::metrics& metrics)
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
    print("http_kept", config, measure(config, send));
    call.idempotent = false;
    const load_config new_connection_config{config.clients,
                                            std::min(config.calls, 2000)};
    print("http_new_connection", new_connection_config,
          measure(new_connection_config, send));
    return true;
}

bool measure_rpc(const load_config& config, base::metrics& metrics)
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
    print("rpc", config,
          measure(config,
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
    options.add_options()("clients", "number of calling threads",
                          cxxopts::value<int>()->default_value("8"))(
        "calls", "calls per thread",
        cxxopts::value<int>()->default_value("10000"));
    try
    {
        const auto parsed = options.parse(argc, argv);
        const load_config config{
            std::clamp(parsed["clients"].as<int>(), 1, 64),
            std::clamp(parsed["calls"].as<int>(), 1, 100'000)};
        base::metrics metrics;
        if (measure_http(config, metrics) && measure_rpc(config, metrics))
            return 0;
        std::cerr << base::last_error().text() << '\n';
    }
    catch (const std::exception& ex)
    {
        std::cerr << ex.what() << '\n' << options.help();
    }
    return 1;
}
