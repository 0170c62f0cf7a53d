#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "mustardwick/base/time_line.hpp"
#include "mustardwick/caller/authenticator.hpp"
#include "mustardwick/caller/job_service.hpp"
#include "mustardwick/coordination/order_service.hpp"
#include "mustardwick/coordination/peer_confirmation.hpp"
#include "mustardwick/coordination/planner.hpp"
#include "mustardwick/coordination/report_sender.hpp"
#include "mustardwick/coordination/request_owner.hpp"
#include "testing/model/model_table.hpp"
#include "testing/model/model_workers.hpp"

namespace mustardwick::testing
{

class model_cell;

/// @brief The coordination objects of one daemon, connected as in a node.
///
/// Everything runs in the calling thread; tick() replaces the daemon's threads.
class model_daemon
{
public:
    model_daemon(model_cell& cell, std::size_t index);

    /// @brief Registers the daemon; false while the table is unavailable.
    bool start();

    /// @brief Does the work of the daemon's threads for one time step.
    void tick();

    bool is_started() const
    {
        return started_;
    }

    /// @brief Serves a request as the owner of its host.
    wire::forward_answer serve(const wire::forward_request& call);

    /// @brief Resolves the outcome of a claimed request and records it unless
    /// it is unknown.
    ///
    /// Returns std::nullopt when the claim cannot be read or the owner of its
    /// host cannot be reached.
    std::optional<wire::forward_answer> resolve(const std::string& claim_key);

    const std::size_t index;
    const std::string name;

private:
    coordination::member_record self_record() const;
    coordination::escrow_links escrow_links();
    std::optional<wire::deliver_answer> deliver(const wire::deliver& orders);
    std::optional<wire::task_events_answer>
    deliver_reports(const wire::task_events& events);
    std::vector<std::optional<wire::freshness_answer>>
    query_freshness(const std::vector<std::string>& peers,
                    const wire::freshness_query& query);
    std::optional<std::int64_t> request_escrow_transfer(const std::string& peer,
                                                        const std::string& team,
                                                        std::int64_t amount);
    void run_calls();
    void tick_second();

    model_cell& cell_;
    model_table service_;
    ports::table table_;
    model_workers worker_calls_;
    base::metrics metrics_;
    base::time_line events_;
    std::deque<std::function<void()>> calls_;
    bool started_ = false;
    int ticks_ = 0;
    std::string planner_seen_;

public:
    coordination::member_registry registry;
    coordination::cluster_view view;
    coordination::change_freeze freeze;
    coordination::config_store config;
    coordination::planner_leadership leadership;
    coordination::group_commit writes;
    coordination::claim_log claims;
    coordination::escrow_holders holders;
    coordination::request_escrow escrow;
    coordination::report_sender reports;
    coordination::worker_leases leases;
    coordination::request_owner owner;
    coordination::order_service orders;
    coordination::planner planner;
    coordination::peer_confirmation confirmation;
    caller::authenticator keys;
    caller::job_service jobs;
};

} // namespace mustardwick::testing
