#include "requests.hpp"

#include <chrono>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

#include "mustardwick/policy/admission.hpp"
#include "mustardwick/policy/quarantine.hpp"
#include "mustardwick/policy/request_policy.hpp"
#include "mustardwick/policy/retry_budget.hpp"

namespace mustardwick::bench
{

namespace
{

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::microseconds;

constexpr int target_count = 50;
constexpr int slots = 8;
constexpr int connections = 64;
constexpr int entry_count = 8;
constexpr int max_attempts = 4;
constexpr microseconds length{30'000'000};
constexpr microseconds deadline{1'000'000};
/// Interval between updates of an entry host's view of the targets.
constexpr microseconds view_refresh_interval{100'000};
constexpr microseconds failure_service_time{20'000};
constexpr double mean_service_us = 150'000;
constexpr double service_sigma = 0.5;

struct viewed_target
{
    int used = 0;
    bool usable = true;

    policy::target_load load() const
    {
        // Waiting requests count as used slots, so that a longer queue means a
        // higher load.
        return {slots, used, connections, std::min(used, connections), usable};
    }
};

struct request
{
    time_point arrived;
    int entry = 0;
    int attempts = 0;
};

struct target
{
    std::deque<int> waiting;
    int busy = 0;
};

enum class event_kind
{
    arrival,
    completion,
    view_refresh
};

struct event
{
    time_point time;
    event_kind kind = event_kind::arrival;
    int request = -1;
    int target = -1;
    bool failed = false;
    microseconds service{0};

    bool operator<(const event& other) const
    {
        return other.time < time;
    }
};

class request_loop
{
public:
    request_loop(const request_setup& setup, std::uint64_t seed)
        : setup_(setup), random_(seed), targets_(target_count),
          views_(entry_count, std::vector<viewed_target>(target_count)),
          budgets_(entry_count), admissions_(entry_count)
    {
    }

    request_outcome run()
    {
        events_.push({start_, event_kind::arrival, -1, -1, false, {}});
        events_.push({start_, event_kind::view_refresh, -1, -1, false, {}});
        while (!events_.empty())
        {
            const auto it = events_.top();
            events_.pop();
            now_ = it.time;
            handle(it);
        }
        return report();
    }

private:
    void handle(const event& it)
    {
        if (it.kind == event_kind::completion)
            return complete(it);
        if (now_ >= start_ + length)
            return;
        if (it.kind == event_kind::arrival)
            arrive();
        else
            refresh_views();
    }

    void arrive()
    {
        const auto gap =
            std::exponential_distribution<double>(setup_.rate)(random_);
        const microseconds next(std::int64_t(gap * 1e6));
        events_.push({now_ + next, event_kind::arrival, -1, -1, false, {}});
        requests_.push_back({now_, int(random_() % entry_count), 0});
        send(int(requests_.size()) - 1);
    }

    void refresh_views()
    {
        for (auto& view : views_)
            for (int i = 0; i < target_count; ++i)
                view[i].used =
                    targets_[i].busy + int(targets_[i].waiting.size());
        events_.push({now_ + view_refresh_interval,
                      event_kind::view_refresh,
                      -1,
                      -1,
                      false,
                      {}});
    }

    /// @brief Returns whether the target is excluded by quarantine. Allows one
    /// probe per backoff interval.
    bool is_quarantined(int target)
    {
        return setup_.quarantine && quarantine_.contains(target) &&
               !quarantine_.try_probe(target, now_);
    }

    void record_outcome(int target, bool failed)
    {
        if (!failed)
            return quarantine_.record_success(target);
        quarantine_.record_failure(target, now_);
        if (!setup_.quarantine || !quarantine_.contains(target))
            return;
        for (auto& view : views_)
            view[target].usable = false;
    }

    int choose(std::vector<viewed_target>& view)
    {
        const std::span<const viewed_target> all(view);
        if (setup_.choice == target_choice::one_random)
            return int(random_() % target_count);
        if (setup_.choice == target_choice::least_loaded)
            return int(
                std::ranges::min_element(view, {}, &viewed_target::used) -
                view.begin());
        const auto* found = policy::choose_of_two(all, random_);
        return found ? int(found - view.data()) : int(random_() % target_count);
    }

    bool admitted(const request& it, int target)
    {
        const auto queued =
            std::max(0, views_[it.entry][target].used - slots + 1);
        const auto left = std::chrono::duration_cast<microseconds>(
            it.arrived + deadline - now_);
        return admissions_[it.entry].admits(queued, slots, left, now_);
    }

    void send(int index)
    {
        auto& it = requests_[index];
        auto& view = views_[it.entry];
        const int chosen = choose(view);
        if (setup_.admission && !admitted(it, chosen))
        {
            refused_ += it.attempts == 0 ? 1 : 0;
            return;
        }
        if (it.attempts++ == 0)
            budgets_[it.entry].record_request();
        ++attempts_;
        ++view[chosen].used;
        targets_[chosen].waiting.push_back(index);
        start_next(chosen);
    }

    bool fails(int target) const
    {
        return setup_.faults && target % 3 == 0 && now_ > start_ + length / 3 &&
               now_ < start_ + length / 2;
    }

    void start_next(int chosen)
    {
        auto& it = targets_[chosen];
        if (it.busy >= slots || it.waiting.empty())
            return;
        const int index = it.waiting.front();
        it.waiting.pop_front();
        ++it.busy;
        const std::chrono::duration<double, std::milli> waited =
            now_ - requests_[index].arrived;
        if (requests_[index].attempts == 1)
            waiting_ms_.push_back(waited.count());
        const bool failed = fails(chosen);
        const auto mu =
            std::log(mean_service_us) - service_sigma * service_sigma / 2;
        std::lognormal_distribution<double> drawn(mu, service_sigma);
        const auto service = failed
                                 ? failure_service_time
                                 : microseconds(std::int64_t(drawn(random_)));
        events_.push({now_ + service, event_kind::completion, index, chosen,
                      failed, service});
    }

    void complete(const event& done)
    {
        auto& it = requests_[done.request];
        --targets_[done.target].busy;
        auto& used = views_[it.entry][done.target].used;
        used = std::max(0, used - 1);
        record_outcome(done.target, done.failed);
        if (!done.failed)
            admissions_[it.entry].record_service(done.service, now_);
        const bool late = now_ > it.arrived + deadline;
        if (!done.failed && !late)
            ++answered_;
        else if (setup_.retries && may_retry(it, late))
            send(done.request);
        start_next(done.target);
    }

    /// @brief Returns whether a retry is allowed. Without a budget, callers
    /// also retry after their deadline.
    bool may_retry(request& it, bool late)
    {
        if (it.attempts >= max_attempts)
            return false;
        if (!setup_.budget)
            return true;
        return !late && budgets_[it.entry].try_retry(now_);
    }

    request_outcome report()
    {
        const auto all = double(requests_.size());
        return {setup_.name, quantiles_of(std::move(waiting_ms_)),
                answered_ / all, refused_ / all,
                attempts_ / std::max(all - refused_, 1.0)};
    }

    const request_setup& setup_;
    std::mt19937_64 random_;
    const time_point start_{std::chrono::seconds(1)};
    time_point now_;
    std::vector<target> targets_;
    std::vector<std::vector<viewed_target>> views_;
    std::vector<policy::retry_budget> budgets_;
    std::vector<policy::admission_control<>> admissions_;
    policy::quarantine<int> quarantine_{
        {5, std::chrono::milliseconds(500), std::chrono::milliseconds(5000)}};
    std::vector<request> requests_;
    std::priority_queue<event> events_;
    std::vector<double> waiting_ms_;
    double answered_ = 0;
    double refused_ = 0;
    double attempts_ = 0;
};

} // namespace

request_outcome run_requests(const request_setup& setup, std::uint64_t seed)
{
    return request_loop(setup, seed).run();
}

std::vector<request_setup> request_setups()
{
    using enum target_choice;
    return {
        {"two random", two_random, true, true, true, true, 2000, false},
        {"one random", one_random, true, true, true, true, 2000, false},
        {"least loaded of all", least_loaded, true, true, true, true, 2000,
         false},
        {"overload, early refusal", two_random, true, true, true, true, 3000,
         false},
        {"overload, no refusal", two_random, true, true, false, true, 3000,
         false},
        {"overload, no refusal, no budget", two_random, true, false, false,
         true, 3000, false},
        {"faults, quarantine and budget", two_random, true, true, true, true,
         1700, true},
        {"faults, no quarantine", two_random, true, true, true, false, 1700,
         true},
        {"faults, no budget, no quarantine", two_random, true, false, true,
         false, 1700, true},
    };
}

} // namespace mustardwick::bench
