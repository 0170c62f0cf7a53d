#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <cxxopts.hpp>
#include <unistd.h>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/error.hpp"
#include "testing/scenario/session.hpp"

namespace
{

using namespace mustardwick;
using namespace mustardwick::testing;

constexpr int time_limit_status = 3;
constexpr milliseconds default_time_limit{55'000};
constexpr milliseconds watch_interval{100};

cxxopts::Options make_options()
{
    cxxopts::Options out("scenario_runner", "Runs a scenario");
    const auto text = []
    {
        return cxxopts::value<std::string>()->default_value("");
    };
    out.add_options()("daemon", "path of mustardwickd", text());
    out.add_options()("platform", "path of platform_standin", text());
    out.add_options()("workers", "path of worker_standin", text());
    out.add_options()("directory", "directory for logs and records", text());
    out.add_options()("keep", "keep the directory after success");
    out.add_options()("scenario", "the scenario file", text());
    out.add_options()("help", "print this help");
    out.parse_positional({"scenario"});
    out.positional_help("FILE");
    return out;
}

/// Exits the process, and with it its child processes, at the time limit.
class watchdog
{
public:
    explicit watchdog(milliseconds limit)
        : deadline_(std::chrono::steady_clock::now() + limit), thread_(
                                                                   [this]
                                                                   {
                                                                       watch();
                                                                   })
    {
    }

    ~watchdog()
    {
        done_ = true;
        thread_.join();
    }

    watchdog(const watchdog&) = delete;
    watchdog& operator=(const watchdog&) = delete;

private:
    void watch() const
    {
        while (!done_ && std::chrono::steady_clock::now() < deadline_)
            std::this_thread::sleep_for(watch_interval);
        if (done_)
            return;
        std::cout << "FAIL time limit exceeded" << std::endl;
        _exit(time_limit_status);
    }

    std::chrono::steady_clock::time_point deadline_;
    std::atomic<bool> done_{false};
    std::thread thread_;
};

verb find_verb(const std::string& name)
{
    for (const auto* table : {&cell_verbs(), &fault_verbs(), &operator_verbs(),
                              &caller_verbs(), &expectation_verbs()})
    {
        const auto it = table->find(name);
        if (it != table->end())
            return it->second;
    }
    return nullptr;
}

bool run_statement(session& run, const statement& line)
{
    const auto function = find_verb(line.verb);
    const auto begin = std::chrono::steady_clock::now();
    const bool ok = function != nullptr
                        ? function(run, line)
                        : fail_statement("unknown verb " + line.verb);
    const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - begin;
    std::cout << (ok ? "ok   " : "FAIL ") << line.line << ' ' << line.verb;
    for (const auto& it : line.words)
        std::cout << ' ' << it;
    std::cout << " (" << time.count() << " s)";
    if (!ok)
        std::cout << ": " << base::last_error().text();
    std::cout << std::endl;
    return ok;
}

bool run_all(const std::vector<statement>& statements, const cell_paths& paths)
{
    const base::system_clock clock;
    session run(paths, clock);
    if (!run.records.open(paths.directory))
    {
        std::cerr << "cannot write to " << paths.directory << '\n';
        return false;
    }
    for (const auto& it : statements)
    {
        if (it.verb != "time-limit" && !run_statement(run, it))
            return false;
    }
    return true;
}

milliseconds time_limit_of(const std::vector<statement>& statements)
{
    for (const auto& it : statements)
    {
        if (it.verb == "time-limit")
            return parse_duration(it.word(0)).value_or(default_time_limit);
    }
    return default_time_limit;
}

/// Reads a scenario file. "include FILE" inserts the statements of another file
/// from the same directory.
std::vector<statement> read_file(const std::filesystem::path& file,
                                 std::vector<std::string>& errors)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in)
        errors.push_back(file.string() + ": cannot be read");
    std::vector<statement> out;
    for (auto& it : parse_scenario(text.str(), errors))
    {
        if (it.verb != "include")
        {
            out.push_back(std::move(it));
            continue;
        }
        const auto more = read_file(file.parent_path() / it.word(0), errors);
        out.insert(out.end(), more.begin(), more.end());
    }
    return out;
}

std::optional<std::vector<statement>> read_scenario(const std::string& file)
{
    std::vector<std::string> errors;
    auto out = read_file(file, errors);
    if (out.empty())
        errors.push_back(file + ": no statements; name a scenario file");
    for (const auto& it : errors)
        std::cerr << it << '\n';
    if (!errors.empty())
        return std::nullopt;
    return out;
}

std::string make_directory(const std::string& wanted)
{
    if (!wanted.empty())
    {
        std::filesystem::remove_all(wanted);
        std::filesystem::create_directories(wanted);
        return wanted;
    }
    std::string pattern =
        std::filesystem::temp_directory_path() / "scenario-XXXXXX";
    return mkdtemp(pattern.data()) == nullptr ? "" : pattern;
}

int run(const cxxopts::ParseResult& arguments)
{
    const auto text = [&arguments](const char* name)
    {
        return arguments[name].as<std::string>();
    };
    const auto statements = read_scenario(text("scenario"));
    if (!statements)
        return 2;
    const cell_paths paths{text("daemon"), text("platform"), text("workers"),
                           make_directory(text("directory"))};
    std::cout << "directory " << paths.directory << std::endl;
    bool ok = false;
    {
        const watchdog limit(time_limit_of(*statements));
        ok = run_all(*statements, paths);
    }
    if (ok && arguments.count("keep") == 0)
        std::filesystem::remove_all(paths.directory);
    std::cout << (ok ? "PASS" : "FAIL") << std::endl;
    return ok ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
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
