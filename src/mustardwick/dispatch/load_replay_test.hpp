#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "planner_fixture_test.hpp"

namespace mustardwick::dispatch::test
{

/// @brief A kind of job in a replayed load; each job has one step of identical
/// tasks.
struct job_kind
{
    std::string queue;
    double jobs_per_s = 0;
    int tasks = 1;
    std::int64_t millicpus = 1000;
    std::int64_t run_ms = 1000;
    bool is_gang = false;
    bool checkpointing = false;
    /// Share of the hosts that the queue's policy allows.
    double allowed = 0.5;
    double stretch = 2;
    std::int64_t target_latency_ms = 500;
    int priority = 1;
    jobs::advice_cost advice;
    std::string account = "many";
};

/// @brief Counts the jobs of one kind by outcome.
struct kind_outcome
{
    int submitted = 0;
    int in_time = 0;

    double share() const
    {
        return submitted == 0 ? 1.0 : double(in_time) / submitted;
    }
};

/// @brief Replays a load against a planner in virtual time, with simulated
/// hosts, an advisor that handles one query per channel, and immediate commits.
class load_replay
{
public:
    load_replay(int hosts, std::size_t channels, std::vector<job_kind> kinds,
                unsigned seed)
        : kinds_(std::move(kinds)), channels_(channels), random_(seed), cell_(0)
    {
        auto configuration = make_configuration();
        configuration.queues.clear();
        configuration.accounts["many"] = {"many", {}, 1000, {}};
        for (const auto& it : kinds_)
        {
            auto queue = make_queue(it.queue, it.priority);
            queue.stretch = it.stretch;
            queue.target_latency_ms = it.target_latency_ms;
            queue.advice = it.advice;
            configuration.queues[it.queue] = queue;
        }
        cell_.plan.set_configuration(configuration);
        for (int it = 0; it < hosts; ++it)
            cell_.add_host("w" + std::to_string(it));
    }

    std::vector<kind_outcome> simulate()
    {
        std::vector<kind_outcome> out(kinds_.size());
        constexpr std::int64_t step_ms = 10;
        constexpr std::int64_t drain_ms = 30'000;
        for (now_ms_ = 0; now_ms_ < arrivals_ms + drain_ms; now_ms_ += step_ms)
        {
            cell_.clock.advance(milliseconds(step_ms));
            if (now_ms_ < arrivals_ms)
                for (std::size_t it = 0; it < kinds_.size(); ++it)
                    submit_arrivals(it, step_ms, out[it]);
            end_runs();
            answer_queries();
            carry_out(take_orders());
            count_examined();
            cell_.commit();
            carry_out(take_orders());
            count_completed(out);
        }
        return out;
    }

    /// @brief Returns how many hosts a round examines on average for each step
    /// of a backlog.
    double examined_per_step() const
    {
        return double(examined_) / double(std::max<std::size_t>(1, steps_));
    }

private:
    /// Smaller rounds are short however many hosts each step examines.
    static constexpr std::size_t min_backlog = 40;

    void count_examined()
    {
        const auto& round = cell_.plan.last_round();
        if (round.ready_steps < min_backlog)
            return;
        examined_ += round.hosts_examined;
        steps_ += round.ready_steps;
    }

    static constexpr std::int64_t arrivals_ms = 20'000;
    /// Time for which a stopped run still occupies its host.
    static constexpr std::int64_t stop_ms = 400;

    struct host_run
    {
        jobs::task_key task;
        int run = 0;
        std::int64_t ends_ms = 0;
        jobs::run_outcome outcome = jobs::run_outcome::done;
    };
    struct pending_query
    {
        advice_query query;
        base::steady_time sent_at;
        std::int64_t due_ms = 0;
    };
    struct submitted_job
    {
        std::size_t kind = 0;
        std::int64_t run_ms = 0;
        std::int64_t objective_ms = 0;
    };

    void submit_arrivals(std::size_t kind, std::int64_t step_ms,
                         kind_outcome& outcome)
    {
        const auto& it = kinds_[kind];
        std::poisson_distribution<int> arrivals(it.jobs_per_s *
                                                double(step_ms) / 1000);
        for (int n = arrivals(random_); n > 0; --n)
        {
            std::uniform_real_distribution<double> spread(0.4, 1.6);
            const auto run_ms =
                std::int64_t(double(it.run_ms) * spread(random_));
            const int tasks =
                std::max(1, int(std::lround(it.tasks * spread(random_))));
            auto step = make_step(tasks, 1, it.is_gang);
            step.size.millicpus = it.millicpus;
            step.estimate_ms = run_ms;
            step.checkpointing = it.checkpointing;
            const auto id = "j" + std::to_string(++jobs_);
            const auto advice_ms =
                it.advice.base_ms + it.advice.per_host_ms * 30;
            open_[id] = {
                kind, run_ms,
                now_ms_ + it.target_latency_ms +
                    std::int64_t(it.stretch * (double(run_ms) + advice_ms))};
            ++outcome.submitted;
            cell_.plan.submit(make_job(id, it.queue, {step}, it.account),
                              [] {});
        }
    }

    void end_runs()
    {
        for (auto& [worker, runs] : runs_)
        {
            std::vector<jobs::ended_run> ended;
            std::erase_if(runs,
                          [&](const host_run& it)
                          {
                              if (it.ends_ms > now_ms_)
                                  return false;
                              ended.push_back({++ends_[worker], it.task, it.run,
                                               it.outcome, "saved"});
                              return true;
                          });
            if (!ended.empty())
                report(worker, std::move(ended));
        }
    }

    void report(const std::string& worker, std::vector<jobs::ended_run> ended)
    {
        std::vector<jobs::running_run> running;
        for (const auto& it : runs_[worker])
            running.push_back({it.task, it.run, "", 1});
        cell_.report(worker, std::move(running), std::move(ended));
    }

    void answer_queries()
    {
        std::vector<pending_query> due;
        std::erase_if(queries_,
                      [&](const pending_query& it)
                      {
                          if (it.due_ms > now_ms_)
                              return false;
                          due.push_back(it);
                          return true;
                      });
        for (const auto& it : due)
        {
            std::vector<advice_ticket> allowed;
            for (const auto& worker : it.query.workers)
                if (is_allowed(it.query, worker))
                    allowed.push_back({worker, "t"});
            cell_.plan.advice_answered(it.query, std::move(allowed),
                                       it.sent_at);
        }
    }

    bool is_allowed(const advice_query& query, const std::string& worker) const
    {
        const auto& kind = kinds_[open_.at(query.job).kind];
        const auto hash = std::hash<std::string>{}(query.job + worker);
        return double(hash % 1000) < kind.allowed * 1000;
    }

    orders take_orders()
    {
        const auto free = channels_ - queries_.size();
        return cell_.plan.take_orders({free, free});
    }

    void carry_out(const orders& out)
    {
        for (const auto& it : out.queries)
            queries_.push_back(
                {it, cell_.clock.now(), now_ms_ + it.expected_ms});
        for (const auto& it : out.starts)
        {
            const auto run_ms = open_.at(it.task.job).run_ms;
            runs_[it.worker].push_back(
                {it.task, it.run, now_ms_ + run_ms, jobs::run_outcome::done});
            cell_.accept(it);
        }
        for (const auto& it : out.stops)
            for (auto& run : runs_[it.worker])
                if (run.task == it.task && run.run == it.run)
                {
                    run.ends_ms = std::min(run.ends_ms, now_ms_ + stop_ms);
                    run.outcome = jobs::run_outcome::stopped;
                }
    }

    void count_completed(std::vector<kind_outcome>& out)
    {
        std::erase_if(open_,
                      [&](const auto& entry)
                      {
                          const auto& [id, it] = entry;
                          if (now_ms_ > it.objective_ms ||
                              cell_.plan.state_of(id) !=
                                  jobs::job_state::completed)
                              return false;
                          ++out[it.kind].in_time;
                          return true;
                      });
    }

    std::vector<job_kind> kinds_;
    std::size_t channels_;
    std::mt19937 random_;
    planner_fixture cell_;
    std::int64_t now_ms_ = 0;
    int jobs_ = 0;
    std::map<std::string, submitted_job> open_;
    std::map<std::string, std::vector<host_run>> runs_;
    std::map<std::string, std::int64_t> ends_;
    std::vector<pending_query> queries_;
    /// Sums over the rounds with a backlog.
    std::size_t examined_ = 0;
    std::size_t steps_ = 0;
};

} // namespace mustardwick::dispatch::test
