// Sends requests at a fixed rate and prints latency quantiles as JSON.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <cxxopts.hpp>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/http/client.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace
{

using std::chrono::steady_clock;

struct load_options
{
    std::vector<mustardwick::wire::endpoint> targets;
    std::string path;
    std::string body;
    std::string key;
    double rate = 2000;
    double seconds = 5;
    int threads = 32;
};

struct load_result
{
    std::mutex mutex;
    std::vector<double> milliseconds;
    std::atomic<int> failed{0};
};

std::string replace_id(std::string text, const std::string& id)
{
    const auto at = text.find("ID");
    return at == std::string::npos ? text : text.replace(at, 2, id);
}

/// Sends every n-th request, n being the number of threads, at its scheduled
/// time. Latency is measured from that time, not from the actual sending, so
/// that requests delayed by a slow server count in full (coordinated omission).
void run_thread(const load_options& options, int number,
                steady_clock::time_point start_time, load_result& result)
{
    mustardwick::base::metrics metrics;
    mustardwick::http::client client({}, metrics);
    std::vector<double> samples;
    const auto total = static_cast<int>(options.rate * options.seconds);
    for (int n = number; n < total; n += options.threads)
    {
        const auto scheduled =
            start_time + std::chrono::duration_cast<steady_clock::duration>(
                             std::chrono::duration<double>(n / options.rate));
        std::this_thread::sleep_until(scheduled);
        mustardwick::http::client_call call;
        call.target = options.path;
        call.body = replace_id(options.body, "l" + std::to_string(n));
        call.authorization = options.key.empty() ? "" : "Bearer " + options.key;
        call.idempotent = true;
        call.timeout = std::chrono::milliseconds{5000};
        const auto& peer =
            options
                .targets[static_cast<std::size_t>(n) % options.targets.size()];
        const auto answer = client.send(peer, call);
        if (!answer || answer->status != 200)
            ++result.failed;
        samples.push_back(std::chrono::duration<double, std::milli>(
                              steady_clock::now() - scheduled)
                              .count());
    }
    const std::scoped_lock lock(result.mutex);
    result.milliseconds.insert(result.milliseconds.end(), samples.begin(),
                               samples.end());
}

double quantile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto at = static_cast<std::size_t>(
        share * static_cast<double>(sorted.size() - 1));
    return sorted[at];
}

void print(load_result& result)
{
    auto& all = result.milliseconds;
    std::sort(all.begin(), all.end());
    std::printf("{\"count\":%zu,\"failed\":%d,\"p50_ms\":%.3f,"
                "\"p99_ms\":%.3f,\"max_ms\":%.3f}\n",
                all.size(), result.failed.load(), quantile(all, 0.5),
                quantile(all, 0.99), quantile(all, 1));
}

load_options parse(int argc, char** argv)
{
    cxxopts::Options options("mustardwick-load",
                             "Sends requests at a fixed rate.");
    options.add_options()("target", "address:port; may be repeated",
                          cxxopts::value<std::vector<std::string>>())(
        "path", "request path",
        cxxopts::value<std::string>()->default_value("/v1/requests"))(
        "body", "request body; ID is replaced by a unique id",
        cxxopts::value<std::string>())(
        "key", "caller's key",
        cxxopts::value<std::string>()->default_value(""))(
        "rate", "requests per second",
        cxxopts::value<double>()->default_value("2000"))(
        "seconds", "duration in seconds",
        cxxopts::value<double>()->default_value("5"))(
        "threads", "number of sending threads",
        cxxopts::value<int>()->default_value("32"));
    const auto flags = options.parse(argc, argv);
    load_options out;
    for (const auto& it : flags["target"].as<std::vector<std::string>>())
        out.targets.push_back(mustardwick::wire::parse_endpoint(it).value());
    out.path = flags["path"].as<std::string>();
    out.body = flags["body"].as<std::string>();
    out.key = flags["key"].as<std::string>();
    out.rate = flags["rate"].as<double>();
    out.seconds = flags["seconds"].as<double>();
    out.threads = flags["threads"].as<int>();
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = parse(argc, argv);
    load_result result;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options.threads));
    const auto start_time =
        steady_clock::now() + std::chrono::milliseconds{100};
    for (int n = 0; n < options.threads; ++n)
        threads.emplace_back(
            [&options, &result, start_time, n]
            {
                run_thread(options, n, start_time, result);
            });
    for (auto& it : threads)
        it.join();
    print(result);
    return result.failed == 0 ? 0 : 1;
}
