#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/dispatch/orders.hpp"
#include "mustardwick/jobs/worker.hpp"

namespace mustardwick::dispatch::test
{

using std::chrono::milliseconds;

/// @brief Checks on all workers together that no task runs twice.
class run_monitor
{
public:
    /// `is_first_call` tells that no call has reached the incarnation before.
    void started(const jobs::task_key& task, int run, const std::string& where,
                 bool is_first_call)
    {
        const auto text =
            to_string(task) + " run " + std::to_string(run) + " on " + where;
        auto& it = tasks_[task];
        if (it.in_progress > 0)
            broken.push_back(text + " starts beside another run");
        if (it.noted_run > 0 && is_first_call && run < it.noted_run)
            late_starts.push_back(text + " starts after an acknowledged end");
        else if (it.noted_run > 0)
            broken.push_back(text + " starts after an acknowledged end");
        ++it.in_progress;
        ++starts;
        it.last_start = ++moment_;
    }

    void ended(const jobs::task_key& task)
    {
        --tasks_[task].in_progress;
    }

    /// @brief Returns the moment of an end as `done`.
    std::uint64_t done()
    {
        return ++moment_;
    }

    /// @brief Records that an end as `done` is acknowledged.
    void noted(const jobs::task_key& task, int run, std::uint64_t done_at)
    {
        auto& it = tasks_[task];
        if (it.last_start > done_at)
            broken.push_back(to_string(task) +
                             " has started after an end that is acknowledged");
        it.noted_run = std::max(it.noted_run, run);
    }

    std::vector<std::string> broken;
    /// Orders of earlier runs of tasks with acknowledged ends that are the
    /// first call to an incarnation. They are a known fault, with a test of its
    /// own.
    std::vector<std::string> late_starts;
    std::size_t starts = 0;

private:
    struct state
    {
        int in_progress = 0;
        /// Highest run whose end as `done` is acknowledged.
        int noted_run = 0;
        std::uint64_t last_start = 0;
    };

    std::map<jobs::task_key, state> tasks_;
    std::uint64_t moment_ = 0;
};

/// @brief What a worker answers.
struct call_reply
{
    jobs::order_reply order;
    jobs::worker_report report;
};

/// @brief A worker as the users' protocol describes it, with one incarnation
/// after the other under its id.
class worker_model
{
public:
    worker_model(std::string id, const base::clock& time, run_monitor& monitor)
        : id_(std::move(id)), clock_(time), monitor_(monitor)
    {
    }

    void begin(std::int64_t clock_start, double rate)
    {
        crash();
        life_ = {};
        life_.began = clock_.now();
        life_.clock_start = clock_start;
        life_.rate = rate;
        ++born_;
        is_up = true;
    }

    void crash()
    {
        for (const auto& [key, it] : life_.running)
            monitor_.ended(key.first);
        life_.running.clear();
        is_up = false;
    }

    std::int64_t born() const
    {
        return born_;
    }

    std::int64_t clock_ms() const
    {
        const std::chrono::duration<double, std::milli> passed =
            clock_.now() - life_.began;
        return life_.clock_start + std::int64_t(passed.count() * life_.rate);
    }

    /// @brief Ends the runs that are done, and all once the lease has expired.
    void advance()
    {
        if (!is_up)
            return;
        for (auto it = life_.running.begin(); it != life_.running.end();)
        {
            const auto& [key, run] = *it;
            const bool is_done =
                run.ends_ms <= clock_ms() && run.ends_ms <= life_.lease_end_ms;
            if (!is_done && clock_ms() <= life_.lease_end_ms)
            {
                ++it;
                continue;
            }
            end(key, is_done ? run.outcome : jobs::run_outcome::lease_expired);
            it = life_.running.erase(it);
        }
        if (clock_ms() > life_.lease_end_ms)
            for (auto& it : life_.ends)
                it.lease_lapsed = true;
    }

    call_reply start(const start_order& order, std::int64_t token,
                     bool needs_ticket)
    {
        using jobs::order_result;
        if (token < life_.token)
            return reply(order_result::fenced);
        const bool is_first_call = !std::exchange(life_.is_reached, true);
        life_.token = token;
        const jobs::task_key& task = order.task;
        if (life_.running.contains({task, order.run}))
            return lengthen_lease(order.deadline_ms),
                   reply(order_result::accepted);
        if (clock_ms() > order.deadline_ms)
            return reply(order_result::expired);
        const auto highest = life_.ended.find(task);
        if (highest != life_.ended.end() && order.run <= highest->second)
            return lengthen_lease(order.deadline_ms),
                   reply(order_result::stale_run);
        if (needs_ticket && order.ticket != ticket())
            return reply(order_result::bad_ticket);
        lengthen_lease(order.deadline_ms);
        life_.running[{task, order.run}] = {clock_ms() + run_time.count(),
                                            jobs::run_outcome::done};
        monitor_.started(task, order.run,
                         id_ + " incarnation " + std::to_string(born_),
                         is_first_call);
        return reply(order_result::accepted);
    }

    call_reply stop(const stop_order& order, std::int64_t token)
    {
        using jobs::order_result;
        if (token < life_.token)
            return reply(order_result::fenced);
        life_.is_reached = true;
        life_.token = token;
        auto& highest = life_.ended[order.task];
        highest = std::max(highest, order.run);
        const auto it = life_.running.find({order.task, order.run});
        if (it != life_.running.end())
            it->second = {
                std::min(it->second.ends_ms, clock_ms() + stop_time.count()),
                jobs::run_outcome::stopped};
        return reply(order_result::accepted);
    }

    call_reply renew(std::int64_t token, std::int64_t acknowledged,
                     std::optional<std::int64_t> deadline_ms)
    {
        if (token < life_.token)
            return reply(jobs::order_result::fenced);
        life_.is_reached = true;
        life_.token = token;
        if (deadline_ms)
            lengthen_lease(*deadline_ms);
        while (!life_.ends.empty() &&
               life_.ends.front().row.number <= acknowledged)
        {
            const auto& it = life_.ends.front();
            if (it.row.outcome == jobs::run_outcome::done && !it.lease_lapsed)
                monitor_.noted(it.row.task, it.row.run, it.done_at);
            life_.ends.erase(life_.ends.begin());
        }
        return reply(jobs::order_result::accepted);
    }

    bool has_ends() const
    {
        return !life_.ends.empty();
    }

    call_reply reply(jobs::order_result result) const
    {
        call_reply out;
        out.order = {result, clock_ms()};
        out.report.clock_ms = clock_ms();
        out.report.incarnation_start_ms = born_;
        for (const auto& [key, it] : life_.running)
            out.report.running.push_back({key.first, key.second, "", 0});
        for (const auto& it : life_.ends)
            out.report.ended.push_back(it.row);
        return out;
    }

    /// @brief Returns the ticket that this incarnation accepts.
    std::string ticket() const
    {
        return id_ + "/" + std::to_string(born_);
    }

    bool is_up = false;
    bool is_cut = false;
    milliseconds run_time{2500};

private:
    static constexpr milliseconds stop_time{300};
    static constexpr milliseconds max_lease{6000};

    using run_key = std::pair<jobs::task_key, int>;

    struct run_state
    {
        std::int64_t ends_ms = 0;
        jobs::run_outcome outcome = jobs::run_outcome::done;
    };

    struct end_state
    {
        jobs::ended_run row;
        std::uint64_t done_at = 0;
        bool lease_lapsed = false;
    };

    struct incarnation
    {
        base::steady_time began;
        std::int64_t clock_start = 0;
        double rate = 1;
        std::int64_t token = 0;
        /// It has carried out a call.
        bool is_reached = false;
        std::int64_t lease_end_ms = 0;
        std::map<run_key, run_state> running;
        /// Highest run that ended or was stopped.
        std::map<jobs::task_key, int> ended;
        std::vector<end_state> ends;
        std::int64_t last_end = 0;
    };

    void lengthen_lease(std::int64_t deadline_ms)
    {
        life_.lease_end_ms =
            std::max(life_.lease_end_ms,
                     std::min(deadline_ms, clock_ms() + max_lease.count()));
    }

    void end(const run_key& key, jobs::run_outcome how)
    {
        monitor_.ended(key.first);
        auto& highest = life_.ended[key.first];
        highest = std::max(highest, key.second);
        life_.ends.push_back(
            {{++life_.last_end, key.first, key.second, how, ""},
             monitor_.done(),
             false});
    }

    std::string id_;
    const base::clock& clock_;
    run_monitor& monitor_;
    std::int64_t born_ = 1000;
    incarnation life_;
};

} // namespace mustardwick::dispatch::test
