#include "planner_fixture_test.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

constexpr int hosts = 6;

/// Six hosts on which the given runs fail.
struct failing_cell : planner_fixture
{
    failing_cell() : planner_fixture(hosts) {}

    void fail(const start_order& order)
    {
        end(order, ++last_end_[order.worker], jobs::run_outcome::failed);
    }

    void succeed(const start_order& order)
    {
        end(order, ++last_end_[order.worker], jobs::run_outcome::done);
    }

    /// Fills each host with tasks of separate jobs, and returns their orders.
    std::vector<start_order> fill(const std::string& prefix)
    {
        for (int it = 0; it < hosts * 4; ++it)
            submit(make_job(prefix + std::to_string(it), "plain",
                            {make_step(1, 8)}));
        return run_round().starts;
    }

    /// Returns the hosts that get tasks when there is work for all of them.
    std::set<std::string> usable_hosts()
    {
        submit(make_job("more", "plain", {make_step(hosts * 4, 8)}));
        std::set<std::string> out;
        for (const auto& it : round().starts)
            out.insert(it.worker);
        return out;
    }

private:
    std::map<std::string, std::int64_t> last_end_;
};

} // namespace

// Guards against jobs that could run but find no host, because jobs that fail
// wherever they run have had every host quarantined.
Test(host_quarantine, spares_hosts_that_ran_only_failing_jobs)
{
    failing_cell cell;
    for (const auto& it : cell.fill("healthy"))
        cell.succeed(it);
    cell.commit();
    cell.submit(make_job("poisoned", "plain", {make_step(hosts * 4, 8)}));
    // The queue allows two attempts, and a step avoids a host for 2 s after a
    // failure there.
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        cell.clock.advance(milliseconds(2000));
        for (const auto& it : cell.run_round().starts)
            cell.fail(it);
        cell.commit();
    }
    cr_assert_eq(cell.plan.state_of("poisoned"), jobs::job_state::failed);
    cr_assert_eq(cell.usable_hosts().size(), hosts);
}

// Guards against quarantining most of a cell in a flood of jobs that fail,
// before or although nothing shows that the jobs are the cause.
Test(host_quarantine, leaves_most_hosts_usable)
{
    failing_cell cell;
    auto runs = cell.fill("poisoned");
    cr_assert_eq(runs.size(), hosts * 4);
    while (!runs.empty())
    {
        for (const auto& it : runs)
            cell.fail(it);
        cell.commit();
        runs = cell.run_round().starts;
    }
    cr_assert_geq(cell.usable_hosts().size(), hosts * 2 / 3);
}

// Guards against a bound on quarantines that counts hosts which get no work
// anyway: with most failure domains out of service it would cover all others.
Test(host_quarantine, bounds_quarantines_by_the_hosts_in_service)
{
    failing_cell cell;
    for (int it = 0; it < 2 * hosts; ++it)
        cell.add_host("out" + std::to_string(it), "out");
    cell.plan.set_evacuated({"out"});
    for (const auto& it : cell.fill("poisoned"))
        cell.fail(it);
    cell.commit();
    cr_assert_geq(cell.usable_hosts().size(), hosts * 2 / 3);
}

// Guards against hosts that fail everything and go on receiving work, also when
// a job fails on two of them.
Test(host_quarantine, excludes_hosts_that_fail_everything)
{
    const std::vector<std::set<std::string>> cases = {{"w0"}, {"w0", "w1"}};
    for (const auto& faulty : cases)
    {
        failing_cell cell;
        for (int round = 0; round < 3; ++round)
        {
            for (const auto& it : cell.fill("round" + std::to_string(round)))
                if (faulty.contains(it.worker))
                    cell.fail(it);
                else
                    cell.succeed(it);
            cell.commit();
        }
        const auto usable = cell.usable_hosts();
        cr_assert_eq(usable.size(), hosts - faulty.size());
        for (const auto& it : faulty)
            cr_assert(!usable.contains(it));
    }
}

// Guards against a host that stays on probation for as long as a long-running
// task occupies it.
Test(host_quarantine, ends_beside_a_long_running_task)
{
    planner_fixture cell(3);
    auto service = make_step(1, 4);
    service.long_running = true;
    cell.submit(make_job("service", "plain", {service}));
    const auto serving = cell.run_round().starts.at(0);
    // The other two hosts are full.
    cell.submit(make_job("filler", "plain", {make_step(2, host_cores)}));
    cr_assert_eq(cell.run_round().starts.size(), 2);
    for (std::int64_t end = 1; end <= 2; ++end)
    {
        cell.submit(make_job("failing" + std::to_string(end), "plain",
                             {make_step(1, 4)}));
        const auto order = cell.run_round().starts.at(0);
        cell.report(
            order.worker, {{serving.task, serving.run, "", 1}},
            {{end, order.task, order.run, jobs::run_outcome::failed, ""}});
        cell.commit();
        cell.plan.cancel("failing" + std::to_string(end), [](cancel_result) {});
        cell.commit();
    }
    cell.submit(make_job("more", "plain", {make_step(2, 4)}));
    cr_assert(cell.run_round().starts.empty());
    // The quarantine has ended: one task at a time until one succeeds.
    cell.clock.advance(milliseconds(3000));
    cell.report("w0", {{serving.task, serving.run, "", 1}});
    const auto probe = cell.run_round().starts;
    cr_assert_eq(probe.size(), 1);
    cell.report(
        "w0", {{serving.task, serving.run, "", 1}},
        {{3, probe[0].task, probe[0].run, jobs::run_outcome::done, ""}});
    cell.commit();
    cr_assert_eq(cell.run_round().starts.size(), 1);
}

namespace
{

/// Runs rounds until a job starts; returns the worker, or nothing after 3 s.
std::optional<std::string> start_within_3_s(failing_cell& cell,
                                            std::string_view job,
                                            std::string_view failing)
{
    std::vector<start_order> running;
    for (int it = 0; it < 15; ++it)
    {
        for (const auto& order : running)
            cell.fail(order);
        running.clear();
        for (const auto& order : cell.run_round().starts)
        {
            if (order.task.job == job)
                return order.worker;
            if (order.task.job.starts_with(failing))
                running.push_back(order);
        }
    }
    return std::nullopt;
}

} // namespace

struct blocked_case
{
    const char* name;
    /// Of the tasks that run on the hosts that are not quarantined.
    std::int64_t running_cores;
    bool starts;
};

// Guards against a job that could run and waits for quarantined hosts while the
// others are fragmented (hosted-soak seeds 385 and 55), and against faulty
// hosts that take the backlog of a full cell.
Test(host_quarantine, holds_up_no_job_in_a_cell_that_is_not_full)
{
    const std::array cases = {
        blocked_case{"fragmented", 20, true},
        blocked_case{"full", 31, false},
    };
    for (const auto& it : cases)
    {
        failing_cell cell;
        for (const auto& order : cell.fill("j"))
            if (order.worker == "w0" || order.worker == "w1")
                cell.fail(order);
            else
                cell.succeed(order);
        for (int n = 0; n < hosts * 4; ++n)
            cell.plan.cancel("j" + std::to_string(n), [](cancel_result) {});
        for (int n = 0; n < 4; ++n)
            cell.submit(make_job("big" + std::to_string(n), "urgent",
                                 {make_step(1, it.running_cores)}));
        cr_assert_eq(cell.run_round().starts.size(), 4);
        cell.submit(make_job("sound", "plain", {make_step(1, 16)}));
        const auto worker = start_within_3_s(cell, "sound", "j");
        cr_assert_eq(worker.has_value(), it.starts, "%s", it.name);
        if (worker)
            cr_assert(*worker == "w0" || *worker == "w1", "%s", it.name);
    }
}

struct only_host_case
{
    const char* name;
    /// Cores in use on each of the other hosts.
    int running_cores;
    /// The job needs the label of the host.
    bool needs_label;
    bool starts;
};

// Guards against a job that is held up because jobs that always fail have had
// the only host with its label quarantined, in a free cell (review/4) or in a
// busy one (review/10).
Test(host_quarantine, holds_up_no_job_on_its_only_host)
{
    const std::array cases = {
        only_host_case{"free", 0, true, true},
        only_host_case{"busy", 31, true, true},
        // In a full cell, faulty hosts look empty.
        only_host_case{"busy, without the label", 31, false, false},
    };
    for (const auto& it : cases)
    {
        failing_cell cell;
        jobs::worker_info info;
        info.id = "only";
        info.service = "s";
        info.failure_domain = "z";
        info.capacity = {host_cores * 1000, 64'000, 0};
        info.labels = {"b"};
        auto step = make_step(1, 1);
        auto configuration = make_configuration();
        configuration.queues["plain"].attempts = 100;
        cell.plan.set_configuration(configuration);
        if (it.running_cores > 0)
            for (int n = 0; n < hosts; ++n)
                cell.submit(make_job("big" + std::to_string(n), "urgent",
                                     {make_step(1, it.running_cores)}));
        cell.run_round();
        cell.plan.worker_listed(info);
        cell.report(info.id);
        step.required_label = "b";
        for (int n = 0; n < 6; ++n)
            cell.submit(make_job("bad" + std::to_string(n), "plain", {step}));
        for (const auto& order : cell.run_round().starts)
            cell.fail(order);
        auto sound = make_step(1, it.needs_label ? 1 : 2);
        sound.required_label = it.needs_label ? "b" : "";
        // Other work may be deferred in a busy cell.
        sound.long_running = it.running_cores > 0;
        cell.submit(make_job("sound", "plain", {sound}));
        const auto worker = start_within_3_s(cell, "sound", "bad");
        cr_assert_eq(worker.has_value(), it.starts, "%s", it.name);
        if (worker)
            cr_assert_eq(*worker, "only", "%s", it.name);
    }
}

enum class remaining_by
{
    /// The advisor denies the other hosts.
    advice,
    /// Each of the other hosts has as many tasks of the step as it may have.
    spread,
    /// The data are on the rack of the host; the others may be used as well.
    rack
};

struct remaining_host_case
{
    const char* name;
    remaining_by what;
    /// The host on which the job starts; empty for any.
    const char* worker;
};

// Guards against a task that lasts and waits for a quarantine in a busy service
// although no other host may run it (review/15).
Test(host_quarantine, holds_up_no_task_that_lasts_on_the_host_left_to_it)
{
    const std::array cases = {
        remaining_host_case{"advice", remaining_by::advice, "only"},
        remaining_host_case{"spread", remaining_by::spread, "only"},
        remaining_host_case{"rack", remaining_by::rack, ""},
    };
    for (const auto& it : cases)
    {
        failing_cell cell;
        auto configuration = make_configuration();
        configuration.queues["plain"].attempts = 100;
        cell.plan.set_configuration(configuration);
        for (int n = 0; n < hosts; ++n)
            cell.submit(make_job("big" + std::to_string(n), "urgent",
                                 {make_step(1, 30)}));
        cr_assert_eq(cell.run_round().starts.size(), hosts, "%s", it.name);
        jobs::worker_info info;
        info.id = "only";
        info.service = "s";
        info.failure_domain = "z";
        info.rack = "r";
        info.capacity = {host_cores * 1000, 64'000, 0};
        info.labels = {"b"};
        cell.plan.worker_listed(info);
        cell.report(info.id);
        auto bad = make_step(1, 1);
        bad.required_label = "b";
        for (int n = 0; n < 6; ++n)
            cell.submit(make_job("bad" + std::to_string(n), "plain", {bad}));
        for (const auto& order : cell.run_round().starts)
            cell.fail(order);
        for (int n = 0; n < 6; ++n)
            cell.plan.cancel("bad" + std::to_string(n), [](cancel_result) {});
        cell.commit();

        auto sound =
            make_step(it.what == remaining_by::spread ? hosts + 1 : 1, 1);
        sound.long_running = true;
        if (it.what == remaining_by::spread)
            sound.max_per_host = 1;
        if (it.what == remaining_by::rack)
            sound.preferred_rack = "r";
        const bool asks = it.what == remaining_by::advice;
        cell.submit(make_job("sound", asks ? "asked" : "plain", {sound}));
        std::set<std::string> workers;
        for (int n = 0; n < 15; ++n)
        {
            const auto out = cell.round(1);
            for (const auto& order : out.starts)
            {
                cell.accept(order);
                workers.insert(order.worker);
            }
            for (const auto& query : out.queries)
            {
                auto allowed = allow_all(query);
                std::erase_if(allowed,
                              [](const auto& ticket)
                              {
                                  return ticket.worker != "only";
                              });
                cell.plan.advice_answered(query, allowed, cell.clock.now());
            }
        }
        cr_assert_eq(int(workers.size()), sound.tasks, "%s", it.name);
        cr_assert(*it.worker == 0 || workers.contains(it.worker), "%s",
                  it.name);
    }
}
