#include <criterion/criterion.h>

#include "testing/model/model_cell.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;

namespace
{

/// A planner with its own access to a shared table. It considers every other
/// daemon failed, and deliveries of orders are never answered.
struct planner_fixture
{
    explicit planner_fixture(table_state& state, const base::manual_clock& time,
                             const std::string& name)
        : access(state), table(access),
          registry(table, time, member(name), base::milliseconds{9000}),
          view(registry,
               [](std::string_view)
               {
                   return true;
               }),
          freeze(time), config(table, time, base::milliseconds{3000}, freeze),
          leadership(table, registry, view), events(time, name),
          planner({table, leadership, config, time, events, metrics,
                   [](const wire::deliver&)
                   {
                       return std::optional<wire::deliver_answer>();
                   },
                   [](const std::function<void()>&) {}})
    {
    }

    static coordination::member_record member(const std::string& name)
    {
        coordination::member_record out;
        out.name = name;
        return out;
    }

    void refresh()
    {
        registry.renew();
        registry.refresh();
        config.refresh();
    }

    fake_table access;
    ports::table table;
    base::metrics metrics;
    coordination::member_registry registry;
    coordination::cluster_view view;
    coordination::change_freeze freeze;
    coordination::config_store config;
    coordination::planner_leadership leadership;
    base::time_line events;
    coordination::planner planner;
};

void declare(coordination::config_store& config,
             coordination::resource_kind kind, const std::string& name,
             const std::string& desired)
{
    coordination::change_request change;
    change.kind = kind;
    change.name = name;
    change.desired = desired;
    cr_assert(config.change(change).has_value());
}

std::size_t count_rows(table_state& table, std::string_view prefix)
{
    return table.scan(prefix, {}).rows.size();
}

void submit(table_state& table, const std::string& id)
{
    coordination::job_record job;
    job.specification.id = id;
    job.specification.team = "t0";
    job.specification.size = {1000, 100, 0};
    table.commit({id,
                  {{coordination::job_key(id), 0}},
                  {{coordination::job_key(id), coordination::to_row(job)},
                   {coordination::inbox_key(id, "submit"), "{}"}},
                  {}});
}

} // namespace

// Guards against a planner that loses and regains leadership between two of its
// rounds and continues with the jobs and tasks it had loaded before another
// daemon was the leader.
Test(planner, reloads_after_another_daemon_was_leader)
{
    base::set_up_log("model", base::log_level::error);
    base::manual_clock time;
    table_state table;
    planner_fixture first(table, time, "d1");
    planner_fixture second(table, time, "d2");
    first.refresh();
    second.refresh();
    using coordination::resource_kind;
    declare(first.config, resource_kind::team, "t0", "{}");
    declare(first.config, resource_kind::failure_domain, "north", "{}");
    declare(first.config, resource_kind::host, "w0",
            R"({"address":"10.0.0.1:80","worker":"w0",)"
            R"("failure_domain":"north","millicpus":4000,"memory_mb":8000})");
    // The planner accepts reports on a host only from the daemon that the
    // host's holder row names.
    table.commit(
        {"holder",
         {{coordination::holder_key("w0"), 0}},
         {{coordination::holder_key("w0"),
           coordination::to_row(coordination::holder_record{"owner", 1})}},
         {}});
    const wire::task_events open{
        {}, {{"w0", "lease", true, false, true, "owner#1"}}};
    submit(table, "t0-j0");
    // Each considers the other failed, so both acquire leadership in turn.
    for (auto* it : {&first, &second})
    {
        it->refresh();
        cr_assert(it->leadership.tick() && it->leadership.is_held());
        it->planner.step();
    }
    second.refresh();
    cr_assert(second.planner.queue_reports(open).has_value());
    second.planner.step();
    cr_assert_eq(count_rows(table, "task/"), 1);
    const auto placed = table.read(coordination::task_key({"t0-j0", 0}));
    first.refresh();
    cr_assert(first.leadership.tick() && first.leadership.is_held());
    first.planner.step();
    first.planner.queue_reports(open);
    first.planner.step();
    time.advance(base::milliseconds{2000});
    first.refresh();
    first.planner.step();
    const auto now = table.read(coordination::task_key({"t0-j0", 0}));
    const auto attempt = [](const ports::row& row)
    {
        return coordination::parse_task(row.value).value().attempt;
    };
    cr_expect_eq(attempt(now), attempt(placed));
}
