#include "mustardwick/entry/config_watch.hpp"

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "platform/operator_rows.hpp"

namespace mustardwick::entry
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// The store answers a watch after watch_duration at the latest. An
/// unresponsive connection is detected watch_timeout_margin later, within the
/// 2 s in which a configuration must be in force.
constexpr milliseconds watch_duration{1000};
constexpr milliseconds watch_timeout_margin{500};
constexpr milliseconds read_timeout{1000};
constexpr milliseconds retry_delay{150};
constexpr int page_rows = 500;

} // namespace

config_watch::config_watch(boost::asio::io_context& io,
                           platform::store_client& store,
                           change_handler changed)
    : timer_(io), store_(store), changed_(std::move(changed))
{
}

void config_watch::start()
{
    read_all();
}

void config_watch::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void config_watch::read_all()
{
    if (stopped_)
        return;
    store_.read(platform::operator_table, "", "", page_rows, read_timeout,
                [self = shared_from_this()](const durable::store_reply& reply)
                {
                    if (!reply.ok())
                        return self->retry(true, reply.reason);
                    self->version_ = reply.version;
                    // Rows deleted since the last read are not listed.
                    self->state_.evacuated.clear();
                    self->apply(reply.rows);
                    self->watch_changes();
                });
}

void config_watch::watch_changes()
{
    if (stopped_)
        return;
    store_.changes(
        platform::operator_table, version_, watch_duration,
        watch_duration + watch_timeout_margin,
        [self = shared_from_this()](const durable::store_reply& reply)
        {
            if (reply.end == durable::store_outcome::history_truncated)
                return self->read_all();
            if (!reply.ok())
                return self->retry(false, reply.reason);
            if (!self->connected_)
                log_event(log_level::info, "config", "store_regained");
            self->connected_ = true;
            self->version_ = std::max(self->version_, reply.version);
            if (!reply.rows.empty())
                self->apply(reply.rows);
            self->watch_changes();
        });
}

void config_watch::retry(bool reread, const std::string& reason)
{
    if (connected_)
        log_event(log_level::warning, "config", "store_lost",
                  {{"reason", reason}});
    connected_ = false;
    timer_.expires_after(retry_delay);
    timer_.async_wait(
        [self = shared_from_this(), reread](boost::system::error_code ec)
        {
            if (ec)
                return;
            if (reread)
                self->read_all();
            else
                self->watch_changes();
        });
}

void config_watch::apply_from_peer(const std::string& text)
{
    apply_configuration(text);
    changed_(state_);
}

void config_watch::apply_configuration(const std::string& text)
{
    auto next = platform::decode_configuration(text);
    if (!next)
        return log_event(log_level::error, "config", "configuration_refused",
                         {{"reason", base::last_error().text()}});
    auto& current = state_.configuration;
    if (current && next->version <= current->version)
        return;
    log_event(log_level::info, "config", "configuration_applied",
              {{"version", next->version},
               {"queues", next->queues.size()},
               {"accounts", next->accounts.size()}});
    current = std::move(next);
    state_.configuration_text = text;
}

void config_watch::apply(const std::vector<durable::row>& rows)
{
    for (const auto& it : rows)
    {
        if (it.address.key == platform::configuration_key && !it.deleted)
            apply_configuration(it.value);
        else if (const auto domain = platform::evacuated_domain(it.address.key))
        {
            if (it.deleted)
                state_.evacuated.erase(*domain);
            else
                state_.evacuated.insert(*domain);
            log_event(
                log_level::info, "config", "evacuation_changed",
                {{"failure_domain", *domain}, {"evacuated", int(!it.deleted)}});
        }
    }
    changed_(state_);
}

} // namespace mustardwick::entry
