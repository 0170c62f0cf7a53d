#pragma once

#include <csignal>
#include <optional>

#include <boost/asio/signal_set.hpp>

#include "mustardwick/aio/http_listener.hpp"
#include "mustardwick/aio/peer_hub.hpp"
#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/entry/configuration_fetch.hpp"
#include "mustardwick/entry/entry_node.hpp"
#include "mustardwick/entry/gateway.hpp"
#include "mustardwick/entry/leader_availability.hpp"
#include "mustardwick/entry/leader_candidate.hpp"
#include "mustardwick/entry/processor_probe.hpp"
#include "mustardwick/entry/store_reachability.hpp"

namespace mustardwick::entry
{

namespace asio = boost::asio;
using wire::message_type;

/// @brief The current leader, as far as this daemon knows.
struct leader_address
{
    std::int64_t epoch = 0;
    std::string name;
    wire::endpoint endpoint;
};

struct entry_node::impl : std::enable_shared_from_this<impl>
{
    explicit impl(settings values)
        : options(std::move(values)), store(io, options.store, metrics),
          advice(io, options.advisor), signals(io, SIGTERM, SIGINT, SIGHUP),
          startup_timer(io), shutdown_timer(io)
    {
        self_record = {options.name, options.peers.address, options.peers.port,
                       options.resources};
    }

    bool start();
    void read_secret();
    void start_peers(const std::string& secret);
    void write_member_row();
    void wait_for_signal();
    void begin_shutdown();
    void poll_shutdown(base::steady_time earliest, base::steady_time latest);
    void acquired(head_record head, std::int64_t version);
    void leadership_lost(std::optional<member_record> successor);
    void update_leader(std::int64_t epoch, const std::string& name,
                       const wire::endpoint& endpoint);
    void probe_store();
    void on_peer_message(message_type type, const std::string& payload,
                         const aio::peer_responder& respond);
    void on_heartbeat(const std::string& payload,
                      const aio::peer_responder& respond);
    void on_advice(const std::string& payload,
                   const aio::peer_responder& respond);
    struct leader_attempt;
    void call_leader(message_type type, const std::string& payload,
                     base::steady_time deadline,
                     std::function<void(leader_result)> done);
    void try_leader(const std::shared_ptr<leader_attempt>& call);
    void try_own_leader(const std::shared_ptr<leader_attempt>& call,
                        milliseconds timeout);
    void leader_answered(const std::shared_ptr<leader_attempt>& call,
                         std::int64_t epoch, const aio::peer_result& result);
    void retry_leader(const std::shared_ptr<leader_attempt>& call,
                      std::string_view outcome);
    void answered(leader_attempt& call, const job_reply& reply);
    void give_up(const leader_attempt& call);
    void configuration_changed(const operator_state& state);
    bool is_ready() const;
    /// @brief Returns when a request with the given deadline has to be answered
    /// at the latest; a shutdown leaves less time than its caller allows.
    base::steady_time answer_time(base::steady_time deadline) const;

    asio::io_context io{1};
    base::system_clock clock;
    base::system_suspend_clock suspensions;
    base::metrics metrics;
    settings options;
    aio::connection_guard guard{clock, metrics, options.connections.max_bytes};
    platform::store_client store;
    platform::advice_client advice;
    asio::signal_set signals;
    asio::steady_timer startup_timer;
    asio::steady_timer shutdown_timer;
    member_record self_record;
    std::shared_ptr<config_watch> config;
    std::unique_ptr<aio::peer_hub> peers;
    /// Set with `peers`.
    std::shared_ptr<configuration_fetch<aio::peer_hub>> fetch;
    std::shared_ptr<leader_candidate> candidate;
    std::unique_ptr<gateway> caller_gateway;
    std::unique_ptr<aio::http_listener> callers;
    std::unique_ptr<aio::http_listener> readiness;
    std::unique_ptr<aio::http_listener> metrics_page;
    std::shared_ptr<cell_leader> leader;
    leader_address known_leader;
    /// Leadership that a leader handed over to this daemon last.
    std::optional<hand_over> accepted_offer;
    processor_probe processor{clock};
    leader_availability availability;
    std::function<std::optional<settings>()> reload;
    bool probing_store = false;
    store_reachability store_answers;
    bool leaving = false;
    /// Open requests are answered by this time; set by a shutdown.
    std::optional<base::steady_time> last_answer;
};

} // namespace mustardwick::entry
