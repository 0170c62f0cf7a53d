#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "mustardwick/aio/peer_hub.hpp"
#include "mustardwick/entry/advice_pool.hpp"
#include "mustardwick/entry/config_watch.hpp"
#include "mustardwick/entry/job_rows.hpp"
#include "mustardwick/entry/leader_authority.hpp"
#include "mustardwick/entry/member_heartbeats.hpp"
#include "mustardwick/entry/open_calls.hpp"
#include "mustardwick/entry/processor_probe.hpp"
#include "mustardwick/entry/settings.hpp"
#include "mustardwick/entry/state_log.hpp"
#include "mustardwick/entry/worker_links.hpp"

namespace mustardwick::entry
{

/// @brief The leader's work: loads the durable state, plans, and keeps workers,
/// members and the store synchronized.
class cell_leader : public std::enable_shared_from_this<cell_leader>
{
public:
    struct environment
    {
        boost::asio::io_context& io;
        const base::clock& clock;
        const base::suspend_clock& suspensions;
        const settings& options;
        platform::store_client& store;
        aio::peer_hub& peers;
        platform::advice_client& advice;
        base::metrics& metrics;
        processor_probe& processor;
        /// Hand-overs in a row to a more suitable member that led to this term.
        int recent_hand_overs = 0;
    };
    /// Called once when leadership ends; receives the member that should take
    /// over, if there is one.
    using leadership_lost_handler =
        std::function<void(std::optional<member_record>)>;

    cell_leader(environment env, head_record head, std::int64_t head_version,
                leadership_lost_handler lost);

    void start(const operator_state& state);
    /// @brief Stops all activity without calling the leadership_lost_handler,
    /// and answers open calls as unknown.
    void stop();
    void configure(const operator_state& state);
    void member_joined(const member_record& record);

    /// @brief Releases leadership in the store, then calls the
    /// leadership_lost_handler.
    void release();

    /// @brief Ends leadership, because another daemon has acquired it.
    void superseded();

    /// @brief Handles a message about jobs; returns false, without a response,
    /// when this leader cannot answer it: the state is not loaded yet,
    /// leadership is being released or authority has expired, unless an ended
    /// job is queried, or the payload is malformed. The response is empty when
    /// leadership ends before the outcome is known.
    bool handle(wire::message_type type, const std::string& payload,
                const aio::peer_responder& respond);

    std::int64_t epoch() const
    {
        return head_.epoch;
    }
    /// @brief Returns the version of the head row that marks leadership as
    /// released; 0 unless the last transaction released it.
    std::int64_t released_version() const
    {
        return released_ ? log_->head_version() : 0;
    }
    /// @brief Returns the hand-overs in a row to a more suitable member that
    /// the successor continues with; 0 when leadership ended otherwise.
    int recent_hand_overs() const
    {
        return successor_ ? review_.next_hand_overs(env_.clock.now()) : 0;
    }

private:
    void load_table(const std::string& table);
    void load_row(const durable::row& row);
    void load_members();
    /// @brief Reads the rows that the leader can do without.
    void load_hints();
    void load_lapsing_leases(const durable::row& row);
    void load_settled_orders(const durable::row& row);
    /// @brief Adds the learned speeds to a transaction if they are due.
    void add_speeds(durable::transaction& changes);
    /// @brief Adds the lapsing leases to a transaction if they have changed;
    /// returns whether it did.
    bool add_leases(durable::transaction& changes);
    /// @brief Adds to a transaction which orders are settled, if it is due.
    void add_settled_orders(durable::transaction& changes);
    void loaded();
    void read_registry();
    void registry_read(std::vector<durable::row> rows, std::int64_t version);
    void follow_registry();
    void follow_registry_later();
    void apply_registry(const std::vector<durable::row>& rows, bool full_read);
    void schedule_work();
    void work();
    void pump_commits();
    void committed(log_result result);
    void check_leadership();
    /// @brief Hands over when a member is more suitable to lead.
    void review_leadership();
    /// @brief Measures how well this host leads now.
    double own_suitability(const policy::leader_needs& needs);
    void report_status();
    void end_activity();
    void step_down(std::string_view reason,
                   std::optional<member_record> successor);
    bool has_authority();
    bool submit(const std::string& payload, const aio::peer_responder& respond);
    /// @brief Answers a query of an ended job, which needs no authority.
    bool query_ended(const std::string& payload,
                     const aio::peer_responder& respond) const;
    void query(const std::string& id, const aio::peer_responder& respond,
               bool is_confirmed);
    void cancel(const job_query& call, const aio::peer_responder& respond);
    /// @brief Returns the reply to a call that the store does not confirm.
    job_reply unconfirmed_reply() const;
    /// @brief Calls a function once the store has confirmed that this daemon
    /// leads now. While the store fails, the caller is told to retry instead.
    void when_confirmed(const aio::peer_responder& respond,
                        std::function<void()> then);
    void refuse_unconfirmed();
    void run_confirmed();
    /// @brief Logs calls that have waited for long or were not confirmed.
    void report_waiting_calls();
    /// @brief Answers all open calls as unknown and returns their number.
    std::size_t abandon_calls(std::string_view reason);
    /// Returns how long rejected callers should wait before they retry;
    /// std::nullopt while the store is considered available.
    std::optional<std::chrono::milliseconds> store_retry_after() const;

    environment env_;
    head_record head_;
    leadership_lost_handler on_leadership_lost_;
    std::shared_ptr<state_log> log_;
    std::shared_ptr<member_heartbeats> heartbeats_;
    std::shared_ptr<advice_pool> advice_;
    std::shared_ptr<worker_links> workers_;
    leader_authority authority_;
    policy::leader_review review_;
    open_calls calls_;
    dispatch::planner planner_;
    boost::asio::steady_timer work_timer_;
    boost::asio::steady_timer registry_timer_;
    boost::asio::steady_timer leadership_timer_;
    base::steady_time next_status_;
    base::steady_time next_check_;
    base::steady_time next_speeds_;
    base::steady_time next_leases_;
    base::steady_time next_settled_orders_;
    /// Delay of the last leadership check, which a busy or slow processor
    /// causes.
    std::chrono::milliseconds lag_{0};
    double suitability_ = 0;
    /// A function that needs a confirmation later than `since`.
    struct unconfirmed_call
    {
        base::steady_time since;
        aio::peer_responder respond;
        std::function<void()> then;
    };
    std::vector<unconfirmed_call> unconfirmed_;
    /// Calls that were not confirmed since the last report, and the longest
    /// time that one waited.
    std::size_t refused_unconfirmed_ = 0;
    base::steady_time::duration longest_unconfirmed_{0};
    /// Member that takes over after a release.
    std::optional<member_record> successor_;
    stored_jobs stored_;
    std::map<std::string, jobs::queue> stored_queues_;
    std::set<std::string> known_workers_;
    std::set<std::string> configured_queues_;
    std::int64_t registry_version_ = 0;
    bool work_scheduled_ = false;
    bool loaded_ = false;
    bool stopped_ = false;
    bool releasing_ = false;
    bool released_ = false;
    /// Number of tables that are still being read.
    int tables_to_load_ = 0;
    /// Worker registry that was read before the tables were loaded.
    std::optional<std::vector<durable::row>> pending_registry_;
};

/// @brief Returns how the planner of a daemon with these settings works.
dispatch::planner_options planner_options_of(const settings& options);

/// @name Rows of the cell
/// @{
inline const std::string cell_table = "cell";
inline const std::string job_table = "jobs";
inline const std::string progress_table = "progress";
inline const std::string queue_table = "queues";
/// Partition of all rows that one transaction may have to change together.
inline const std::string plan_partition = "plan";
inline const std::string member_partition = "members";
inline const std::string head_key = "head";
inline const std::string secret_key = "secret";
/// Learned speeds of workers.
inline const std::string speeds_key = "speeds";
/// Leases of workers that do not answer.
inline const std::string leases_key = "leases";
/// Row with the settled orders; see dispatch::settled_orders.
inline const std::string settled_orders_key = "settled-orders";
/// @}

} // namespace mustardwick::entry
