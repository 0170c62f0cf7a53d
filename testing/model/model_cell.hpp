#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/settings.hpp"
#include "testing/model/defects.hpp"
#include "testing/model/model_daemon.hpp"
#include "testing/model/operation.hpp"
#include "testing/model/promise_monitor.hpp"
#include "testing/standin/event_log.hpp"
#include "testing/standin/worker_state.hpp"

namespace mustardwick::testing
{

/// @brief Size of a model cell, its seed and the injected defect.
struct model_options
{
    std::uint64_t seed = 1;
    defect kind = defect::none;
    std::size_t daemons = 3;
    std::size_t workers = 4;
};

/// @brief A cell of several daemons that share one table, and several workers.
///
/// Runs in a single thread on simulated time and injects faults into processes,
/// connections and the table.
class model_cell
{
public:
    explicit model_cell(model_options options);
    ~model_cell();
    model_cell(const model_cell&) = delete;
    model_cell& operator=(const model_cell&) = delete;

    /// @brief Applies one step and checks the promises.
    void apply(const operation& step);

    /// @brief Ends all faults and checks that every job reaches a final state.
    void heal();

    /// @brief Advances the simulated time and runs all daemons but the paused
    /// ones.
    void run(base::milliseconds time);

    promise_monitor& monitor()
    {
        return *monitor_;
    }

    model_daemon& daemon(std::size_t n)
    {
        return *daemons_[n];
    }

    // Used by model_daemon.
    const model_options& options() const
    {
        return options_;
    }
    const coordination::timing_settings& timing() const
    {
        return timing_;
    }
    const base::clock& clock_of(std::size_t daemon) const;
    fake_table& access(std::size_t daemon);
    std::string daemon_name(std::size_t n) const;
    std::string domain_of(std::size_t n) const;
    bool considers_failed(std::size_t observer, std::string_view peer) const;
    void step_planner(model_daemon& it);

    /// @brief Calls daemon `to` from daemon `from`.
    ///
    /// Returns std::nullopt when the call or its answer cannot get through.
    template <typename Answer, typename Function>
    std::optional<Answer> call(std::size_t from, const std::string& to,
                               Function&& function)
    {
        const auto n = index_of(to);
        if (!n || !can_receive(*n, from))
            return std::nullopt;
        std::optional<Answer> out = function(*daemons_[*n]);
        if (!can_receive(from, *n))
            return std::nullopt;
        return out;
    }

    // Used by model_workers.
    worker_state& worker(const std::string& name);
    bool reaches_worker(std::size_t daemon, const std::string& name) const;
    void pause_before_send(std::size_t daemon);
    bool take_lost_worker_answer(std::size_t daemon);
    bool take_request_left_running();
    void on_request_running();
    void end_request(const std::string& worker, const std::string& attempt);
    void end_request_later(const std::string& worker,
                           const std::string& attempt,
                           std::chrono::milliseconds limit);
    void record_open_lease(const std::string& worker, const std::string& lease);
    const std::string& open_lease(const std::string& worker) const;

private:
    struct daemon_state
    {
        base::manual_clock clock;
        int drift_ms = 0;
        std::unique_ptr<fake_table> table;
        bool paused = false;
        base::milliseconds pause_at_send{0};
        bool at_send = false;
        int lost_worker_answers = 0;
        std::set<std::size_t> cut_from;
        std::set<std::string> cut_workers;
        bool table_stopped = false;
    };

    struct sent_call
    {
        std::string team;
        std::string id;
        bool idempotent = false;
    };

    struct team_limits
    {
        std::int64_t millicpus = 0;
        std::int64_t requests = 0;
    };

    struct running_request
    {
        std::string worker;
        std::string attempt;
        base::steady_time end;
    };

    void start_workers();
    void declare_resources();
    bool declare(coordination::resource_kind kind, const std::string& name,
                 const std::string& desired, bool race = false);
    void step_time();
    void check();
    std::optional<std::size_t> index_of(std::string_view name) const;
    bool can_receive(std::size_t to, std::size_t from) const;
    std::int64_t now_us() const;
    void restart_worker(const std::string& name);
    model_daemon* entry(unsigned n);
    std::string worker_name(std::size_t n) const;
    std::string team(unsigned n) const;
    std::string authorization(const std::string& team) const;

    void apply_work(const operation& step);
    void apply_process_fault(const operation& step);
    void apply_table_fault(const operation& step);
    void apply_path_fault(const operation& step);
    void apply_operator(const operation& step);
    void submit(const operation& step);
    void cancel(const operation& step);
    void request(unsigned entry_number, const sent_call& call);
    wire::forward_answer route(model_daemon& at,
                               const wire::forward_request& call);
    void query(const operation& step);
    void set_limit(const std::string& team, std::int64_t factor);
    void set_domain(const std::string& domain, bool in_service);
    void set_key(const std::string& team, bool withdrawn);
    void check_jobs_ended();
    void observe_limits();
    std::int64_t placed_millicpus(const std::string& team);

    model_options options_;
    coordination::timing_settings timing_;
    std::string record_file_;
    base::manual_clock clock_;
    table_state table_;
    event_log event_log_;
    std::unique_ptr<promise_monitor> monitor_;
    std::vector<std::unique_ptr<daemon_state>> states_;
    std::vector<std::unique_ptr<model_daemon>> daemons_;
    std::map<std::string, std::unique_ptr<worker_state>> workers_;
    std::map<std::string, std::string> open_leases_;
    std::map<std::pair<std::size_t, std::size_t>, base::steady_time>
        last_contact_;
    std::map<std::string, team_limits> limits_;
    std::map<std::string, bool> limit_known_;
    std::map<std::string, base::steady_time> limit_changed_;
    std::map<std::string, std::string> jobs_;
    std::vector<sent_call> calls_;
    std::vector<running_request> left_running_;
    int requests_to_leave_running_ = 0;
    int burst_remaining_ = 0;
    unsigned burst_entry_ = 0;
    unsigned next_id_ = 0;
    unsigned next_call_ = 0;
    int depth_ = 0;
};

/// @brief Removes as many steps as possible while the sequence still breaks the
/// same promise.
std::vector<operation> shrink(const model_options& options,
                              std::vector<operation> steps);

/// @brief Runs a sequence, ends all faults and returns the broken promises.
///
/// Adds the numbers of checked events to `counts`. Stops at the first step that
/// breaks a promise.
std::vector<std::string> run_sequence(const model_options& options,
                                      const std::vector<operation>& steps,
                                      std::map<std::string, int>& counts);

} // namespace mustardwick::testing
