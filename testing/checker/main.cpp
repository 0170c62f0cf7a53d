#include <fstream>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "testing/checker/evidence_reader.hpp"
#include "testing/checker/promises.hpp"

namespace
{

using namespace mustardwick::testing;

constexpr std::size_t max_printed = 50;

cxxopts::Options make_options()
{
    cxxopts::Options out("promise_checker",
                         "Checks the records of a run against the promises");
    const auto zero = []
    {
        return cxxopts::value<std::size_t>()->default_value("0");
    };
    out.add_options()("min-tasks", "minimum number of task starts", zero());
    out.add_options()("min-requests", "minimum number of requests", zero());
    out.add_options()("min-calls", "minimum number of calls", zero());
    out.add_options()("files", "record files of workers, callers and the run",
                      cxxopts::value<std::vector<std::string>>());
    out.add_options()("help", "show this text");
    out.parse_positional({"files"});
    out.positional_help("FILE...");
    return out;
}

/// Returns whether there is at least the required evidence; guards against a
/// pass that is due to missing records.
bool has_min_evidence(const evidence& seen,
                      const cxxopts::ParseResult& arguments)
{
    return seen.tasks.size() >= arguments["min-tasks"].as<std::size_t>() &&
           seen.requests.size() >=
               arguments["min-requests"].as<std::size_t>() &&
           seen.calls.size() >= arguments["min-calls"].as<std::size_t>();
}

void print(const violations& found)
{
    for (std::size_t n = 0; n < found.size() && n < max_printed; ++n)
        std::cout << found[n].promise << " at " << found[n].at << ": "
                  << found[n].detail << '\n';
}

int run(const cxxopts::ParseResult& arguments)
{
    evidence_reader reader;
    for (const auto& it : arguments["files"].as<std::vector<std::string>>())
    {
        std::ifstream file(it);
        if (!file)
        {
            std::cerr << "cannot read " << it
                      << "; check that the file exists\n";
            return 2;
        }
        reader.read(file, it);
    }
    const auto seen = reader.result();
    const auto found = check_all(seen, {});
    print(found);
    const bool enough = has_min_evidence(seen, arguments);
    std::cout << "tasks=" << seen.tasks.size()
              << " requests=" << seen.requests.size()
              << " calls=" << seen.calls.size()
              << " violations=" << found.size()
              << (enough ? "" : " too little evidence") << '\n';
    return found.empty() && enough ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("files") == 0)
        {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        return run(arguments);
    }
    catch (const std::exception& ex)
    {
        std::cerr << ex.what() << "; see --help\n";
        return 2;
    }
}
