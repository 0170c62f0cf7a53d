#include <charconv>
#include <iostream>
#include <memory>
#include <vector>

#include <cxxopts.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/http/server.hpp"
#include "testing/standin/platform_service.hpp"
#include "testing/standin/program.hpp"

namespace
{

using namespace mustardwick;

constexpr int handler_threads_per_port = 64;
constexpr std::chrono::milliseconds stop_grace{500};

cxxopts::Options make_options()
{
    cxxopts::Options out("platform_standin",
                         "Stand-in for the platform's services");
    out.add_options()("ports", "ports to listen on; 0 takes any free port",
                      cxxopts::value<std::string>()->default_value("0"))(
        "port-file", "file to write the ports to",
        cxxopts::value<std::string>()->default_value(""))(
        "host-list-lag-ms", "delay until a host list change is visible",
        cxxopts::value<int>()->default_value("0"))("help", "print this help");
    return out;
}

using server_list = std::vector<std::unique_ptr<http::server>>;

bool start_port(testing::platform_service& service, base::metrics& metrics,
                const std::string& text, server_list& servers)
{
    const auto index = servers.size();
    http::server_options options;
    options.listen.address = "127.0.0.1";
    std::from_chars(text.data(), text.data() + text.size(),
                    options.listen.port);
    options.handler_threads = handler_threads_per_port;
    options.max_body_bytes = 8U << 20U;
    servers.push_back(std::make_unique<http::server>(
        options,
        [&service, index](const http::request& call)
        {
            return service.handle(index, call);
        },
        metrics));
    if (!servers.back()->start())
        return false;
    service.bind_port(index, servers.back()->port());
    return true;
}

int run(const cxxopts::ParseResult& arguments)
{
    const base::system_clock clock;
    base::metrics metrics;
    testing::platform_service service(
        clock,
        std::chrono::milliseconds(arguments["host-list-lag-ms"].as<int>()));
    server_list servers;
    std::vector<std::uint16_t> ports;
    const auto names = arguments["ports"].as<std::string>();
    const auto wanted = testing::split(names, ',');
    for (std::size_t n = 0; n < wanted.size(); ++n)
        service.add_port();
    for (const auto& it : wanted)
    {
        if (!start_port(service, metrics, it, servers))
        {
            std::cerr << base::last_error().text() << '\n';
            return 1;
        }
        ports.push_back(servers.back()->port());
    }
    if (!testing::announce_ports(ports,
                                 arguments["port-file"].as<std::string>()))
        return 1;
    testing::wait_for_stop_signal();
    service.shut_down();
    for (auto& it : servers)
        it->stop(stop_grace);
    return 0;
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
