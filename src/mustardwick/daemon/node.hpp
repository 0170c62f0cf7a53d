#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/thread_pool.hpp>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/base/time_line.hpp"
#include "mustardwick/caller/authenticator.hpp"
#include "mustardwick/caller/caller_api.hpp"
#include "mustardwick/coordination/membership_service.hpp"
#include "mustardwick/coordination/order_service.hpp"
#include "mustardwick/coordination/peer_confirmation.hpp"
#include "mustardwick/coordination/planner.hpp"
#include "mustardwick/coordination/report_sender.hpp"
#include "mustardwick/coordination/request_owner.hpp"
#include "mustardwick/coordination/settings.hpp"
#include "mustardwick/http/server.hpp"
#include "mustardwick/operators/operator_api.hpp"
#include "mustardwick/ports/http_table.hpp"
#include "mustardwick/wire/rpc.hpp"

namespace mustardwick::daemon
{

/// @brief Owns all components of one daemon and the threads that run them.
class node
{
public:
    explicit node(coordination::settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Registers the daemon and starts all components. Returns false,
    /// with last_error(), when a component does not start, or when the daemon
    /// is stopped before it could register.
    bool start();

    /// @brief Releases leadership and hosts, finishes running requests and
    /// stops all components.
    ///
    /// Returns false when requests were still running after the grace period.
    bool stop();

private:
    http::server_options http_options() const;
    wire::rpc_server_options rpc_options() const;
    coordination::member_record self_record() const;
    void wire_links();

    http::response handle_http(const http::request& call);
    http::response handle_operator(const http::request& call);
    http::response ready() const;
    http::response show_time_line(const http::request& call) const;
    http::response show_stats() const;
    web::json::value observe(coordination::resource_kind kind,
                             const std::string& name) const;

    std::optional<std::string> handle_rpc(wire::message_type type,
                                          const std::string& payload);
    wire::forward_answer handle_forward(const wire::forward_request& call);

    std::optional<wire::deliver_answer> deliver(const wire::deliver& orders);
    std::optional<wire::task_events_answer>
    deliver_reports(const wire::task_events& events);
    void notify_planner_inbox();
    std::optional<std::int64_t> request_escrow_transfer(const std::string& peer,
                                                        const std::string& team,
                                                        std::int64_t amount);
    std::vector<std::optional<wire::freshness_answer>>
    query_freshness(const std::vector<std::string>& peers,
                    const wire::freshness_query& query);

    void run_member_loop();
    void run_config_loop();
    void run_lease_loop();
    void refresh_members(int round);
    void update_planner_leadership(int round);
    void remove_failed_members();
    void refresh_leaving_hosts();
    void announce_membership();
    void mark_members_changed();
    void update_peers();
    void resend_hosts_to_new_planner();
    bool wait_for_config();
    bool wait(std::chrono::milliseconds time);
    bool is_leaving(const std::string& host) const;

    std::function<void(std::function<void()>)> poster();

    coordination::settings settings_;
    boost::asio::thread_pool calls_;
    base::system_clock clock_;
    base::metrics metrics_;
    base::time_line events_;
    ports::http_table service_;
    ports::table table_;
    ports::worker_client workers_;
    coordination::member_registry registry_;
    std::unique_ptr<coordination::membership_service> membership_;
    coordination::cluster_view view_;
    coordination::change_freeze freeze_;
    coordination::config_store config_;
    coordination::planner_leadership planner_leadership_;
    wire::rpc_client peers_;
    coordination::group_commit writes_;
    coordination::claim_log claims_;
    coordination::escrow_holders escrow_holders_;
    coordination::request_escrow escrow_;
    coordination::report_sender reports_;
    coordination::worker_leases leases_;
    coordination::request_owner owner_;
    coordination::order_service orders_;
    coordination::planner planner_;
    coordination::peer_confirmation confirmation_;
    caller::authenticator keys_;
    caller::request_router router_;
    caller::claim_resolver resolver_;
    caller::job_service jobs_;
    caller::caller_api caller_api_;
    operators::operator_api operator_api_;
    wire::rpc_server rpc_;
    http::server http_;

    mutable std::mutex mutex_;
    std::condition_variable stop_signal_;
    bool stopping_ = false;
    bool members_changed_ = false;
    std::set<std::string> leaving_hosts_;
    std::string last_planner_;
    std::map<std::string, base::steady_time> removable_since_;
    std::vector<std::thread> threads_;
};

} // namespace mustardwick::daemon
