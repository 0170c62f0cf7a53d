#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/mustardwick/dispatch/planner_fixture_test.hpp"
#include "testing/model/incarnation_calls.hpp"

namespace mustardwick::dispatch::test
{

/// @brief Rows that leaders hand on to their successors.
struct stored_rows
{
    struct row
    {
        std::string value;
        std::int64_t version = 0;
    };

    std::int64_t version = 0;
    std::int64_t epoch = 0;
    std::map<std::pair<row_kind, std::string>, row> rows;
    lapsing_lease_rows leases;
    settled_orders settled;
};

/// @brief What a cell shares among its leaders.
struct cell_surroundings
{
    base::manual_clock clock;
    event_queue events{clock};
    run_monitor monitor;
    /// Fates of calls by worker.
    std::map<std::string, call_fates> fates;
    std::map<std::string, std::unique_ptr<worker_model>> workers;
    /// What the registry lists.
    std::map<std::string, std::int64_t> registry;
    std::map<std::string, jobs::job> jobs;
    stored_rows store;
    milliseconds store_delay = time_step;
    /// Nothing is stored before this time.
    base::steady_time store_down_until;
    milliseconds advice_delay = time_step;
    std::string queue;

    std::int64_t store_time(base::steady_time time) const
    {
        return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
            .count();
    }
};

/// @brief A planner with the rules of entry::cell_leader and
/// entry::worker_links for its workers and its rows.
class leader_model
{
public:
    leader_model(cell_surroundings& cell, std::int64_t epoch)
        : plan(cell.clock, {}, metrics_), cell_(cell), epoch_(epoch)
    {
        plan.set_configuration(make_configuration());
        load();
        for (const auto& [id, born] : cell_.registry)
            listed(id, born);
    }

    void listed(const std::string& id, std::int64_t born)
    {
        jobs::worker_info info;
        info.id = id;
        info.service = "s";
        info.failure_domain = "z";
        info.capacity = {host_cores * 1000, 64'000, 0};
        info.incarnation_start_ms = born;
        plan.worker_listed(info);
        auto& it = links_[id];
        const bool is_new = !it.tokens;
        auto& tokens = tokens_[id];
        if (!tokens)
            tokens = std::make_shared<jobs::fencing_tokens>(epoch_);
        if (is_new)
        {
            it.tokens = tokens;
            for (auto* channel : {&it.orders, &it.renewals})
                *channel = std::make_shared<call_channel>(
                    cell_.events, *cell_.workers.at(id), cell_.fates[id],
                    it.tokens);
        }
        if (!std::exchange(it.is_listed, true) || is_new)
            return renew(id);
        const auto host = plan.hosts().find(id);
        if (host != plan.hosts().end() && host->second.adopted &&
            born > host->second.incarnation_start_ms)
            ask_at_once(id);
    }

    void unlisted(const std::string& id)
    {
        plan.worker_unlisted(id);
        const auto it = links_.find(id);
        if (it == links_.end())
            return;
        it->second.is_listed = false;
        const auto host = plan.hosts().find(id);
        if (host != plan.hosts().end() && !host->second.runs.empty())
            ask_at_once(id);
    }

    void work()
    {
        if (!is_active)
            return;
        const bool is_down = cell_.clock.now() < cell_.store_down_until;
        if (!is_down)
            down_since_.reset();
        else if (!down_since_)
            down_since_ = cell_.clock.now();
        else if (cell_.clock.now() - *down_since_ >= refusal_timeout)
            plan.reject_unsent_jobs();
        const std::size_t channels = is_querying_ ? 0 : 1;
        const auto out = plan.take_orders({channels, channels});
        for (const auto& it : out.queries)
            query(it);
        for (const auto& it : out.stops)
            stop(it);
        for (const auto& it : out.starts)
            start(it);
        if (!is_superseded)
            commit();
    }

    void close_connections()
    {
        for (auto& [id, it] : links_)
        {
            it.orders->close();
            it.renewals->close();
        }
    }

    /// @brief Commits what a successor needs and stops; `done` follows.
    void release(std::function<void()> done)
    {
        released_ = std::move(done);
        commit();
    }

    planner& state()
    {
        return plan;
    }

    bool is_active = true;
    /// A successor leads; this leader still has authority and does not know.
    bool is_superseded = false;

private:
    struct link
    {
        std::shared_ptr<jobs::fencing_tokens> tokens;
        std::shared_ptr<call_channel> orders;
        std::shared_ptr<call_channel> renewals;
        bool is_listed = false;
        bool asks_at_once = false;
        std::uint64_t generation = 0;
        std::uint64_t asked = 0;
        int failures = 0;
    };

    void load()
    {
        auto& store = cell_.store;
        for (const auto& [id, job] : cell_.jobs)
        {
            // The row of an ended job is removed; its progress stays.
            const auto first = store.rows.find({row_kind::job, id});
            const auto latest = store.rows.find({row_kind::progress, id});
            if (first == store.rows.end() && latest == store.rows.end())
                continue;
            const auto& row =
                latest != store.rows.end() ? latest->second : first->second;
            const auto head =
                latest != store.rows.end()
                    ? decode_progress_head(row.value)
                    : decode_progress_head(
                          wire::decode<job_row>(row.value).value().progress);
            plan.restore(job, head.value().record, false, {}, row.version);
        }
        if (jobs::next_epoch(store.leases.epoch) == epoch_)
            for (const auto& it : store.leases.leases)
                plan.restore_lapsing_lease(
                    it, base::steady_time(milliseconds(it.end_ms)),
                    base::steady_time(milliseconds(it.calls_end_ms)));
        plan.settle_inherited_orders(store.settled,
                                     [](std::int64_t time_ms)
                                     {
                                         return base::steady_time(
                                             milliseconds(time_ms));
                                     });
        store.epoch = epoch_;
    }

    void commit()
    {
        if (is_committing_ || down_since_)
            return;
        auto rows = plan.next_commit(96, 600'000);
        const lease_storing how{[this](base::steady_time time)
                                {
                                    return cell_.store_time(time);
                                },
                                cell_.clock.now(), bool(released_)};
        const bool has_leases = plan.has_lease_changes(how);
        if (rows.empty() && !has_leases && !released_ &&
            cell_.clock.now() < next_commit_)
            return;
        next_commit_ = cell_.clock.now() + renewal_interval;
        std::optional<lapsing_lease_rows> leases;
        if (has_leases)
            leases = {epoch_, plan.store_lapsing_leases(how)};
        std::optional<settled_orders> settled;
        if (cell_.clock.now() >= next_settled_ || released_)
        {
            next_settled_ = cell_.clock.now() + settled_interval;
            plan.drop_settled_orders();
            settled =
                plan.settled(to_store_clock{how.to_store, how.clock_read});
        }
        is_committing_ = true;
        const bool releases = bool(released_);
        const auto delay = std::exchange(cell_.store_delay, time_step);
        cell_.events.after(
            delay,
            [this, rows = std::move(rows), leases, settled, releases]
            {
                apply(rows, leases, settled, releases);
            });
    }

    void apply(const std::vector<row_change>& rows,
               const std::optional<lapsing_lease_rows>& leases,
               std::optional<settled_orders> settled, bool releases)
    {
        auto& store = cell_.store;
        if (store.epoch != epoch_)
            return;
        ++store.version;
        for (const auto& it : rows)
            if (it.value)
                store.rows[{it.kind, it.key}] = {*it.value, store.version};
            else
                store.rows.erase({it.kind, it.key});
        if (leases)
            store.leases = *leases;
        if (settled)
        {
            store.settled = std::move(*settled);
        }
        cell_.events.after(time_step,
                           [this, releases, version = store.version,
                            has_leases = leases.has_value()]
                           {
                               committed(releases, version, has_leases);
                           });
    }

    void committed(bool releases, std::int64_t version, bool has_leases)
    {
        is_committing_ = false;
        if (!is_active || is_superseded)
            return;
        if (has_leases)
            plan.lapsing_leases_stored();
        if (plan.commit_in_flight())
            plan.commit_done(version);
        if (releases)
        {
            is_active = false;
            return released_();
        }
        if (released_)
            commit();
    }

    void query(const advice_query& it)
    {
        is_querying_ = true;
        const auto sent = cell_.clock.now();
        std::vector<advice_ticket> tickets;
        for (const auto& id : it.workers)
            tickets.push_back({id, cell_.workers.at(id)->ticket()});
        cell_.events.after(cell_.advice_delay,
                           [this, it, sent, tickets]
                           {
                               is_querying_ = false;
                               if (is_active)
                                   plan.advice_answered(it, tickets, sent);
                           });
    }

    static jobs::order_reply
    order_reply_of(call_end how, const call_reply& reply, bool newest)
    {
        using jobs::order_result;
        auto out = reply.order;
        if (how == call_end::not_sent)
            out = {order_result::not_sent, 0};
        else if (how == call_end::other_process)
            out = {order_result::other_incarnation, 0};
        else if (how == call_end::maybe_sent)
            out = {order_result::unknown, 0};
        else if (out.result == order_result::fenced && !newest)
            out.result = order_result::overtaken;
        return out;
    }

    void start(const start_order& order)
    {
        const auto found = links_.find(order.worker);
        if (found == links_.end())
            return plan.start_answered(order,
                                       {jobs::order_result::not_sent, 0});
        auto& it = found->second;
        worker_call call;
        call.kind = call_kind::start;
        call.process = order.worker_incarnation_start_ms;
        call.carry_out = [order, asked = cell_.queue == "asked"](
                             worker_model& worker, std::int64_t token)
        {
            return worker.start(order, token, asked);
        };
        call.done = [this, order, tokens = it.tokens](call_end how,
                                                      const call_reply& reply,
                                                      std::int64_t token)
        {
            if (!is_active)
                return;
            const auto out =
                order_reply_of(how, reply, token >= tokens->current());
            plan.start_answered(order, out);
            const auto host = plan.hosts().find(order.worker);
            if (out.result == jobs::order_result::other_incarnation &&
                host != plan.hosts().end() &&
                host->second.incarnation_start_ms ==
                    order.worker_incarnation_start_ms)
                ask_at_once(order.worker);
            if (out.result == jobs::order_result::fenced)
                fenced();
        };
        it.orders->send(std::move(call));
    }

    void stop(const stop_order& order)
    {
        const auto found = links_.find(order.worker);
        if (found == links_.end())
            return;
        auto& it = found->second;
        worker_call call;
        call.kind = call_kind::stop;
        call.process = order.worker_incarnation_start_ms;
        call.carry_out = [order](worker_model& worker, std::int64_t token)
        {
            return worker.stop(order, token);
        };
        call.done = [this, order, tokens = it.tokens](call_end how,
                                                      const call_reply& reply,
                                                      std::int64_t token)
        {
            if (is_active)
                plan.stop_answered(
                    order,
                    order_reply_of(how, reply, token >= tokens->current()));
        };
        it.orders->send(std::move(call));
    }

    void ask_at_once(const std::string& id)
    {
        const auto it = links_.find(id);
        if (it == links_.end() || it->second.asked == it->second.generation)
            return;
        it->second.asks_at_once = true;
        renew(id);
    }

    void renew_after(const std::string& id, milliseconds delay)
    {
        cell_.events.after(delay,
                           [this, id, generation = links_.at(id).generation]
                           {
                               const auto it = links_.find(id);
                               if (it != links_.end() &&
                                   it->second.generation == generation)
                                   renew(id);
                           });
    }

    void renew(const std::string& id)
    {
        if (!is_active)
            return;
        auto& it = links_.at(id);
        ++it.generation;
        const auto host = plan.hosts().find(id);
        std::int64_t acknowledged = 0;
        std::optional<std::int64_t> deadline_ms;
        worker_call call;
        call.kind = call_kind::renewal;
        if (std::exchange(it.asks_at_once, false))
            it.asked = it.generation;
        else if (host != plan.hosts().end() && host->second.adopted)
        {
            call.process = host->second.incarnation_start_ms;
            acknowledged = plan.acknowledged_end(id);
            deadline_ms = plan.lease_deadline(id);
            if (deadline_ms)
                call.wait = plan.renewal_wait(id);
        }
        call.timeout = call.wait + renewal_margin;
        call.carry_out = [acknowledged, deadline_ms](worker_model& worker,
                                                     std::int64_t token)
        {
            return worker.renew(token, acknowledged, deadline_ms);
        };
        call.done =
            [this, id, generation = it.generation, asked = cell_.clock.now()](
                call_end how, const call_reply& reply, std::int64_t token)
        {
            renewed(id, generation, how, reply, token, asked);
        };
        it.renewals->send(std::move(call));
    }

    void renewed(const std::string& id, std::uint64_t generation, call_end how,
                 const call_reply& reply, std::int64_t token,
                 base::steady_time asked)
    {
        const auto found = links_.find(id);
        if (!is_active || found == links_.end() ||
            found->second.generation != generation)
            return;
        auto& it = found->second;
        if (how == call_end::other_process)
            return ask_at_once(id);
        if (how == call_end::answered &&
            reply.order.result == jobs::order_result::fenced)
        {
            if (token >= it.tokens->current())
                return fenced();
            return renew_after(id, time_step);
        }
        if (how == call_end::answered)
        {
            it.failures = 0;
            plan.worker_reported(id, reply.report, asked);
            return renew_after(id, time_step);
        }
        plan.worker_unresponsive(id);
        const int doublings = std::min(it.failures++, max_retry_doublings);
        if (!it.is_listed && it.failures > max_retry_doublings)
        {
            links_.erase(found);
            return;
        }
        renew_after(id, min_retry_delay * (1 << doublings));
    }

    void fenced()
    {
        is_active = false;
        if (!is_superseded)
            cell_.monitor.broken.emplace_back(
                "the leader is fenced, and there is no successor");
    }

    static constexpr milliseconds refusal_timeout{600};
    static constexpr milliseconds renewal_interval{500};
    static constexpr milliseconds settled_interval{250};
    static constexpr milliseconds renewal_margin{800};
    static constexpr milliseconds min_retry_delay{250};
    static constexpr int max_retry_doublings = 2;

    base::metrics metrics_;
    planner plan;
    cell_surroundings& cell_;
    std::int64_t epoch_;
    std::map<std::string, link> links_;
    /// They outlast the links.
    std::map<std::string, std::shared_ptr<jobs::fencing_tokens>> tokens_;
    bool is_committing_ = false;
    bool is_querying_ = false;
    std::optional<base::steady_time> down_since_;
    base::steady_time next_commit_;
    base::steady_time next_settled_;
    std::function<void()> released_;
};

} // namespace mustardwick::dispatch::test
