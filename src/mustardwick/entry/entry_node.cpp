#include "entry_node_impl.hpp"

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/jobs/fencing.hpp"
#include "mustardwick/wire/codec.hpp"
#include "platform/caller_headers.hpp"

namespace mustardwick::entry
{

namespace
{

namespace asio = boost::asio;
using base::log_event;
using base::log_level;
using std::chrono::milliseconds;
using wire::message_type;

constexpr milliseconds join_timeout{700};
constexpr milliseconds startup_retry{150};
constexpr milliseconds startup_timeout{1000};
/// The load balancer stops sending connections after two failed health checks,
/// one a second.
constexpr milliseconds balancer_delay{2300};
/// Part of the grace period reserved for closing connections.
constexpr milliseconds shutdown_reserve{1200};
constexpr milliseconds shutdown_poll{50};
/// Time before the exit by which every open request is answered.
constexpr milliseconds last_answer_margin{250};
constexpr std::size_t secret_bytes = 32;
constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int unavailable = 503;

} // namespace

bool entry_node::impl::start()
{
    config = std::make_shared<config_watch>(io, store,
                                            [this](const auto& state)
                                            {
                                                configuration_changed(state);
                                            });
    caller_gateway = std::make_unique<gateway>(
        clock, metrics, config->state(),
        [this](message_type type, const std::string& payload,
               base::steady_time deadline, auto done)
        {
            call_leader(type, payload, deadline, std::move(done));
        },
        options.name);
    callers = std::make_unique<aio::http_listener>(
        io, options.callers, platform::deadline_header, guard,
        [this](const auto& request, auto respond)
        {
            caller_gateway->handle(request, std::move(respond));
        });
    readiness = std::make_unique<aio::http_listener>(
        io, options.readiness, platform::deadline_header, guard,
        [this](const auto& request, const auto& respond)
        {
            const bool known = request.target == platform::readiness_path;
            const int status = is_ready() ? ok : unavailable;
            respond({known ? status : not_found, "{}", "application/json", {}});
        });
    metrics_page = std::make_unique<aio::http_listener>(
        io, options.metrics, platform::deadline_header, guard,
        [this](const auto&, const auto& respond)
        {
            respond({ok, metrics.render(), "text/plain; version=0.0.4", {}});
        });
    aio::listener_limits limits;
    limits.max_connections = options.connections.callers;
    callers->set_limits(limits);
    limits.max_connections = options.connections.monitoring;
    readiness->set_limits(limits);
    metrics_page->set_limits(limits);
    if (!callers->start() || !readiness->start() || !metrics_page->start())
        return false;
    config->start();
    read_secret();
    wait_for_signal();
    log_event(log_level::info, "daemon", "started",
              {{"name", options.name},
               {"failure_domain", options.failure_domain},
               {"callers", wire::to_string(options.callers)}});
    return true;
}

bool entry_node::impl::is_ready() const
{
    return config->state().configuration.has_value() && peers && !leaving;
}

void entry_node::impl::read_secret()
{
    // All daemons authenticate with one shared secret; the first daemon creates
    // it.
    durable::transaction tx;
    const durable::row_address address{cell_table, plan_partition, secret_key};
    tx.conditions.push_back({address, 0});
    const auto fresh = base::random_hex(secret_bytes);
    tx.writes.push_back({address, fresh});
    store.read(cell_table, plan_partition, secret_key, 1, startup_timeout,
               [this, tx, fresh, address](durable::store_reply found)
               {
                   if (leaving)
                       return;
                   if (found.ok() && !found.rows.empty() &&
                       found.rows.front().address == address)
                       return start_peers(found.rows.front().value);
                   const auto again = [this]
                   {
                       startup_timer.expires_after(startup_retry);
                       startup_timer.async_wait(
                           [this](boost::system::error_code ec)
                           {
                               if (!ec)
                                   read_secret();
                           });
                   };
                   if (!found.ok())
                       return again();
                   // The next read shows whether this write or that of another
                   // daemon succeeded.
                   store.commit(tx, startup_timeout,
                                [again](const durable::store_reply&)
                                {
                                    again();
                                });
               });
}

void entry_node::impl::start_peers(const std::string& secret)
{
    peers = std::make_unique<aio::peer_hub>(
        io, options.peers, secret, guard,
        [this](message_type type, const std::string& payload,
               const aio::peer_responder& respond)
        {
            on_peer_message(type, payload, respond);
        },
        aio::peer_limits{.max_incoming = options.connections.peers});
    fetch = std::make_shared<configuration_fetch<aio::peer_hub>>(
        clock, *peers,
        configuration_fetch<aio::peer_hub>::events{
            [this]
            {
                return store.is_delivering();
            },
            [this](const std::string& text)
            {
                config->apply_from_peer(text);
            }});
    if (!peers->start())
    {
        log_event(log_level::error, "daemon", "peer_start_failed",
                  {{"reason", base::last_error().text()}});
        io.stop();
        return;
    }
    candidate = std::make_shared<leader_candidate>(
        io, clock, store, self_record,
        leader_candidate::events{
            [this](head_record head, std::int64_t version)
            {
                acquired(std::move(head), version);
            },
            [this](const head_record& head)
            {
                const wire::endpoint where{head.address, head.port};
                update_leader(head.epoch, head.leader, where);
                peers->call(where, message_type::join_cell,
                            wire::encode(self_record), join_timeout,
                            [](const aio::peer_result&) {});
            },
            [this]
            {
                return config->state().configuration.has_value();
            }});
    candidate->start();
    write_member_row();
}

void entry_node::impl::write_member_row()
{
    durable::transaction tx;
    tx.writes.push_back({{cell_table, member_partition, options.name},
                         wire::encode(self_record)});
    store.commit(tx, startup_timeout,
                 [this](const durable::store_reply& reply)
                 {
                     if (reply.ok() || leaving)
                         return;
                     startup_timer.expires_after(startup_retry);
                     startup_timer.async_wait(
                         [this](boost::system::error_code ec)
                         {
                             if (!ec)
                                 write_member_row();
                         });
                 });
}

void entry_node::impl::configuration_changed(const operator_state& state)
{
    if (state.configuration)
    {
        const auto& limits = state.configuration->limits;
        aio::listener_limits out;
        out.max_connections = options.connections.callers;
        out.max_header_bytes = std::uint32_t(limits.max_header_bytes);
        out.max_body_bytes = std::uint64_t(limits.max_body_bytes);
        out.header_timeout = milliseconds(limits.header_timeout_ms);
        out.idle_timeout = milliseconds(limits.idle_timeout_ms);
        callers->set_limits(out);
    }
    if (leader)
        leader->configure(state);
}

void entry_node::impl::acquired(head_record head, std::int64_t version)
{
    update_leader(head.epoch, head.leader, options.peers);
    const bool was_offered =
        accepted_offer && jobs::next_epoch(accepted_offer->epoch) == head.epoch;
    leader = std::make_shared<cell_leader>(
        cell_leader::environment{
            io, clock, suspensions, options, store, *peers, advice, metrics,
            processor, was_offered ? accepted_offer->recent_hand_overs : 0},
        std::move(head), version,
        [this](std::optional<member_record> successor)
        {
            leadership_lost(std::move(successor));
        });
    leader->start(config->state());
}

void entry_node::impl::leadership_lost(std::optional<member_record> successor)
{
    const hand_over offer{leader->epoch(), leader->released_version(),
                          leader->recent_hand_overs()};
    leader.reset();
    candidate->set_paused(leaving);
    if (successor)
        peers->call({successor->address, successor->port},
                    message_type::hand_over, wire::encode(offer), join_timeout,
                    [](const aio::peer_result&) {});
}

void entry_node::impl::update_leader(std::int64_t epoch,
                                     const std::string& name,
                                     const wire::endpoint& endpoint)
{
    if (epoch < known_leader.epoch ||
        (epoch == known_leader.epoch && name == known_leader.name))
        return;
    log_event(log_level::info, "daemon", "leader_changed",
              {{"leader", name}, {"epoch", epoch}});
    known_leader = {epoch, name, endpoint};
}

void entry_node::impl::wait_for_signal()
{
    signals.async_wait(
        [this](boost::system::error_code ec, int number)
        {
            if (ec)
                return;
            if (number != SIGHUP)
                return begin_shutdown();
            const auto next = reload();
            log_event(next ? log_level::info : log_level::error, "daemon",
                      "reloaded", {{"valid", int(next.has_value())}});
            if (next)
                base::set_up_log(next->name, next->log_level);
            wait_for_signal();
        });
}

void entry_node::impl::begin_shutdown()
{
    log_event(log_level::info, "daemon", "stopping",
              {{"open_requests", callers->open_requests()}});
    leaving = true;
    callers->begin_drain();
    if (candidate && !leader)
        candidate->set_paused(true);
    if (leader)
        leader->release();
    const auto now = clock.now();
    const auto latest = now + options.limits.grace - shutdown_reserve;
    last_answer = latest - last_answer_margin;
    poll_shutdown(std::min(now + balancer_delay, latest), latest);
}

void entry_node::impl::poll_shutdown(base::steady_time earliest,
                                     base::steady_time latest)
{
    const auto now = clock.now();
    if (now >= earliest)
        callers->close_idle();
    const bool idle = callers->is_closed() && !leader;
    if ((now >= earliest && idle) || now >= latest)
    {
        log_event(log_level::info, "daemon", "stopped",
                  {{"open_requests", callers->open_requests()}});
        if (leader)
            leader->stop();
        return io.stop();
    }
    shutdown_timer.expires_after(shutdown_poll);
    shutdown_timer.async_wait(
        [this, earliest, latest](boost::system::error_code ec)
        {
            if (!ec)
                poll_shutdown(earliest, latest);
        });
}

entry_node::entry_node(settings options)
    : impl_(std::make_shared<impl>(std::move(options)))
{
}

entry_node::~entry_node() = default;

bool entry_node::run(const std::function<std::optional<settings>()>& reload)
{
    impl_->reload = reload;
    if (!impl_->start())
    {
        log_event(log_level::error, "daemon", "start_failed",
                  {{"reason", base::last_error().text()}});
        return false;
    }
    impl_->io.run();
    return true;
}

} // namespace mustardwick::entry
