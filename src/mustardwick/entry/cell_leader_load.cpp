#include "mustardwick/entry/cell_leader.hpp"

#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/settled_orders.hpp"
#include "mustardwick/entry/table_scan.hpp"
#include "mustardwick/jobs/fencing.hpp"
#include "mustardwick/wire/codec.hpp"
#include "platform/operator_rows.hpp"

namespace mustardwick::entry
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Poll interval of the worker registry. The leader must learn within 2 s that
/// a worker is draining.
constexpr milliseconds registry_interval{350};
constexpr milliseconds read_timeout{1000};
constexpr int page_rows = 500;
/// Interval at which the learned speeds are stored, with a transaction that
/// changes jobs; a row of 350 workers has 15 KB.
constexpr milliseconds speeds_interval{8000};
/// Minimum interval between two writes of the lapsing leases; a row of 400
/// workers has up to 40 KB.
constexpr milliseconds leases_interval{250};
/// Minimum interval between two writes of the settled orders, which a successor
/// needs for the tasks of workers that were lost within it.
constexpr milliseconds settled_orders_interval{250};

} // namespace

void cell_leader::load_members()
{
    env_.store.read(
        cell_table, member_partition, "", page_rows, read_timeout,
        [self = shared_from_this()](const durable::store_reply& reply)
        {
            if (self->stopped_)
                return;
            if (!reply.ok())
                // Members also join on their own; reading the rows only speeds
                // this up.
                return log_event(log_level::warning, "leader",
                                 "member_read_failed",
                                 {{"reason", reply.reason}});
            for (const auto& it : reply.rows)
                if (const auto record = wire::decode<member_record>(it.value))
                    self->heartbeats_->add(*record);
        });
}

void cell_leader::load_hints()
{
    env_.store.read(
        cell_table, plan_partition, "", page_rows, read_timeout,
        [self = shared_from_this()](const durable::store_reply& reply)
        {
            // Without the rows the speeds are learned anew within seconds, and
            // leases are counted from the begin of this leadership.
            if (self->stopped_ || !reply.ok())
                return;
            for (const auto& it : reply.rows)
            {
                if (it.address.key == speeds_key)
                    self->planner_.restore_speeds(it.value);
                if (it.address.key == leases_key)
                    self->load_lapsing_leases(it);
                if (it.address.key == settled_orders_key)
                    self->load_settled_orders(it);
            }
        });
}

void cell_leader::load_lapsing_leases(const durable::row& row)
{
    const auto stored = wire::decode<dispatch::lapsing_lease_rows>(row.value);
    if (!stored)
        return log_event(log_level::warning, "leader", "lease_row_unreadable",
                         {{"reason", base::last_error().text()}});
    if (jobs::next_epoch(stored->epoch) != head_.epoch)
        return;
    const auto& clock = env_.store.clock();
    for (const auto& it : stored->leases)
    {
        const auto bound = clock.from_store(it.end_ms);
        const auto calls_bound = clock.from_store(it.calls_end_ms);
        if (bound && calls_bound)
            planner_.restore_lapsing_lease(it, *bound, *calls_bound);
    }
}

void cell_leader::load_settled_orders(const durable::row& row)
{
    const auto stored = wire::decode<dispatch::settled_orders>(row.value);
    if (!stored)
        return log_event(log_level::warning, "leader", "orders_row_unreadable",
                         {{"reason", base::last_error().text()}});
    planner_.settle_inherited_orders(
        *stored,
        [&clock = env_.store.clock()](std::int64_t time_ms)
        {
            return clock.from_store(time_ms);
        });
}

void cell_leader::add_settled_orders(durable::transaction& changes)
{
    const auto now = env_.clock.now();
    if (!loaded_ || (now < next_settled_orders_ && !releasing_))
        return;
    next_settled_orders_ = now + settled_orders_interval;
    planner_.drop_settled_orders();
    const auto& clock = env_.store.clock();
    std::optional<dispatch::to_store_clock> to_store;
    if (const auto read = clock.last_reading())
        to_store = {[&clock](base::steady_time time)
                    {
                        return *clock.to_store(time);
                    },
                    *read};
    auto settled = planner_.settled(to_store);
    settled.epoch = head_.epoch;
    changes.writes.push_back({{cell_table, plan_partition, settled_orders_key},
                              wire::encode(settled)});
}

void cell_leader::add_speeds(durable::transaction& changes)
{
    const auto now = env_.clock.now();
    if (now < next_speeds_)
        return;
    const bool is_first = next_speeds_ == base::steady_time();
    next_speeds_ = now + speeds_interval;
    if (!is_first)
        changes.writes.push_back({{cell_table, plan_partition, speeds_key},
                                  planner_.encode_speeds()});
}

bool cell_leader::add_leases(durable::transaction& changes)
{
    const auto now = env_.clock.now();
    const auto& clock = env_.store.clock();
    const auto read = clock.last_reading();
    if (!loaded_ || !read || (now < next_leases_ && !releasing_))
        return false;
    const dispatch::lease_storing how{[&clock](base::steady_time time)
                                      {
                                          return *clock.to_store(time);
                                      },
                                      *read, releasing_};
    if (!planner_.has_lease_changes(how))
        return false;
    next_leases_ = now + leases_interval;
    dispatch::lapsing_lease_rows rows;
    rows.epoch = head_.epoch;
    rows.leases = planner_.store_lapsing_leases(how);
    changes.writes.push_back(
        {{cell_table, plan_partition, leases_key}, wire::encode(rows)});
    return true;
}

void cell_leader::load_table(const std::string& table)
{
    using scan = table_scan<platform::store_client>;
    const auto self = shared_from_this();
    std::make_shared<scan>(
        env_.io, env_.store, table, plan_partition,
        scan::events{[self]
                     {
                         return self->stopped_;
                     },
                     [self](const std::vector<durable::row>& rows)
                     {
                         for (const auto& it : rows)
                             self->load_row(it);
                     },
                     [self](std::int64_t)
                     {
                         if (--self->tables_to_load_ == 0)
                             self->loaded();
                     }})
        ->start();
}

void cell_leader::load_row(const durable::row& row)
{
    if (row.address.table != queue_table)
    {
        stored_.add(row);
        return;
    }
    auto queue = wire::decode<jobs::queue>(row.value);
    if (queue)
        stored_queues_[row.address.key] = std::move(*queue);
    else
        log_event(log_level::error, "leader", "queue_row_unreadable",
                  {{"queue", row.address.key}});
}

void cell_leader::loaded()
{
    std::size_t active = 0;
    auto stored = stored_.take();
    std::vector<dispatch::row_change> orphans;
    for (auto& [id, it] : stored)
    {
        if (it.is_orphan())
        {
            for (const auto& [name, value] : it.blocks)
                orphans.push_back({dispatch::row_kind::progress,
                                   id + dispatch::block_separator + name,
                                   std::nullopt});
            continue;
        }
        if (!it.specification || !it.record)
        {
            log_event(log_level::error, "leader", "job_rows_incomplete",
                      {{"job", id}});
            continue;
        }
        active += is_final(it.record->state) ? 0 : 1;
        planner_.restore(std::move(*it.specification), std::move(*it.record),
                         it.split, std::move(it.blocks), it.version);
    }
    planner_.discard(std::move(orphans));
    planner_.restore_queues(stored_queues_);
    log_event(
        log_level::info, "leader", "state_loaded",
        {{"jobs", stored.size()}, {"active", active}, {"epoch", head_.epoch}});
    loaded_ = true;
    load_hints();
    // Without a wait to cancel, follow_registry() is about to run anyway.
    if (pending_registry_ && registry_timer_.cancel() > 0)
        follow_registry();
}

void cell_leader::read_registry()
{
    if (stopped_)
        return;
    using scan = table_scan<platform::store_client>;
    const auto self = shared_from_this();
    const auto all = std::make_shared<std::vector<durable::row>>();
    std::make_shared<scan>(
        env_.io, env_.store, platform::worker_table, "",
        scan::events{[self]
                     {
                         return self->stopped_;
                     },
                     [all](const std::vector<durable::row>& rows)
                     {
                         all->insert(all->end(), rows.begin(), rows.end());
                     },
                     [self, all](std::int64_t version)
                     {
                         self->registry_read(std::move(*all), version);
                     }})
        ->start();
}

void cell_leader::registry_read(std::vector<durable::row> rows,
                                std::int64_t version)
{
    registry_version_ = version;
    // Worker reports can be evaluated only once the stored jobs are loaded.
    if (!loaded_)
        pending_registry_ = std::move(rows);
    else
        apply_registry(rows, true);
    follow_registry_later();
}

void cell_leader::follow_registry_later()
{
    registry_timer_.expires_after(registry_interval);
    registry_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec)
                self->follow_registry();
        });
}

void cell_leader::follow_registry()
{
    if (stopped_)
        return;
    // What has changed since is read once the jobs are loaded: until then they
    // need the path to the store.
    if (!loaded_)
        return follow_registry_later();
    env_.store.changes(
        platform::worker_table, registry_version_, milliseconds(0),
        read_timeout,
        [self = shared_from_this()](const durable::store_reply& reply)
        {
            if (self->stopped_)
                return;
            // Applied only now, so that no work is sent to a worker that has
            // begun to drain during a long load.
            if (self->pending_registry_)
                self->apply_registry(
                    *std::exchange(self->pending_registry_, std::nullopt),
                    true);
            if (reply.end == durable::store_outcome::history_truncated)
                return self->read_registry();
            if (reply.ok())
            {
                self->registry_version_ =
                    std::max(self->registry_version_, reply.version);
                self->apply_registry(reply.rows, false);
            }
            self->follow_registry_later();
        });
}

void cell_leader::apply_registry(const std::vector<durable::row>& rows,
                                 bool full_read)
{
    std::set<std::string> seen;
    for (const auto& it : rows)
    {
        const auto& id = it.address.key;
        std::optional<jobs::worker_info> info;
        if (!it.deleted)
        {
            info = platform::decode_worker(id, it.value);
            if (!info)
                log_event(
                    log_level::warning, "registry", "entry_refused",
                    {{"worker", id}, {"reason", base::last_error().text()}});
        }
        if (info)
        {
            seen.insert(id);
            known_workers_.insert(id);
            planner_.worker_listed(*info);
            workers_->listed(*info);
        }
        else if (known_workers_.erase(id) > 0)
        {
            planner_.worker_unlisted(id);
            workers_->unlisted(id);
        }
    }
    if (full_read)
        for (const auto& id : std::set<std::string>(known_workers_))
            if (!seen.contains(id))
            {
                known_workers_.erase(id);
                planner_.worker_unlisted(id);
                workers_->unlisted(id);
            }
    schedule_work();
}

} // namespace mustardwick::entry
