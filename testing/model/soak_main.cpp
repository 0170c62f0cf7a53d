#include <chrono>
#include <iostream>
#include <map>

#include <algorithm>

#include <cxxopts.hpp>

#include "mustardwick/base/log.hpp"
#include "testing/model/model_cell.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;

namespace
{

constexpr std::size_t sequence_length = 200;
constexpr int max_minutes = 9;

/// Shrinks a failing sequence and prints the remaining steps and the promises
/// that they break.
int explain(std::uint64_t seed, std::size_t length)
{
    const auto steps = shrink({seed}, operations_of(seed, length));
    std::map<std::string, int> counts;
    base::set_up_log("model", base::log_level::info);
    for (const auto& it : steps)
        std::cout << "step=" << to_text(it) << '\n';
    for (const auto& it : run_sequence({seed}, steps, counts))
        std::cout << "seed=" << seed << " broken=\"" << it << "\"\n";
    return 0;
}

/// Runs sequences from consecutive seeds, at least one; returns 1 when any
/// breaks a promise.
int run_for(std::uint64_t seed, std::chrono::duration<double> time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    std::map<std::string, int> counts;
    std::uint64_t n = 0;
    int failures = 0;
    do
    {
        const auto broken = run_sequence(
            {seed + n}, operations_of(seed + n, sequence_length), counts);
        failures += broken.empty() ? 0 : 1;
        for (const auto& it : broken)
            std::cout << "seed=" << seed + n << " broken=\"" << it << "\"\n";
        ++n;
    } while (std::chrono::steady_clock::now() < end);
    std::cout << "sequences=" << n << " failed=" << failures;
    for (const auto& [name, count] : counts)
        std::cout << ' ' << name << '=' << count;
    std::cout << '\n';
    return failures == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "model_soak", "Runs generated fault sequences on the model cell");
    options.add_options()("seed", "Seed of the first sequence",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "minutes", "Run time in minutes, at most 9",
        cxxopts::value<double>()->default_value("1"))(
        "explain",
        "Shrink the failing sequence of the seed and print its steps")(
        "help", "Show this text");
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    const auto minutes =
        std::min<double>(max_minutes, given["minutes"].as<double>());
    base::set_up_log("model", base::log_level::error);
    const auto seed = given["seed"].as<std::uint64_t>();
    if (given.count("explain") > 0)
        return explain(seed, sequence_length);
    return run_for(seed, std::chrono::duration<double>{minutes * 60});
}
