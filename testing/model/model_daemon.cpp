#include "testing/model/model_daemon.hpp"

#include <utility>

#include "testing/model/model_cell.hpp"

namespace mustardwick::testing
{

using std::chrono::milliseconds;

namespace
{

constexpr int ticks_per_second = 5;
/// Worker leases that the escrow waits for before it reclaims a failed
/// holder's part.
constexpr int lease_margin = 3;
constexpr milliseconds group_interval{10};

} // namespace

model_daemon::model_daemon(model_cell& cell, std::size_t number)
    : index(number), name(cell.daemon_name(number)), cell_(cell),
      service_(cell.access(number), cell.options().kind), table_(service_),
      worker_calls_(cell, number), events_(cell.clock_of(number), name, 16),
      registry(table_, cell.clock_of(number), self_record(),
               cell.timing().authority()),
      view(registry,
           [this](std::string_view peer)
           {
               return cell_.considers_failed(index, peer);
           }),
      freeze(cell.clock_of(number)),
      config(table_, cell.clock_of(number),
             cell.options().kind == defect::stale_configuration
                 ? milliseconds{3'600'000}
                 : cell.timing().freshness,
             freeze),
      leadership(table_, registry, view),
      writes(table_, group_interval, metrics_), claims(table_, writes),
      holders(registry, view, freeze, cell.clock_of(number),
              cell.timing().authority()),
      escrow(escrow_links(), cell.timing().authority() +
                                 lease_margin * cell.timing().worker_lease +
                                 cell.timing().max_request_time),
      reports(
          [this](const wire::task_events& it)
          {
              return deliver_reports(it);
          },
          [this](const std::vector<wire::recorded_attempt>& it)
          {
              leases.acknowledge(it);
          }),
      leases(
          {table_, ports::workers(worker_calls_), registry, view, config,
           freeze, cell.clock_of(number), events_,
           [this](std::function<void()> call)
           {
               calls_.push_back(std::move(call));
           }},
          cell.timing(),
          [this](wire::task_events it)
          {
              reports.add(
                  reports_with_defect(std::move(it), cell_.options().kind));
          },
          [this](const std::string& host,
                 const std::vector<std::string>& attempts)
          {
              owner.adopt(host, attempts);
          }),
      owner({leases, ports::workers(worker_calls_), config, escrow, claims,
             cell.clock_of(number), events_, metrics_, name},
            cell.timing().max_request_time),
      orders(leases, ports::workers(worker_calls_), config, events_),
      planner({table_, leadership, config, cell.clock_of(number), events_,
               metrics_,
               [this](const wire::deliver& it)
               {
                   return deliver(it);
               },
               [this](std::function<void()> call)
               {
                   calls_.push_back(std::move(call));
               }}),
      confirmation(config, registry, freeze, cell.clock_of(number),
                   cell.timing().freshness,
                   [this](const std::vector<std::string>& peers,
                          const wire::freshness_query& query)
                   {
                       return query_freshness(peers, query);
                   }),
      keys(config, {}), jobs(table_, writes,
                             [this]
                             {
                                 planner.notify_inbox();
                             })
{
    config.guard_changes(
        [this]
        {
            return registry.own_row();
        });
    leases.on_release(
        [this](const std::string& host)
        {
            reports.forget(host);
        });
    registry.on_registration(
        [this](std::uint64_t)
        {
            leases.drop_all();
        });
}

coordination::member_record model_daemon::self_record() const
{
    coordination::member_record out;
    out.name = name;
    out.failure_domain = cell_.domain_of(index);
    return out;
}

coordination::escrow_links model_daemon::escrow_links()
{
    return {table_,
            config,
            cell_.clock_of(index),
            holders,
            [this]
            {
                return view.live_members().size();
            },
            [this](const std::string& peer, const std::string& team,
                   std::int64_t amount)
            {
                return request_escrow_transfer(peer, team, amount);
            }};
}

bool model_daemon::start()
{
    if (!registry.register_self())
        return false;
    registry.refresh();
    config.refresh();
    freeze.freeze_until(cell_.clock_of(index).now() + cell_.timing().freshness);
    started_ = true;
    return true;
}

std::optional<wire::deliver_answer>
model_daemon::deliver(const wire::deliver& value)
{
    return cell_.call<wire::deliver_answer>(index, view.assigned_to(value.host),
                                            [&value](model_daemon& it)
                                            {
                                                return it.orders.execute(value);
                                            });
}

std::optional<wire::task_events_answer>
model_daemon::deliver_reports(const wire::task_events& value)
{
    return cell_.call<wire::task_events_answer>(
        index, leadership.holder(),
        [&value](model_daemon& it) -> std::optional<wire::task_events_answer>
        {
            if (!it.planner.queue_reports(value))
                return std::nullopt;
            it.cell_.step_planner(it);
            return it.planner.recorded_attempts(value);
        });
}

std::vector<std::optional<wire::freshness_answer>>
model_daemon::query_freshness(const std::vector<std::string>& peers,
                              const wire::freshness_query& query)
{
    std::vector<std::optional<wire::freshness_answer>> out;
    out.reserve(peers.size());
    for (const auto& peer : peers)
        out.push_back(cell_.call<wire::freshness_answer>(
            index, peer,
            [&query](model_daemon& it)
            {
                return std::optional(it.confirmation.answer(query));
            }));
    return out;
}

std::optional<std::int64_t> model_daemon::request_escrow_transfer(
    const std::string& peer, const std::string& team, std::int64_t amount)
{
    const auto to = coordination::daemon_of(peer);
    const auto receiver = holders.self();
    return cell_.call<std::int64_t>(
        index, to,
        [&](model_daemon& it)
        {
            return std::optional(it.escrow.transfer(team, receiver, amount));
        });
}

wire::forward_answer model_daemon::serve(const wire::forward_request& call)
{
    return owner.serve(call);
}

std::optional<wire::forward_answer>
model_daemon::resolve(const std::string& key)
{
    const auto stored = claims.read(key);
    if (!stored)
        return std::nullopt;
    const auto& claim = stored->record;
    if (claim.state == coordination::claim_state::done)
        return wire::forward_answer{
            wire::outcome::done, 200, claim.body, {}, {}};
    if (claim.state == coordination::claim_state::not_run)
        return coordination::refused_answer("not run", "send it again");
    auto answer = cell_.call<wire::forward_answer>(
        index, view.assigned_to(claim.host),
        [&claim](model_daemon& it)
        {
            return std::optional(it.owner.resolve(claim));
        });
    if (!answer || answer->result == wire::outcome::unknown)
        return answer;
    auto next = claim;
    next.state = answer->result == wire::outcome::done
                     ? coordination::claim_state::done
                     : coordination::claim_state::not_run;
    next.body = answer->body;
    claims.record_and_wait(key, next, stored->version);
    return answer;
}

void model_daemon::run_calls()
{
    // Calls may queue further calls, which run in the next round.
    for (std::size_t n = calls_.size(); n > 0 && !calls_.empty(); --n)
    {
        const auto call = std::move(calls_.front());
        calls_.pop_front();
        call();
    }
}

void model_daemon::tick_second()
{
    const bool renews = (ticks_ / ticks_per_second) % 2 == 0;
    if (renews)
        registry.renew();
    else
        registry.refresh();
    leadership.tick();
    const auto seen =
        leadership.holder() + '#' + std::to_string(leadership.epoch());
    if (std::exchange(planner_seen_, seen) != seen)
        reports.resend_hosts();
    reports.probe();
    escrow.tick();
    if (!config.refresh())
        confirmation.confirm_by_peers();
}

void model_daemon::tick()
{
    if (!started_ && !start())
        return;
    if (ticks_++ % ticks_per_second == 0)
        tick_second();
    leases.tick();
    run_calls();
    reports.step();
    cell_.step_planner(*this);
    run_calls();
}

} // namespace mustardwick::testing
