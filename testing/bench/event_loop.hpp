#pragma once

#include <map>
#include <queue>
#include <string>
#include <vector>

#include "mustardwick/policy/usage.hpp"

#include "baselines.hpp"
#include "share_meter.hpp"
#include "workload.hpp"

namespace mustardwick::bench
{

/// @brief Simulates a cell and a planner under a workload, in fixed time
/// steps.
template <planner Planner>
class event_loop
{
public:
    event_loop(const deployment& shape, const workload& work, Planner planner)
        : shape_(shape), work_(work), planner_(std::move(planner))
    {
        for (const auto& it : work.hosts)
            cell_.set_host(it);
        for (const auto& it : work.teams)
            cell_.set_team(it);
        for (const auto& it : work.jobs)
            jobs_[it.declared.id].simulated = &it;
    }

    outcome run()
    {
        for (; now_ < steady_time(shape_.length); now_ += step)
        {
            submit_jobs();
            run_events();
            apply_outage();
            plan();
            measure();
        }
        return report();
    }

private:
    static constexpr milliseconds step{20};
    static constexpr milliseconds sample_interval{1000};
    static constexpr double service_millicpus = 2000;

    struct task_state
    {
        milliseconds done{0};
        int attempt = 0;
        bool started = false;
    };

    struct job_state
    {
        const simulated_job* simulated = nullptr;
        std::vector<task_state> tasks;
        int unfinished = 0;
    };

    struct event
    {
        steady_time time;
        policy::task_id id;
        int attempt = 0;
        bool checkpoint = false;

        bool operator<(const event& other) const
        {
            return other.time < time;
        }
    };

    bool is_service(const job_state& it) const
    {
        return it.simulated->declared.kind == policy::work_kind::service;
    }

    double millicpus_of(const job_state& it) const
    {
        return double(it.simulated->declared.size.millicpus);
    }

    void submit_jobs()
    {
        while (next_job_ < work_.jobs.size() &&
               work_.jobs[next_job_].declared.submitted <= now_)
        {
            const auto& it = work_.jobs[next_job_++];
            auto& state = jobs_[it.declared.id];
            state.tasks.resize(it.run_times.size());
            state.unfinished = int(it.run_times.size());
            cell_.add_job(it.declared);
            planner_.job_added(it.declared.id);
        }
    }

    void run_events()
    {
        while (!events_.empty() && events_.top().time <= now_)
        {
            const auto it = events_.top();
            events_.pop();
            const auto found = jobs_.find(it.id.job);
            auto& task = found->second.tasks[it.id.index];
            if (task.attempt != it.attempt)
                continue;
            if (it.checkpoint)
                save_checkpoint(found->second, it);
            else
                finish(found->second, it.id);
        }
    }

    void save_checkpoint(const job_state& job, const event& it)
    {
        cell_.checkpoint(it.id, it.time);
        events_.push({it.time + job.simulated->checkpoint_interval, it.id,
                      it.attempt, true});
    }

    void finish(job_state& job, const policy::task_id& id)
    {
        auto& task = job.tasks[id.index];
        const auto ran = std::chrono::duration_cast<milliseconds>(
            now_ - cell_.find_running(id)->started);
        cell_.usage().record_run(job.simulated->declared, task.done + ran);
        cell_.stop(id, true);
        ++task.attempt;
        update_running(job, -1);
        if (--job.unfinished == 0)
            cell_.remove_job(id.job);
    }

    void update_running(const job_state& job, int sign)
    {
        if (is_service(job))
            running_replicas_ += sign;
        else
            batch_millicpus_ += sign * millicpus_of(job);
    }

    /// @brief Ends an attempt; only work up to the last checkpoint is kept.
    void interrupt(const policy::task_id& id, steady_time started,
                   steady_time saved)
    {
        auto& job = jobs_[id.job];
        auto& task = job.tasks[id.index];
        ++task.attempt;
        update_running(job, -1);
        if (is_service(job))
            return;
        task.done += std::chrono::duration_cast<milliseconds>(saved - started);
        const std::chrono::duration<double> lost = now_ - saved;
        record_lost_work(lost.count() * millicpus_of(job));
    }

    void record_lost_work(double amount)
    {
        lost_work_ += amount;
        if (in_outage())
            lost_in_outage_ += amount;
    }

    bool in_outage() const
    {
        return now_ >= steady_time(shape_.drain_time) &&
               now_ < steady_time(shape_.return_time + milliseconds(30'000));
    }

    void set_domain_accepts_work(bool accepts)
    {
        for (auto it : work_.hosts)
        {
            if (it.failure_domain != work_.hosts.front().failure_domain)
                continue;
            it.accepts_work = accepts;
            cell_.set_host(it);
        }
    }

    void apply_outage()
    {
        const auto at = [&](milliseconds time)
        {
            return now_ == steady_time(time);
        };
        if (at(shape_.drain_time))
            set_domain_accepts_work(false);
        if (at(shape_.outage_time))
            fail_domain();
        if (at(shape_.return_time))
            set_domain_accepts_work(true);
    }

    /// @brief Kills the tasks that still run on hosts of the drained domain.
    void fail_domain()
    {
        std::vector<policy::running_task> killed;
        for (const auto& [id, it] : cell_.running())
            if (!cell_.find_host(it.host)->accepts_work)
                killed.push_back(it);
        for (const auto& it : killed)
        {
            const auto saved =
                has_checkpoints(it.id) ? it.checkpointed : it.started;
            cell_.stop(it.id, false);
            interrupt(it.id, it.started, saved);
            requeue_job(it.id.job);
        }
    }

    bool has_checkpoints(const policy::task_id& id)
    {
        return jobs_[id.job].simulated->checkpoint_interval.count() > 0;
    }

    void requeue_job(const std::string& job)
    {
        if constexpr (requires { planner_.requeue(job); })
            planner_.requeue(job);
    }

    void plan()
    {
        const auto start_time = std::chrono::steady_clock::now();
        const auto result = planner_.plan(cell_, now_);
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - start_time;
        if (!result.placements.empty())
            round_us_.push_back(elapsed.count());
        for (const auto& it : result.removals)
            remove(it);
        for (const auto& it : result.placements)
            start(it);
        rejected_ += result.rejections.size();
        for (const auto& it : result.rejections)
            cell_.remove_job(it.job);
    }

    /// @brief Stops a task; one with checkpoints saves a checkpoint first.
    void remove(const policy::removal& it)
    {
        const auto started = started_at_[it.id];
        interrupt(it.id, started, has_checkpoints(it.id) ? now_ : started);
        ++removed_;
    }

    void start(const policy::placement& it)
    {
        auto& job = jobs_[it.id.job];
        auto& task = job.tasks[it.id.index];
        started_at_[it.id] = now_;
        update_running(job, 1);
        ++started_;
        if (!task.started)
            record_waiting(job.simulated->declared);
        task.started = true;
        const auto left = job.simulated->run_times[it.id.index] - task.done;
        events_.push({now_ + std::max(left, milliseconds(1)), it.id,
                      task.attempt, false});
        if (has_checkpoints(it.id))
            events_.push({now_ + job.simulated->checkpoint_interval, it.id,
                          task.attempt, true});
    }

    void record_waiting(const policy::job& it)
    {
        if (it.kind == policy::work_kind::service)
            return;
        const std::chrono::duration<double> waited = now_ - it.submitted;
        waiting_by_class_[std::string(policy::name_of(it.priority))].push_back(
            waited.count());
        waiting_by_team_[it.team].push_back(waited.count());
        if (it.kind == policy::work_kind::gang)
            gangs_.push_back(waited.count());
    }

    void measure()
    {
        batch_work_ += batch_millicpus_ * 0.02;
        if (in_outage())
        {
            work_in_outage_ +=
                (batch_millicpus_ + running_replicas_ * service_millicpus) *
                0.02;
            capacity_in_outage_ += available_millicpus() * 0.02;
            services_in_outage_.push_back(
                double(running_replicas_) /
                double(std::max(desired_replicas(), 1)));
        }
        if (now_.time_since_epoch() % sample_interval == milliseconds(0) &&
            now_ > steady_time(shape_.length / 10))
            shares_.sample(cell_);
    }

    /// @brief Returns the CPU capacity, in millicpus, of the running hosts.
    double available_millicpus() const
    {
        double available = 0;
        for (const auto& [name, it] : cell_.hosts())
            if (it.accepts_work || now_ < steady_time(shape_.outage_time))
                available += double(it.capacity.millicpus);
        return available;
    }

    int desired_replicas()
    {
        if (desired_replicas_ == 0)
            for (const auto& it : work_.jobs)
                if (it.declared.kind == policy::work_kind::service)
                    desired_replicas_ += it.declared.tasks;
        return desired_replicas_;
    }

    /// @brief Counts tasks that never started, with their waiting time so far.
    void record_unstarted()
    {
        for (const auto& [id, job] : cell_.jobs())
            for (const auto& task : jobs_[id].tasks)
                if (!task.started)
                {
                    record_waiting(job);
                    ++unstarted_;
                }
    }

    outcome report()
    {
        record_unstarted();
        outcome result;
        for (auto& [name, samples] : waiting_by_class_)
            result.waiting_by_class[name] = quantiles_of(samples);
        for (auto& [name, samples] : waiting_by_team_)
            result.waiting_by_team[name] = quantiles_of(samples);
        result.waiting_of_gangs = quantiles_of(gangs_);
        shares_.report(result);
        result.outage_work = (work_in_outage_ - lost_in_outage_) /
                             std::max(capacity_in_outage_, 1.0);
        result.outage_services = mean_of(services_in_outage_);
        result.lost_work = lost_work_ / std::max(batch_work_, 1.0);
        result.started = started_;
        result.removed = removed_;
        result.rejected = rejected_;
        result.unstarted = unstarted_;
        result.round_us = quantiles_of(round_us_);
        return result;
    }

    const deployment& shape_;
    const workload& work_;
    Planner planner_;
    policy::cell cell_;
    steady_time now_{};
    std::map<std::string, job_state> jobs_;
    std::size_t next_job_ = 0;
    std::priority_queue<event> events_;
    std::map<policy::task_id, steady_time> started_at_;
    std::map<std::string, std::vector<double>> waiting_by_class_;
    std::map<std::string, std::vector<double>> waiting_by_team_;
    std::vector<double> gangs_;
    std::vector<double> round_us_;
    std::vector<double> services_in_outage_;
    share_meter shares_;
    double batch_millicpus_ = 0;
    double batch_work_ = 0;
    double work_in_outage_ = 0;
    double capacity_in_outage_ = 0;
    double lost_work_ = 0;
    double lost_in_outage_ = 0;
    int running_replicas_ = 0;
    int desired_replicas_ = 0;
    std::size_t started_ = 0;
    std::size_t removed_ = 0;
    std::size_t rejected_ = 0;
    std::size_t unstarted_ = 0;
};

} // namespace mustardwick::bench
