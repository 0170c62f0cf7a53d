#include <atomic>
#include <iostream>
#include <thread>
#include <vector>

#include <cxxopts.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/http/server.hpp"
#include "testing/standin/program.hpp"
#include "testing/standin/worker_service.hpp"

namespace
{

using namespace mustardwick;

/// Bounds how late a finished task is noticed. Lease expiry is exact, because
/// every call checks it first.
constexpr std::chrono::milliseconds advance_interval{5};
constexpr std::chrono::milliseconds stop_grace{500};
constexpr int workers_per_rack = 8;
constexpr int failure_domain_count = 3;

cxxopts::Options make_options()
{
    cxxopts::Options out("worker_standin", "Stand-in for workers");
    const auto text = []
    {
        return cxxopts::value<std::string>()->default_value("");
    };
    out.add_options()("port", "port to listen on; 0 takes any free port",
                      cxxopts::value<std::uint16_t>()->default_value("0"));
    out.add_options()("port-file", "file to write the port to", text());
    out.add_options()("workers", "name:rack:failure_domain,...", text());
    out.add_options()("count", "number of workers with generated names",
                      cxxopts::value<int>()->default_value("0"));
    out.add_options()("prefix", "prefix of generated names",
                      cxxopts::value<std::string>()->default_value("worker-"));
    out.add_options()("record", "file to append events to", text());
    out.add_options()("threads", "number of concurrent requests",
                      cxxopts::value<int>()->default_value("256"));
    out.add_options()("help", "print this help");
    return out;
}

std::vector<testing::worker_identity> named_workers(const std::string& text)
{
    std::vector<testing::worker_identity> out;
    for (const auto& it : testing::split(text, ','))
    {
        auto parts = testing::split(it, ':');
        parts.resize(3);
        out.push_back({parts[0], parts[1], parts[2]});
    }
    return out;
}

/// Adds workers PREFIX0, PREFIX1, ..., 8 per rack, in failure domains fd-0 to
/// fd-2.
void add_generated(std::vector<testing::worker_identity>& out, int count,
                   const std::string& prefix)
{
    for (int n = 0; n < count; ++n)
    {
        const int rack = n / workers_per_rack;
        out.push_back({prefix + std::to_string(n),
                       "rack-" + std::to_string(rack),
                       "fd-" + std::to_string(rack % failure_domain_count)});
    }
}

http::server_options make_server_options(const cxxopts::ParseResult& arguments)
{
    http::server_options out;
    out.listen = {"127.0.0.1", arguments["port"].as<std::uint16_t>()};
    out.handler_threads = arguments["threads"].as<int>();
    return out;
}

int run(const cxxopts::ParseResult& arguments)
{
    const base::system_clock clock;
    base::metrics metrics;
    testing::event_log events(clock);
    const auto file = arguments["record"].as<std::string>();
    if (!file.empty() && !events.open(file))
    {
        std::cerr << "cannot open " << file << "; choose a writable file\n";
        return 1;
    }
    auto workers = named_workers(arguments["workers"].as<std::string>());
    add_generated(workers, arguments["count"].as<int>(),
                  arguments["prefix"].as<std::string>());
    testing::worker_service service(workers, clock, events);
    http::server server(
        make_server_options(arguments),
        [&service](const http::request& call)
        {
            return service.handle(call);
        },
        metrics);
    if (!server.start())
    {
        std::cerr << base::last_error().text() << '\n';
        return 1;
    }
    std::atomic<bool> stopping{false};
    std::thread timer(
        [&]
        {
            while (!stopping)
            {
                service.advance();
                std::this_thread::sleep_for(advance_interval);
            }
        });
    const bool announced = testing::announce_ports(
        {server.port()}, arguments["port-file"].as<std::string>());
    if (announced)
        testing::wait_for_stop_signal();
    stopping = true;
    timer.join();
    service.shut_down();
    server.stop(stop_grace);
    return announced ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    testing::block_stop_signals();
    auto options = make_options();
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    }
    catch (const std::exception& ex)
    {
        std::cerr << ex.what() << "; see --help\n";
        return 2;
    }
}
