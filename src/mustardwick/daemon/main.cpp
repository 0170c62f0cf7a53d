#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/coordination/settings.hpp"
#include "mustardwick/daemon/node.hpp"
#include "mustardwick/entry/entry_node.hpp"

namespace
{

namespace coordination = mustardwick::coordination;
namespace base = mustardwick::base;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

cxxopts::Options make_options()
{
    cxxopts::Options out("mustardwickd",
                         "Schedules requests and submitted work on targets.");
    out.add_options()("settings", "settings file (JSON)",
                      cxxopts::value<std::string>())(
        "check-settings", "check a settings file and exit",
        cxxopts::value<std::string>())("name", "overrides the setting name",
                                       cxxopts::value<std::string>())(
        "log-level",
        "overrides the setting log_level: debug, info, warning or error",
        cxxopts::value<std::string>())("h,help", "show this help")(
        "version", "show the version")(
        "hosted", "keep all state in a platform's store; the settings file is "
                  "--settings or $MUSTARDWICK_SETTINGS");
    return out;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return base::fail(base::error_kind::not_found, "cannot read " + path,
                          "check the path and its permissions");
    std::ostringstream out;
    out << in.rdbuf();
    return std::move(out).str();
}

std::optional<coordination::settings> load_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (!text)
    {
        std::cerr << "mustardwickd: " << base::last_error().text() << '\n';
        return std::nullopt;
    }
    std::vector<std::string> errors;
    auto out = coordination::parse_settings(*text, errors);
    for (const auto& it : errors)
        std::cerr << path << ": " << it << '\n';
    return out;
}

void apply_overrides(const cxxopts::ParseResult& flags,
                     coordination::settings& out)
{
    if (flags.count("name") > 0)
        out.name = flags["name"].as<std::string>();
    if (flags.count("log-level") > 0)
        out.log_level =
            base::parse_log_level(flags["log-level"].as<std::string>());
}

/// Blocks SIGTERM and SIGINT in all threads, so that sigwait() receives them,
/// and ignores SIGPIPE, so that a write to a closed connection returns an
/// error.
sigset_t block_signals()
{
    sigset_t out;
    sigemptyset(&out);
    sigaddset(&out, SIGTERM);
    sigaddset(&out, SIGINT);
    pthread_sigmask(SIG_BLOCK, &out, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return out;
}

int run(coordination::settings settings)
{
    const auto signals = block_signals();
    base::set_up_log(settings.name, settings.log_level);
    mustardwick::daemon::node node(std::move(settings));
    if (!node.start())
    {
        base::log_event(base::log_level::error, "daemon", "start_failed",
                        {{"reason", base::last_error().text()}});
        return exit_failure;
    }
    int received = 0;
    sigwait(&signals, &received);
    return node.stop() ? 0 : exit_failure;
}

std::optional<mustardwick::entry::settings>
load_hosted_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (!text)
    {
        std::cerr << "mustardwickd: " << base::last_error().text() << '\n';
        return std::nullopt;
    }
    std::vector<std::string> errors;
    auto out = mustardwick::entry::parse_settings(*text, errors);
    for (const auto& it : errors)
        std::cerr << path << ": " << it << '\n';
    return out;
}

/// Runs the daemon on a platform that provides the store, the workers and the
/// load balancer.
int run_hosted(const cxxopts::ParseResult& flags)
{
    std::string path;
    if (flags.count("settings") > 0)
        path = flags["settings"].as<std::string>();
    else if (const char* variable = std::getenv("MUSTARDWICK_SETTINGS"))
        path = variable;
    if (path.empty())
    {
        std::cerr << "mustardwickd: give --settings FILE or set "
                     "MUSTARDWICK_SETTINGS\n";
        return exit_usage;
    }
    auto settings = load_hosted_settings(path);
    if (!settings)
        return exit_failure;
    std::signal(SIGPIPE, SIG_IGN);
    base::set_up_log(settings->name, settings->log_level);
    mustardwick::entry::entry_node node(std::move(*settings));
    return node.run(
               [path]
               {
                   return load_hosted_settings(path);
               })
               ? 0
               : exit_failure;
}

int run_program(int argc, char** argv)
{
    auto options = make_options();
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0)
    {
        std::cout << options.help()
                  << "\nExamples:\n"
                     "  mustardwickd --check-settings entry-1.json\n"
                     "  mustardwickd --settings entry-1.json\n";
        return 0;
    }
    if (flags.count("version") > 0)
    {
        std::cout << "mustardwickd 0.1.0\n";
        return 0;
    }
    if (flags.count("hosted") > 0)
        return run_hosted(flags);
    if (flags.count("check-settings") > 0)
    {
        const bool ok = load_settings(flags["check-settings"].as<std::string>())
                            .has_value();
        std::cout << (ok ? "the settings are valid\n" : "");
        return ok ? 0 : exit_failure;
    }
    if (flags.count("settings") == 0)
    {
        std::cerr << "mustardwickd: give --settings FILE; see --help\n";
        return exit_usage;
    }
    auto settings = load_settings(flags["settings"].as<std::string>());
    if (!settings)
        return exit_failure;
    apply_overrides(flags, *settings);
    return run(std::move(*settings));
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_program(argc, argv);
    }
    catch (const std::exception& ex)
    {
        std::cerr << "mustardwickd: " << ex.what() << '\n';
        return exit_usage;
    }
}
