#include "timing.hpp"

#include <chrono>
#include <random>

#include "mustardwick/policy/scheduler.hpp"

namespace mustardwick::bench
{

namespace
{

using namespace mustardwick::policy;
using stopwatch = std::chrono::steady_clock;

constexpr int single_rounds = 4000;
constexpr int batch_rounds = 300;
constexpr int batch_size = 64;
constexpr int team_count = 48;

/// @brief A fully used cell with a queue of waiting jobs.
class full_cell
{
public:
    full_cell(int workers, int queued, std::uint64_t seed)
        : random_(seed), queued_(queued)
    {
        for (int i = 0; i < workers; ++i)
            state_.set_host({"host-" + std::to_string(i),
                             "domain-" + std::to_string(i % 7),
                             "rack-" + std::to_string(i / 7 / 8),
                             {30'000, 64'000, i % 16 == 0 ? 8 : 0},
                             true});
        for (int i = 0; i < team_count; ++i)
            state_.set_team({team_of(i), i < 8 ? 3 : 1, {-1, -1, -1}});
        fill();
    }

    /// @brief Finishes tasks, plans a round and refills the queue. Returns the
    /// number of decisions and sets the times taken, in microseconds.
    std::size_t step(int finished, double& cell_us, double& plan_us)
    {
        now_ += milliseconds(20);
        const auto ids = pick_running(finished);
        const auto start_time = stopwatch::now();
        for (const auto& id : ids)
            state_.stop(id, true);
        const auto updated = stopwatch::now();
        const auto result = plan_round(state_, now_);
        const auto planned = stopwatch::now();
        cell_us = microseconds_of(updated - start_time);
        plan_us = microseconds_of(planned - updated);
        record_placements(result);
        refill();
        return result.placements.size() + result.removals.size();
    }

private:
    static std::string team_of(int i)
    {
        return "team-" + std::to_string(i);
    }

    static double microseconds_of(stopwatch::duration it)
    {
        return std::chrono::duration<double, std::micro>(it).count();
    }

    int random_below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random_);
    }

    job draw_job()
    {
        job it;
        it.id = "job-" + std::to_string(jobs_++);
        it.team = team_of(random_below(team_count));
        it.queue = "queue";
        const int kind = random_below(100);
        it.kind = kind < 3   ? work_kind::gang
                  : kind < 8 ? work_kind::service
                             : work_kind::batch;
        const int priority = random_below(100);
        it.priority = priority < 2    ? priority_class::urgent
                      : priority < 80 ? priority_class::normal
                                      : priority_class::best_effort;
        it.size = {250LL * (1 + random_below(24)),
                   256LL * (1 + random_below(32)),
                   random_below(20) == 0 ? 1 : 0};
        it.tasks = it.kind == work_kind::gang ? 4 + random_below(13) : 1;
        it.run_time = milliseconds(1000 + random_below(60'000));
        it.submitted = now_;
        return it;
    }

    void record_placements(const plan& result)
    {
        for (const auto& it : result.placements)
            running_.push_back(it.id);
    }

    std::vector<task_id> pick_running(int n)
    {
        std::vector<task_id> picked;
        while (int(picked.size()) < n && !running_.empty())
        {
            const auto i = random_below(int(running_.size()));
            std::swap(running_[i], running_.back());
            // The planner may have removed the task since it was recorded.
            if (state_.find_running(running_.back()) != nullptr)
                picked.push_back(running_.back());
            running_.pop_back();
        }
        return picked;
    }

    int waiting() const
    {
        int n = 0;
        for (const auto& [id, job] : state_.jobs())
            n += state_.pending(id) > 0 ? 1 : 0;
        return n;
    }

    void refill()
    {
        if (++steps_ % 50 != 0)
            return;
        for (int n = waiting(); n < queued_; ++n)
            state_.add_job(draw_job());
        remove_finished_jobs();
    }

    void remove_finished_jobs()
    {
        std::set<std::string, std::less<>> running_jobs;
        for (const auto& [id, task] : state_.running())
            running_jobs.insert(id.job);
        std::vector<std::string> done;
        for (const auto& [id, job] : state_.jobs())
            if (state_.pending(id) == 0 && !running_jobs.contains(id))
                done.push_back(id);
        for (const auto& id : done)
            state_.remove_job(id);
    }

    void fill()
    {
        for (;;)
        {
            for (int n = waiting(); n < queued_; ++n)
                state_.add_job(draw_job());
            now_ += milliseconds(20);
            const auto result =
                plan_round(state_, now_, {.max_placements = 4096});
            record_placements(result);
            if (result.placements.size() < 16)
                return;
        }
    }

    std::mt19937_64 random_;
    int queued_;
    cell state_;
    steady_time now_{std::chrono::hours(1)};
    int jobs_ = 0;
    int steps_ = 0;
    std::vector<task_id> running_;
};

} // namespace

timing measure_decisions(int workers, int queued, std::uint64_t seed)
{
    full_cell it(workers, queued, seed);
    std::vector<double> single;
    double cell_us = 0;
    double plan_us = 0;
    for (int i = 0; i < single_rounds; ++i)
        if (it.step(1, cell_us, plan_us) > 0)
            single.push_back(cell_us + plan_us);
    double total_us = 0;
    std::size_t decisions = 0;
    for (int i = 0; i < batch_rounds; ++i)
    {
        decisions += it.step(batch_size, cell_us, plan_us);
        total_us += cell_us + plan_us;
    }
    const auto mean = total_us / double(std::max<std::size_t>(decisions, 1));
    return {workers, queued, quantiles_of(std::move(single)), 1e6 / mean, mean};
}

} // namespace mustardwick::bench
