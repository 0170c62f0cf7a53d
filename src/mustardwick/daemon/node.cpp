#include "mustardwick/daemon/node.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"

namespace mustardwick::daemon
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds lease_check_interval{100};
/// Threads for blocking calls to workers and shard owners.
constexpr std::size_t call_threads = 24;
constexpr milliseconds stop_poll_interval{10};
constexpr milliseconds announce_timeout{500};
/// Intervals of the periodic work of the member loop, in rounds of the loop.
constexpr int member_renewal_rounds = 3;
constexpr int member_refresh_rounds = 15;
constexpr int leadership_refresh_rounds = 5;
constexpr int host_list_rounds = 3;
constexpr int probe_rounds = 5;
/// Delay before the row of a failed member is deleted. A replaced host gets a
/// new name, so without deletion its old row would remain forever.
constexpr std::chrono::seconds member_removal_delay{60};
/// Number of worker leases in the time after which the escrow part of a
/// terminated daemon is reclaimed. More than one, because the clocks of hosts
/// may drift apart by one percent over a lease.
constexpr int lease_margin_factor = 3;

} // namespace

node::node(coordination::settings settings)
    : settings_(std::move(settings)), calls_(call_threads),
      events_(clock_, settings_.name),
      service_(settings_.table, settings_.table_timeout), table_(service_),
      workers_(metrics_),
      registry_(table_, clock_, self_record(), settings_.timing.authority()),
      view_(registry_,
            [this](std::string_view name)
            {
                return membership_ != nullptr &&
                       membership_->peer_state(name) ==
                           wire::member_state::dead;
            }),
      freeze_(clock_),
      config_(table_, clock_, settings_.timing.freshness, freeze_),
      planner_leadership_(table_, registry_, view_),
      peers_({settings_.inner.secret}, metrics_),
      writes_(table_, settings_.timing.commit_interval, metrics_),
      claims_(table_, writes_),
      escrow_holders_(registry_, view_, freeze_, clock_,
                      settings_.timing.authority()),
      escrow_({table_, config_, clock_, escrow_holders_,
               [this]
               {
                   return view_.live_members().size();
               },
               [this](const std::string& peer, const std::string& team,
                      std::int64_t amount)
               {
                   return request_escrow_transfer(peer, team, amount);
               }},
              settings_.timing.authority() +
                  lease_margin_factor * settings_.timing.worker_lease +
                  settings_.timing.max_request_time),
      reports_(
          [this](const wire::task_events& it)
          {
              return deliver_reports(it);
          },
          [this](const std::vector<wire::recorded_attempt>& it)
          {
              leases_.acknowledge(it);
          }),
      leases_(
          {table_, ports::workers(workers_), registry_, view_, config_, freeze_,
           clock_, events_, poster()},
          settings_.timing,
          [this](wire::task_events it)
          {
              reports_.add(std::move(it));
          },
          [this](const std::string& host,
                 const std::vector<std::string>& attempts)
          {
              owner_.adopt(host, attempts);
          }),
      owner_({leases_, ports::workers(workers_), config_, escrow_, claims_,
              clock_, events_, metrics_, settings_.name},
             settings_.timing.max_request_time),
      orders_(leases_, ports::workers(workers_), config_, events_),
      planner_({table_, planner_leadership_, config_, clock_, events_, metrics_,
                [this](const wire::deliver& it)
                {
                    return deliver(it);
                },
                poster(),
                [this](const std::string& it)
                {
                    return is_leaving(it);
                }}),
      confirmation_(config_, registry_, freeze_, clock_,
                    settings_.timing.freshness,
                    [this](const std::vector<std::string>& peers,
                           const wire::freshness_query& query)
                    {
                        return query_freshness(peers, query);
                    }),
      keys_(config_, settings_.operator_key),
      router_({config_, view_, owner_, peers_, clock_, metrics_, settings_.name,
               settings_.failure_domain,
               [this](const std::string& it)
               {
                   return is_leaving(it);
               }}),
      resolver_(claims_, view_, owner_, peers_, settings_.name),
      jobs_(table_, writes_,
            [this]
            {
                notify_planner_inbox();
            }),
      caller_api_({keys_, config_, router_, resolver_, jobs_, events_, metrics_,
                   settings_.timing.max_request_time}),
      operator_api_(
          {config_, events_,
           [this](coordination::resource_kind kind, const std::string& name)
           {
               return observe(kind, name);
           }}),
      rpc_(
          rpc_options(),
          [this](wire::message_type type, const std::string& payload)
          {
              return handle_rpc(type, payload);
          },
          metrics_),
      http_(
          http_options(),
          [this](const http::request& it)
          {
              return handle_http(it);
          },
          metrics_)
{
    config_.guard_changes(
        [this]
        {
            return registry_.own_row();
        });
    leases_.on_release(
        [this](const std::string& host)
        {
            reports_.forget(host);
        });
    registry_.on_registration(
        [this](std::uint64_t)
        {
            leases_.drop_all();
        });
}

node::~node()
{
    stop();
    calls_.join();
}

std::function<void(std::function<void()>)> node::poster()
{
    return [this](std::function<void()> call)
    {
        boost::asio::post(calls_, std::move(call));
    };
}

coordination::member_record node::self_record() const
{
    coordination::member_record out;
    out.name = settings_.name;
    out.failure_domain = settings_.failure_domain;
    out.tcp = settings_.inner.advertise_tcp;
    out.udp = settings_.inner.advertise_udp;
    return out;
}

http::server_options node::http_options() const
{
    http::server_options out;
    out.listen = settings_.http.listen;
    out.tls = {settings_.http.certificate, settings_.http.private_key};
    out.handler_threads = settings_.http.handler_threads;
    out.max_waiting_requests = settings_.http.max_waiting_requests;
    out.max_body_bytes = settings_.http.max_body_bytes;
    out.read_timeout = settings_.http.read_timeout;
    return out;
}

wire::rpc_server_options node::rpc_options() const
{
    wire::rpc_server_options out;
    out.listen = settings_.inner.listen;
    out.secret = settings_.inner.secret;
    out.handler_threads = settings_.http.handler_threads;
    return out;
}

bool node::start()
{
    while (!registry_.register_self())
    {
        log_event(log_level::warning, "daemon", "registration_failed",
                  {{"reason", base::last_error().text()}});
        if (wait(settings_.timing.table_poll))
            return false;
    }
    registry_.refresh();
    config_.refresh();
    // Before a restart, this daemon may have agreed to a change freeze that it
    // no longer knows of; a freeze lasts for timing.freshness.
    freeze_.freeze_until(clock_.now() + settings_.timing.freshness);
    membership_ = std::make_unique<coordination::membership_service>(
        coordination::membership_options{settings_.inner.udp,
                                         settings_.inner.secret, settings_.name,
                                         registry_.incarnation()},
        clock_, metrics_);
    if (!membership_->start())
        return false;
    update_peers();
    if (!rpc_.start() || !http_.start())
        return false;
    announce_membership();
    writes_.start();
    reports_.start();
    planner_.start();
    threads_.emplace_back(
        [this]
        {
            run_member_loop();
        });
    threads_.emplace_back(
        [this]
        {
            run_config_loop();
        });
    threads_.emplace_back(
        [this]
        {
            run_lease_loop();
        });
    log_event(log_level::info, "daemon", "started",
              {{"http_port", http_.port()}, {"inner_port", rpc_.port()}});
    return true;
}

bool node::wait(milliseconds time)
{
    std::unique_lock lock(mutex_);
    return stop_signal_.wait_for(lock, time,
                                 [this]
                                 {
                                     return stopping_;
                                 });
}

void node::update_peers()
{
    std::vector<coordination::peer> peers;
    for (const auto& it : registry_.members())
        peers.push_back({it.record.name, it.record.incarnation, it.record.udp});
    membership_->set_peers(peers);
}

/// Sends the state of all hosts held here again when the planner or its epoch
/// has changed.
void node::resend_hosts_to_new_planner()
{
    const auto current_planner = planner_leadership_.holder() + '#' +
                                 std::to_string(planner_leadership_.epoch());
    if (std::exchange(last_planner_, current_planner) != current_planner)
        reports_.resend_hosts();
}

/// Reads the member rows when a peer has announced a change, and otherwise
/// every member_refresh_rounds.
void node::refresh_members(int round)
{
    bool announced = false;
    {
        const std::scoped_lock lock(mutex_);
        announced = std::exchange(members_changed_, false);
    }
    if (announced || round % member_refresh_rounds == 0)
        registry_.refresh();
}

/// Reads the planner leadership row in every round while this daemon may have
/// to acquire leadership or no live daemon holds it, and otherwise every
/// leadership_refresh_rounds.
void node::update_planner_leadership(int round)
{
    const auto holder = planner_leadership_.holder();
    const bool may_take =
        !planner_leadership_.is_held() &&
        view_.assigned_to(coordination::planner_key) == settings_.name;
    const bool lost = holder.empty() || !view_.is_live(holder);
    if (may_take || lost || round % leadership_refresh_rounds == 0)
        planner_leadership_.tick();
    resend_hosts_to_new_planner();
}

/// Deletes the rows of members that have been dead, and fenced or leaving, for
/// member_removal_delay. A member without a row is no longer asked for change
/// freezes.
void node::remove_failed_members()
{
    if (!planner_leadership_.is_held())
        return;
    const auto now = clock_.now();
    for (const auto& it : registry_.members())
    {
        const auto& name = it.record.name;
        const bool removable =
            (it.record.fenced || it.record.leaving) &&
            membership_->peer_state(name) == wire::member_state::dead;
        if (!removable)
            removable_since_.erase(name);
        else if (now - removable_since_.try_emplace(name, now).first->second >=
                 member_removal_delay)
            registry_.remove(it);
    }
}

void node::refresh_leaving_hosts()
{
    const auto leaving = service_.list_leaving_hosts();
    if (!leaving)
        return;
    const std::scoped_lock lock(mutex_);
    leaving_hosts_ = *leaving;
}

/// Each round takes one table poll interval. Most rows change rarely, and
/// reading all of them in every round would exceed the byte budget for control
/// traffic.
void node::run_member_loop()
{
    int round = 0;
    do
    {
        if (round % member_renewal_rounds == 0)
            registry_.renew();
        refresh_members(round);
        update_peers();
        update_planner_leadership(round);
        escrow_.tick();
        remove_failed_members();
        if (round % probe_rounds == 0)
            reports_.probe();
        if (round % host_list_rounds == 0)
            refresh_leaving_hosts();
        ++round;
    } while (!wait(settings_.timing.table_poll));
}

void node::announce_membership()
{
    for (const auto& it : registry_.members())
    {
        if (it.record.name == settings_.name || it.record.fenced)
            continue;
        const auto peer = it.record.tcp;
        boost::asio::post(calls_,
                          [this, peer]
                          {
                              peers_.call(peer,
                                          wire::message_type::members_changed,
                                          wire::encode(wire::empty{}),
                                          announce_timeout, true);
                          });
    }
}

void node::mark_members_changed()
{
    const std::scoped_lock lock(mutex_);
    members_changed_ = true;
}

void node::run_config_loop()
{
    do
    {
        if (!config_.refresh())
            confirmation_.confirm_by_peers();
        membership_->set_config_version(config_.current()->version);
        metrics_.set("mustardwick_config_version",
                     static_cast<double>(config_.current()->version));
        metrics_.set("mustardwick_config_fresh", config_.is_fresh() ? 1 : 0);
    } while (!wait_for_config());
}

/// Waits for the next poll or until a peer has a newer configuration. Returns
/// true when the daemon stops.
bool node::wait_for_config()
{
    const auto deadline = clock_.now() + settings_.timing.table_poll;
    while (clock_.now() < deadline)
    {
        if (wait(lease_check_interval))
            return true;
        const auto version = config_.current()->version;
        if (membership_->highest_config_version() > version)
            return false;
    }
    return false;
}

void node::run_lease_loop()
{
    do
    {
        leases_.tick();
        metrics_.set("mustardwick_hosts_held",
                     static_cast<double>(leases_.held().size()));
        metrics_.set("mustardwick_worker_bytes",
                     static_cast<double>(workers_.control_bytes()));
        metrics_.set("mustardwick_table_bytes",
                     static_cast<double>(service_.bytes_transferred()));
    } while (!wait(lease_check_interval));
}

bool node::is_leaving(const std::string& host) const
{
    const std::scoped_lock lock(mutex_);
    return leaving_hosts_.count(host) > 0;
}

bool node::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        if (std::exchange(stopping_, true))
            return true;
    }
    const auto deadline = clock_.now() + settings_.timing.stop_grace;
    caller_api_.drain();
    stop_signal_.notify_all();
    for (auto& it : threads_)
        it.join();
    if (threads_.empty())
        return true;
    registry_.leave();
    announce_membership();
    planner_leadership_.release();
    planner_.stop();
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - clock_.now());
    const bool answered = http_.stop(std::max(left, milliseconds{0}));
    while (owner_.running() > 0 && clock_.now() < deadline)
        std::this_thread::sleep_for(stop_poll_interval);
    const auto hosts = leases_.release_all();
    escrow_.release_all();
    reports_.stop();
    rpc_.stop();
    writes_.stop();
    membership_->stop();
    std::string names;
    for (const auto& it : hosts)
        names += (names.empty() ? "" : ",") + it;
    log_event(log_level::info, "daemon", "stopped",
              {{"hosts_handed_over", hosts.size()},
               {"hosts", names},
               {"all_answered", answered ? "true" : "false"}});
    return answered && owner_.running() == 0;
}

} // namespace mustardwick::daemon
