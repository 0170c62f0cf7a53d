#include "planner_fixture_test.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

/// A planner that keeps work apart, with two workers.
struct shared_workers
{
    explicit shared_workers(bool keeps_apart)
        : plan(clock, options_of(keeps_apart), metrics)
    {
        base::set_up_log("test", base::log_level::error);
        auto configuration = make_configuration();
        configuration.accounts["many"] = {"many", {}, 1000, {}};
        plan.set_configuration(configuration);
        for (const auto* id : {"w0", "w1"})
        {
            jobs::worker_info info;
            info.id = id;
            info.service = "s";
            info.failure_domain = "z";
            info.capacity = {host_cores * 1000, 64'000, 0};
            plan.worker_listed(info);
            report(id, {});
        }
    }

    static planner_options options_of(bool keeps_apart)
    {
        planner_options out;
        out.keeps_apart = keeps_apart;
        return out;
    }

    std::int64_t worker_clock() const
    {
        return std::chrono::duration_cast<milliseconds>(
                   clock.now().time_since_epoch())
            .count();
    }

    void report(const std::string& id, std::vector<jobs::running_run> running)
    {
        plan.worker_reported(
            id, {worker_clock(), incarnation_start, std::move(running), {}},
            clock.now());
    }

    /// Submits a job whose tasks run the given image, and starts them.
    std::vector<start_order> start(const std::string& id,
                                   const std::string& image, int cores,
                                   std::int64_t target_ms)
    {
        auto step = make_step(1, cores);
        step.image = image;
        step.long_running = true;
        step.target_ms = target_ms;
        plan.submit(make_job(id, "plain", {step}, "many"), [] {});
        clock.advance(milliseconds(200));
        plan.take_orders({0, 0});
        while (!plan.next_commit(96, 600'000).empty())
            plan.commit_done();
        auto out = plan.take_orders({0, 0}).starts;
        for (const auto& it : out)
            plan.start_answered(it,
                                {jobs::order_result::accepted, worker_clock()});
        return out;
    }

    /// Lets the serving task report its tail for a while, beside the other one
    /// or alone.
    void observe(const start_order& serving, const start_order& other,
                 int seconds, bool beside, std::int64_t tail_ms)
    {
        for (int n = 0; n < seconds; ++n)
        {
            clock.advance(milliseconds(1000));
            std::vector<jobs::running_run> running = {
                {serving.task, serving.run, "", tail_ms + n % 3}};
            if (beside)
                running.push_back({other.task, other.run, "", 1000});
            report(serving.worker, std::move(running));
        }
    }

    base::manual_clock clock;
    base::metrics metrics;
    planner plan;
};

} // namespace

struct apart_case
{
    const char* name;
    bool keeps_apart;
    /// Tail latency of the serving task beside the other one; 20 ms alone.
    std::int64_t tail_beside_ms;
    /// Cores that the new task needs; 12 are free beside the serving task, and
    /// 30 on the other worker.
    int cores;
    bool on_other_worker;
};

// Guards against work placed beside tasks that it slows down although there is
// room elsewhere, and against work that waits because all room is beside them.
Test(interference_placement, keeps_apart_where_there_is_room)
{
    const std::array cases = {
        apart_case{"disturbs", true, 60, 2, true},
        apart_case{"does not disturb", true, 20, 2, false},
        apart_case{"switched off", false, 60, 2, false},
    };
    for (const auto& it : cases)
    {
        shared_workers cell(it.keeps_apart);
        const auto serving = cell.start("serving", "shop", 18, 100).front();
        const auto other = cell.start("other", "batch", 2, 0).front();
        cr_assert_eq(serving.worker, other.worker);
        cell.observe(serving, other, 12, true, it.tail_beside_ms);
        cell.plan.cancel("other", [](cancel_result) {});
        cell.observe(serving, other, 12, false, 20);
        cr_assert_eq(cell.plan.interfering_pairs() > 0, it.on_other_worker,
                     "%s", it.name);
        const auto next = cell.start("next", "batch", it.cores, 0);
        cr_assert_eq(next.size(), 1, "%s", it.name);
        cr_assert_eq(next.front().worker != serving.worker, it.on_other_worker,
                     "%s", it.name);
        // The cell is full but for the room beside the serving task.
        const auto filler = cell.start("filler", "filler", 30, 0);
        const auto last = cell.start("last", "batch", 8, 0);
        cr_assert_eq(last.size(), 1, "%s", it.name);
    }
}
