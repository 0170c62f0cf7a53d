#include "testing/scenario/load.hpp"

#include <algorithm>
#include <map>

namespace mustardwick::testing
{

namespace
{

constexpr std::int64_t default_rate = 20;
constexpr std::int64_t default_threads = 16;
constexpr std::int64_t max_calls = 100'000;
constexpr milliseconds default_time{5000};
/// Total time for resolving calls with an unknown outcome.
constexpr milliseconds resolve_timeout{15'000};
constexpr milliseconds resolve_interval{250};

std::int64_t calls_of(const statement& line)
{
    const auto rate = line.number("rate", default_rate);
    const auto time = line.duration("for", default_time);
    return std::min(max_calls, rate * time.count() / 1000);
}

std::int64_t quantile(const std::vector<std::int64_t>& sorted, int percent)
{
    if (sorted.empty())
        return 0;
    const auto last = sorted.size() - 1;
    return sorted[last * static_cast<std::size_t>(percent) / 100];
}

bool outcome_unknown(const call_result& result)
{
    return result.outcome == call_outcome::unknown ||
           result.outcome == call_outcome::no_answer;
}

} // namespace

std::int64_t load_summary::value(const std::string& name) const
{
    const std::map<std::string, std::int64_t> values{
        {"sent", sent},           {"done", done},
        {"refused", refused},     {"unknown", unknown},
        {"no_answer", no_answer}, {"not_sent", not_sent},
        {"not_found", not_found}, {"resolved", resolved},
        {"p50_ms", p50_ms},       {"p99_ms", p99_ms},
        {"max_ms", max_ms},
    };
    const auto it = values.find(name);
    return it == values.end() ? -1 : it->second;
}

std::string load_summary::text() const
{
    std::string out;
    for (const char* name :
         {"sent", "done", "refused", "unknown", "no_answer", "not_sent",
          "not_found", "resolved", "p50_ms", "p99_ms", "max_ms"})
        out += ' ' + std::string(name) + '=' + std::to_string(value(name));
    return out;
}

load::load(caller_driver& callers, cell& target, const statement& line)
    : callers_(callers), cell_(target), line_(line), count_(calls_of(line)),
      begin_(std::chrono::steady_clock::now()),
      interval_(std::chrono::microseconds(1'000'000) /
                std::max<std::int64_t>(1, line.number("rate", default_rate)))
{
    const auto threads = line.number("threads", default_threads);
    for (std::int64_t n = 0; n < threads; ++n)
        threads_.emplace_back(
            [this]
            {
                run();
            });
}

load::~load()
{
    next_ = count_;
    for (auto& it : threads_)
    {
        if (it.joinable())
            it.join();
    }
}

void load::run()
{
    for (auto n = next_++; n < count_; n = next_++)
    {
        std::this_thread::sleep_until(begin_ + n * interval_);
        send_one(n);
    }
}

void load::send_one(std::int64_t n)
{
    finished_call call;
    call.request.id = line_.word(0) + '-' + std::to_string(n);
    call.request.queue = line_.option("queue");
    call.request.key = line_.option("key");
    call.request.work = line_.duration("work", milliseconds{10});
    call.request.deadline = line_.duration("deadline", milliseconds{3000});
    call.request.idempotent = line_.flag("idempotent", false);
    // Try the next daemon when a call could not be sent, as the load balancer
    // does when a connection is refused.
    for (std::size_t tries = 0; tries <= cell_.daemons().size(); ++tries)
    {
        const auto* daemon = cell_.next_daemon();
        if (daemon == nullptr)
            break;
        call.result = callers_.send(call.request, *daemon);
        if (call.result.outcome != call_outcome::not_sent)
            break;
    }
    const std::scoped_lock lock(mutex_);
    calls_.push_back(std::move(call));
}

/// Queries a non-idempotent request until its outcome is known or the deadline
/// passes.
void load::resolve(finished_call& call,
                   std::chrono::steady_clock::time_point deadline)
{
    while (outcome_unknown(call.result) &&
           std::chrono::steady_clock::now() < deadline)
    {
        const auto* daemon = cell_.next_daemon();
        if (daemon != nullptr)
            call.result =
                callers_.query_request(call.request, call.result.echo, *daemon);
        if (outcome_unknown(call.result))
            std::this_thread::sleep_for(resolve_interval);
    }
}

load_summary load::finish()
{
    for (auto& it : threads_)
        it.join();
    threads_.clear();
    load_summary out;
    std::vector<std::int64_t> times;
    const auto deadline = std::chrono::steady_clock::now() + resolve_timeout;
    for (auto& it : calls_)
    {
        const bool was_unknown = outcome_unknown(it.result);
        if (it.result.outcome == call_outcome::done)
            times.push_back(it.result.time.count());
        if (was_unknown && !it.request.idempotent)
            resolve(it, deadline);
        out.resolved += was_unknown && !outcome_unknown(it.result) ? 1 : 0;
        out.done += it.result.outcome == call_outcome::done ? 1 : 0;
        out.refused += it.result.outcome == call_outcome::refused ? 1 : 0;
        out.unknown += it.result.outcome == call_outcome::unknown ? 1 : 0;
        out.no_answer += it.result.outcome == call_outcome::no_answer ? 1 : 0;
        out.not_found += it.result.outcome == call_outcome::not_found ? 1 : 0;
        out.not_sent += it.result.outcome == call_outcome::not_sent ? 1 : 0;
    }
    out.sent = static_cast<std::int64_t>(calls_.size());
    std::sort(times.begin(), times.end());
    out.p50_ms = quantile(times, 50);
    out.p99_ms = quantile(times, 99);
    out.max_ms = quantile(times, 100);
    return out;
}

} // namespace mustardwick::testing
