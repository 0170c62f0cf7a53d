#include <set>

#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"
#include "testing/model/lease_fixture.hpp"
#include "testing/model/model_cell.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;

namespace
{

/// Sets or returns rows of the table of a cell, as seen by its first daemon.
struct cell_rows
{
    explicit cell_rows(model_cell& cell) : table(cell.access(0)) {}

    void fence(const std::string& daemon)
    {
        const auto key = coordination::member_key(daemon);
        const auto row = table.read(key).value();
        auto record = coordination::parse_member(row.value).value();
        record.fenced = true;
        cr_assert_eq(table
                         .commit({"fence",
                                  {{key, row.version}},
                                  {{key, coordination::to_row(record)}},
                                  {}})
                         .state,
                     ports::commit_state::committed);
    }

    std::set<std::string> hosts_of(const std::string& daemon,
                                   std::uint64_t incarnation)
    {
        std::set<std::string> out;
        const auto page = table.scan(coordination::holder_prefix, {});
        cr_assert(page.has_value());
        for (const auto& it : page->rows)
        {
            const auto holder = coordination::parse_holder(it.value).value();
            if (holder.daemon == daemon && holder.incarnation == incarnation)
                out.insert(it.key);
        }
        return out;
    }

    fake_table& table;
};

} // namespace

// Guards against a fenced daemon that continues to report the hosts it held:
// its outdated report of a lease or of an empty host would replace that of the
// host's current holder.
Test(worker_leases, releases_all_dropped_hosts)
{
    base::set_up_log("model", base::log_level::error);
    model_cell cell({1});
    cell.run(base::milliseconds{5000});
    std::set<std::string> released;
    auto& leases = cell.daemon(0).leases;
    leases.on_release(
        [&released](const std::string& host)
        {
            released.insert(host);
        });
    const auto held = leases.held();
    cr_assert_not(held.empty());
    leases.drop_all();
    cr_expect_eq(released, std::set(held.begin(), held.end()));
}

// Guards against tasks that stay assigned to a worker that never answers again.
Test(worker_leases, restarts_tasks_of_an_unresponsive_worker)
{
    base::set_up_log("model", base::log_level::error);
    model_cell cell({1});
    constexpr operation half_a_minute{action::advance, 7, 0};
    // A service of one task of 1,500 millicpus.
    cell.apply({action::submit, 0, 2});
    cell.run(base::milliseconds{3000});
    cr_assert_eq(cell.monitor().counts["task_started"], 1);
    for (unsigned n = 0; n < 4; ++n)
    {
        if (cell.monitor().has_tasks("w" + std::to_string(n)))
            cell.apply({action::silence_worker, 0, n});
    }
    cell.apply(half_a_minute);
    cell.apply(half_a_minute);
    cr_expect_eq(cell.monitor().counts["task_started"], 2);
    cr_expect(cell.monitor().broken().empty());
}

// Guards against running a task twice: a host was given another address, and
// the worker found there, which runs nothing, was taken for the former one,
// whose lease had not expired.
Test(worker_leases, awaits_the_lease_at_the_former_address)
{
    const auto& timing = coordination::timing_settings{};
    const auto lease = timing.worker_lease + timing.worker_lease / 100;
    lease_fixture cell({"w0"});
    cell.run(base::milliseconds{3000});
    cr_assert_eq(cell.workers.opened.size(), 1);
    cell.declare("w0", lease_fixture::second_address);
    cell.run(base::milliseconds{1000});
    const auto renewals = cell.workers.renewed.size();
    cr_assert_not(cell.leases.lease_of("w0").has_value());
    cell.run(lease);
    cr_assert_eq(cell.workers.opened.size(), 1);
    cr_assert_eq(cell.workers.renewed.size(), renewals);
    cell.run(base::milliseconds{8000});
    cr_assert_eq(cell.workers.opened.size(), 2);
    cr_assert_eq(cell.workers.opened[1].address, lease_fixture::second_address);
    // The planner learns that the former worker runs nothing any more before it
    // sends orders to the next one.
    cr_assert_geq(cell.reports.size(), 2);
    cr_assert(cell.reports[cell.reports.size() - 2].emptied);
    cr_assert(cell.reports.back().accepts_work);
}

// Guards against taking hosts from a daemon that has just registered, because
// the copy of its row is older: the daemon keeps renewing its leases, and its
// tasks start elsewhere as well.
Test(worker_leases, leaves_hosts_to_holders_newer_than_the_known_row)
{
    base::set_up_log("model", base::log_level::error);
    struct row_case
    {
        const char* name;
        bool removed;
        std::uint64_t next_incarnation;
    };
    constexpr row_case cases[] = {{"fenced", false, 2}, {"removed", true, 1}};
    for (const auto& it : cases)
    {
        model_cell cell({1});
        cell.run(base::milliseconds{5000});
        for (unsigned n = 0; n < 3; ++n)
            cell.apply({action::pause_daemon, n, 0});
        cell.run(base::milliseconds{600});
        cell_rows rows(cell);
        auto& observer = cell.daemon(0);
        observer.registry.refresh();
        if (it.removed)
            cr_assert(
                observer.registry.remove(observer.registry.find("d1").value()));
        else
            rows.fence("d1");
        observer.registry.refresh();
        cell.daemon(1).registry.renew();
        cell.daemon(1).registry.renew();
        cell.daemon(1).leases.tick();
        const auto held = rows.hosts_of("d1", it.next_incarnation);
        cr_assert_not(held.empty(), "%s", it.name);
        observer.leases.tick();
        cr_expect_eq(rows.hosts_of("d1", it.next_incarnation), held, "%s",
                     it.name);
    }
}
