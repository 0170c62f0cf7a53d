#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

#include "event_loop.hpp"
#include "merge.hpp"
#include "report.hpp"

namespace
{

using namespace mustardwick::bench;

/// @brief 99th percentile of the waiting times of lookups, with two random
/// targets to choose from and with one.
struct lookup_waiting
{
    double two_random_ms = 0;
    double one_random_ms = 0;
};

struct run_options
{
    std::uint64_t seed = 1;
    int seeds = 1;
    bool quick = false;
};

template <typename Planner>
outcome run_planner(const deployment& shape, const workload& work,
                    const char* name, Planner planner, double lookup_p99_ms)
{
    auto result = event_loop(shape, work, std::move(planner)).run();
    result.planner = name;
    result.score = score_of(shape, result, lookup_p99_ms);
    return result;
}

/// @brief Returns the production planner with one policy disabled.
product_planner without(bool mustardwick::policy::round_limits::*policy)
{
    product_planner result;
    result.limits.*policy = false;
    return result;
}

deployment_report run_deployment(const deployment& shape, std::uint64_t seed,
                                 const lookup_waiting& lookups)
{
    using limits = mustardwick::policy::round_limits;
    const auto work = generate_workload(shape, seed);
    deployment_report result{shape, {}};
    const auto run = [&](const char* name, auto planner, double lookup_p99_ms)
    {
        result.outcomes.push_back(
            run_planner(shape, work, name, std::move(planner), lookup_p99_ms));
    };
    const auto two = lookups.two_random_ms;
    const auto one = lookups.one_random_ms;
    run("mustardwick", product_planner{}, two);
    run("no_preemption", without(&limits::preempt), two);
    run("no_reservation", without(&limits::reserve), two);
    run("no_moves", without(&limits::move), two);
    run("first_fit_fifo", fifo_planner<first_fit>{}, one);
    run("random", fifo_planner<random_fit>{}, one);
    run("least_loaded", fifo_planner<least_loaded>{}, one);
    return result;
}

lookup_waiting waiting_of_lookups(const std::vector<request_outcome>& all)
{
    return {all.at(0).waiting_ms.p99, all.at(1).waiting_ms.p99};
}

/// @brief Runs a deployment with each seed and averages the outcomes.
deployment_report run_seeds(const deployment& shape, const run_options& options,
                            const lookup_waiting& lookups)
{
    std::vector<deployment_report> runs;
    runs.reserve(options.seeds);
    for (int i = 0; i < options.seeds; ++i)
        runs.push_back(run_deployment(shape, options.seed + i, lookups));
    deployment_report result{shape, {}};
    for (std::size_t i = 0; i < runs.front().outcomes.size(); ++i)
    {
        std::vector<outcome> same;
        same.reserve(runs.size());
        for (const auto& it : runs)
            same.push_back(it.outcomes[i]);
        result.outcomes.push_back(merge(same));
    }
    return result;
}

bench_report run_all(const run_options& options)
{
    const auto seed = options.seed;
    bench_report result;
    result.seed = seed;
    result.seeds = options.seeds;
    for (const auto& it : request_setups())
        result.requests.push_back(run_requests(it, seed));
    const auto lookups = waiting_of_lookups(result.requests);
    for (const auto& shape : {deployment_a(), deployment_b(), two_year_size()})
        if (!options.quick || shape.hosts < 100)
            result.deployments.push_back(run_seeds(shape, options, lookups));
    for (const int workers : {50, 200, 800, 3200})
        result.timings.push_back(measure_decisions(workers, 10'000, seed));
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "mustardwick-bench",
        "Benchmarks the scheduling decisions of mustardwick.");
    options.add_options()("seed", "first seed of the workloads",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of consecutive seeds to average",
        cxxopts::value<int>()->default_value("1"))(
        "quick", "skip the two-year deployment")(
        "json", "output file of the JSON report",
        cxxopts::value<std::string>()->default_value("bench.json"))(
        "html", "output file of the HTML report",
        cxxopts::value<std::string>()->default_value("bench.html"))(
        "help", "print the options");
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        const auto report = run_all({parsed["seed"].as<std::uint64_t>(),
                                     std::max(parsed["seeds"].as<int>(), 1),
                                     parsed.count("quick") > 0});
        print_report(std::cout, report);
        std::ofstream(parsed["json"].as<std::string>())
            << report_json(report) << '\n';
        std::ofstream(parsed["html"].as<std::string>()) << report_html(report);
        return 0;
    }
    catch (const std::exception& ex)
    {
        std::cerr << "mustardwick-bench: " << ex.what() << "; see --help\n";
        return 2;
    }
}
