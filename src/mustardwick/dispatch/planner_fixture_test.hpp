#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "mustardwick/dispatch/progress_blocks.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::dispatch::test
{

using std::chrono::milliseconds;

inline constexpr std::int64_t host_cores = 32;
inline constexpr std::int64_t incarnation_start = 1'000;

inline jobs::queue make_queue(const std::string& name, int priority)
{
    jobs::queue out;
    out.name = name;
    out.service = "s";
    out.priority = priority;
    out.attempts = 2;
    out.stretch = 2;
    out.target_latency_ms = 500;
    return out;
}

/// Queues "plain" and "urgent" without advice, "asked" with it; accounts "a"
/// without a maximum and "capped" with one of 8 cores.
inline jobs::configuration make_configuration()
{
    jobs::configuration out;
    out.version = 1;
    out.queues["plain"] = make_queue("plain", 2);
    out.queues["urgent"] = make_queue("urgent", 0);
    out.queues["asked"] = make_queue("asked", 1);
    out.queues["asked"].advice = jobs::advice_cost{10, 1, 2000};
    out.services["s"] = {"s", false, false};
    out.accounts["a"] = {"a", {}, 1, {}};
    out.accounts["capped"] = {"capped", {}, 1, {8'000, 0, 0}};
    return out;
}

inline jobs::step make_step(int tasks, std::int64_t cores, bool is_gang = false)
{
    jobs::step out;
    out.tasks = tasks;
    out.size = {cores * 1000, 100, 0};
    out.estimate_ms = 1000;
    out.is_gang = is_gang;
    return out;
}

inline jobs::job make_job(const std::string& id, const std::string& queue,
                          std::vector<jobs::step> steps,
                          const std::string& account = "a")
{
    jobs::job out;
    out.id = id;
    out.queue = queue;
    out.account = account;
    out.payload = "p";
    out.steps = std::move(steps);
    return out;
}

/// The advisor's answer that allows every host.
inline std::vector<advice_ticket> allow_all(const advice_query& query)
{
    std::vector<advice_ticket> out;
    for (const auto& it : query.workers)
        out.push_back({it, "t-" + it});
    return out;
}

/// A planner with a manual clock and workers whose clocks follow it.
class planner_fixture
{
public:
    explicit planner_fixture(int hosts = 2) : plan(clock, {}, metrics)
    {
        base::set_up_log("test", base::log_level::error);
        plan.set_configuration(make_configuration());
        for (int it = 0; it < hosts; ++it)
            add_host("w" + std::to_string(it));
    }

    void add_host(const std::string& id, const std::string& domain = "z")
    {
        list_host(id, domain, false);
        report(id);
    }

    void list_host(const std::string& id, const std::string& domain,
                   bool draining)
    {
        jobs::worker_info info;
        info.id = id;
        info.service = "s";
        info.failure_domain = domain;
        info.capacity = {host_cores * 1000, 64'000, 0};
        info.draining = draining;
        plan.worker_listed(info);
    }

    std::int64_t worker_clock() const
    {
        return std::chrono::duration_cast<milliseconds>(
                   clock.now().time_since_epoch())
            .count();
    }

    /// Reports runs and ends as a worker's reply to a lease renewal.
    void report(const std::string& id,
                std::vector<jobs::running_run> running = {},
                std::vector<jobs::ended_run> ended = {},
                std::int64_t incarnation = incarnation_start)
    {
        plan.worker_reported(
            id,
            {worker_clock(), incarnation, std::move(running), std::move(ended)},
            clock.now());
    }

    bool submit(jobs::job job)
    {
        const auto accepted = std::make_shared<bool>(false);
        plan.submit(std::move(job),
                    [accepted]
                    {
                        *accepted = true;
                    });
        commit();
        return *accepted;
    }

    /// Commits all pending changes.
    void commit()
    {
        for (auto rows = plan.next_commit(96, 600'000); !rows.empty();
             rows = plan.next_commit(96, 600'000))
        {
            ++version;
            for (auto& it : rows)
                if (it.value)
                    stored[{it.kind, it.key}] = std::move(*it.value);
            plan.commit_done(version);
        }
    }

    /// Returns the progress of a job as a successor reads it.
    jobs::job_record stored_record(const std::string& id) const
    {
        const auto latest = stored.find({row_kind::progress, id});
        const auto first = stored.find({row_kind::job, id});
        const auto head =
            latest != stored.end()
                ? decode_progress_head(latest->second)
                : decode_progress_head(
                      wire::decode<job_row>(first->second).value().progress);
        return head.value().record;
    }

    /// Runs one placement round, commits all changes and returns the orders
    /// that these release as well.
    orders round(std::size_t channels = 0)
    {
        clock.advance(milliseconds(200));
        auto out = plan.take_orders({channels, channels});
        commit();
        auto released = plan.take_orders({0, 0});
        std::move(released.starts.begin(), released.starts.end(),
                  std::back_inserter(out.starts));
        std::move(released.stops.begin(), released.stops.end(),
                  std::back_inserter(out.stops));
        return out;
    }

    /// Runs a round and lets the workers accept its starts.
    orders run_round()
    {
        auto out = round();
        for (const auto& it : out.starts)
            accept(it);
        return out;
    }

    void accept(const start_order& order)
    {
        plan.start_answered(order,
                            {jobs::order_result::accepted, worker_clock()});
    }

    void end(const start_order& order, std::int64_t number,
             jobs::run_outcome how)
    {
        report(order.worker, {},
               {{number, order.task, order.run, how, "saved"}});
    }

    settled_orders settled() const
    {
        return settled(clock.now());
    }

    /// The store's clock was read at the given time.
    settled_orders settled(base::steady_time clock_read) const
    {
        const auto convert = [this](base::steady_time time)
        {
            const auto age = time - created + store_start;
            return std::chrono::ceil<milliseconds>(age).count();
        };
        return plan.settled(to_store_clock{convert, clock_read});
    }

    void settle(const settled_orders& settled)
    {
        plan.settle_inherited_orders(
            settled,
            [this](std::int64_t time_ms)
            {
                return created + milliseconds(time_ms) - store_start;
            });
    }

    base::manual_clock clock;
    base::metrics metrics;
    planner plan;
    base::steady_time created = clock.now();
    /// Of this leader, on the store's clock.
    milliseconds store_start{0};
    /// Rows of the store, and the version of its last transaction.
    std::map<std::pair<row_kind, std::string>, std::string> stored;
    std::int64_t version = 0;
};

} // namespace mustardwick::dispatch::test
