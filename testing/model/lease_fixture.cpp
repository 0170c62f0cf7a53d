#include "testing/model/lease_fixture.hpp"

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr base::milliseconds time_step{200};

std::nullopt_t no_answer()
{
    return base::fail(base::error_kind::timeout, "the worker does not answer",
                      "retry");
}

coordination::member_record member_named(const std::string& name)
{
    coordination::member_record out;
    out.name = name;
    return out;
}

} // namespace

bool recording_workers::answers(const ports::worker_address& worker) const
{
    return answering.count(wire::to_string(worker.where)) > 0;
}

std::optional<ports::lease_state>
recording_workers::open(const ports::worker_address& worker, const std::string&,
                        std::chrono::milliseconds)
{
    if (!answers(worker))
        return no_answer();
    const auto lease = base::unique_id();
    opened.push_back({wire::to_string(worker.where), lease});
    return ports::lease_state{lease, {}, {}, {}};
}

std::optional<ports::lease_state>
recording_workers::renew(const ports::worker_address& worker,
                         const std::string& lease, std::chrono::milliseconds,
                         const std::vector<std::string>&)
{
    if (!answers(worker))
        return no_answer();
    const auto address = wire::to_string(worker.where);
    for (const auto& it : opened)
        if (it.address == address && it.lease == lease)
        {
            renewed.push_back({address, lease});
            return ports::lease_state{lease, {}, {}, {}};
        }
    return base::fail(base::error_kind::conflict, "the lease is closed",
                      "open a lease");
}

std::optional<ports::task_orders_result>
recording_workers::order(const ports::worker_address&, const std::string&,
                         const ports::task_orders&)
{
    return no_answer();
}

wire::forward_answer recording_workers::request(const ports::worker_address&,
                                                const ports::target_request&)
{
    return {wire::outcome::unknown, 0, {}, {}, {}};
}

std::optional<ports::attempt_answer>
recording_workers::attempt(const ports::worker_address& worker,
                           const std::string&, const std::string&)
{
    if (!answers(worker))
        return no_answer();
    return ports::attempt_answer{};
}

lease_fixture::lease_fixture(const std::vector<std::string>& hosts)
    : registry(table, clock, member_named("a"),
               coordination::timing_settings{}.authority()),
      view(registry,
           [this](std::string_view name)
           {
               return dead.count(name) > 0;
           }),
      config(table, clock, coordination::timing_settings{}.freshness, freeze),
      leases(
          {table, ports::workers(workers), registry, view, config, freeze,
           clock, events,
           [](const std::function<void()>& call)
           {
               call();
           }},
          coordination::timing_settings{},
          [this](wire::task_events it)
          {
              reports.insert(reports.end(), it.hosts.begin(), it.hosts.end());
          },
          [](const std::string&, const std::vector<std::string>&) {})
{
    base::set_up_log("model", base::log_level::error);
    workers.answering = {first_address, second_address};
    registry.register_self();
    registry.refresh();
    for (const auto& it : hosts)
        declare(it, first_address);
}

void lease_fixture::declare(const std::string& host, const std::string& address)
{
    const auto known = config.read(coordination::resource_kind::host, host);
    coordination::change_request change;
    change.kind = coordination::resource_kind::host;
    change.name = host;
    change.expected = known ? coordination::change_precondition::version
                            : coordination::change_precondition::absent;
    change.version = known ? known->version : 0;
    change.desired = R"({"address":")" + address + R"(","worker":")" + host +
                     R"(","failure_domain":"z","millicpus":4000,)"
                     R"("memory_mb":8000,"slots":2,"connections":2})";
    config.change(change);
    config.refresh();
}

std::string lease_fixture::holder_of(const std::string& host)
{
    const auto row = table.read(coordination::holder_key(host));
    const auto holder =
        row ? coordination::parse_holder(row->value) : std::nullopt;
    return holder ? holder->daemon : std::string();
}

void lease_fixture::write(const std::string& key, const std::string& value)
{
    table.commit({base::unique_id(), {}, {{key, value}}, {}});
}

void lease_fixture::run(base::milliseconds time)
{
    for (auto passed = time_step; passed <= time; passed += time_step)
    {
        clock.advance(time_step);
        registry.renew();
        config.refresh();
        leases.tick();
    }
}

} // namespace mustardwick::testing
