#include "testing/standin/program.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "testing/standin/json_response.hpp"

namespace mustardwick::testing
{

namespace
{

sigset_t stop_signals()
{
    sigset_t out;
    sigemptyset(&out);
    sigaddset(&out, SIGTERM);
    sigaddset(&out, SIGINT);
    return out;
}

} // namespace

void block_stop_signals()
{
    const auto set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void wait_for_stop_signal()
{
    const auto set = stop_signals();
    int number = 0;
    sigwait(&set, &number);
}

bool announce_ports(const std::vector<std::uint16_t>& ports,
                    const std::string& file)
{
    json_object body;
    body.set("ports", json_array(ports,
                                 [](std::uint16_t it)
                                 {
                                     return web::json::value::number(it);
                                 }));
    const auto line = body.serialize();
    std::cout << line << std::endl;
    if (file.empty())
        return true;
    const auto partial = file + ".partial";
    std::ofstream out(partial);
    out << line << '\n';
    out.close();
    return out && std::rename(partial.c_str(), file.c_str()) == 0;
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> out;
    while (!text.empty())
    {
        const auto end = text.find(separator);
        out.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return out;
}

} // namespace mustardwick::testing
