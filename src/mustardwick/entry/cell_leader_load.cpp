#include "mustardwick/entry/cell_leader.hpp"

#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
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
constexpr milliseconds read_retry{120};
constexpr int page_rows = 500;

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

void cell_leader::load_table(const std::string& table, const std::string& from)
{
    env_.store.read(table, plan_partition, from, page_rows, read_timeout,
                    [self = shared_from_this(), table,
                     from](const durable::store_reply& reply)
                    {
                        if (self->stopped_)
                            return;
                        if (!reply.ok())
                            return self->retry_load(table, from);
                        for (const auto& it : reply.rows)
                            self->stored_.add(it);
                        if (reply.has_more && !reply.rows.empty())
                            // The smallest key after the last one read.
                            self->load_table(
                                table, reply.rows.back().address.key + '\0');
                        else if (--self->tables_to_load_ == 0)
                            self->loaded();
                    });
}

void cell_leader::retry_load(const std::string& table, const std::string& from)
{
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(env_.io, read_retry);
    timer->async_wait(
        [self = shared_from_this(), timer, table,
         from](boost::system::error_code ec)
        {
            if (!ec && !self->stopped_)
                self->load_table(table, from);
        });
}

void cell_leader::loaded()
{
    std::size_t active = 0;
    auto stored = stored_.take();
    for (auto& [id, it] : stored)
    {
        if (!it.specification || !it.record)
        {
            log_event(log_level::error, "leader", "job_rows_incomplete",
                      {{"job", id}});
            continue;
        }
        active += is_final(it.record->state) ? 0 : 1;
        planner_.restore(std::move(*it.specification), std::move(*it.record));
    }
    log_event(
        log_level::info, "leader", "state_loaded",
        {{"jobs", stored.size()}, {"active", active}, {"epoch", head_.epoch}});
    loaded_ = true;
    if (pending_registry_)
        apply_registry(*std::exchange(pending_registry_, std::nullopt), true);
}

void cell_leader::poll_registry(bool full_read)
{
    if (stopped_)
        return;
    const auto done = [self = shared_from_this(),
                       full_read](const durable::store_reply& reply)
    {
        if (self->stopped_)
            return;
        if (reply.end == durable::store_outcome::history_truncated)
            return self->poll_registry(true);
        const bool again = full_read && !reply.ok();
        const bool full_read_next = again || !self->loaded_;
        if (reply.ok())
        {
            self->registry_version_ =
                std::max(self->registry_version_, reply.version);
            // Worker reports can be evaluated only once the stored jobs are
            // loaded.
            if (!self->loaded_)
                self->pending_registry_ = reply.rows;
            else
                self->apply_registry(reply.rows, full_read);
        }
        self->registry_timer_.expires_after(again ? read_retry
                                                  : registry_interval);
        self->registry_timer_.async_wait(
            [self, full_read_next](boost::system::error_code ec)
            {
                if (!ec)
                    self->poll_registry(full_read_next);
            });
    };
    if (full_read)
        env_.store.read(platform::worker_table, "", "", page_rows, read_timeout,
                        done);
    else
        env_.store.changes(platform::worker_table, registry_version_,
                           milliseconds(0), read_timeout, done);
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
