#include "worker_leases_entry.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/coordination/report_filter.hpp"

namespace mustardwick::coordination
{

using base::steady_time;

namespace
{

constexpr milliseconds reopen_delay{500};
constexpr milliseconds min_renewal_interval{1000};
/// The renewal interval grows by this time with each held host. A renewal also
/// returns the ends of tasks, so it should be frequent, but each one costs
/// about 20 bytes.
constexpr milliseconds renewal_interval_per_host{45};
/// Longest time that a call can take to reach a worker.
constexpr milliseconds max_delivery_delay{5000};
/// The clock rates of two hosts differ by at most one percent.
constexpr int drift_divisor = 100;

milliseconds with_drift(milliseconds time)
{
    return time + time / drift_divisor;
}

} // namespace

worker_leases::worker_leases(worker_leases_links links, timing_settings timing,
                             report_function report, adopt_function adopt)
    : links_(std::move(links)), timing_(timing), report_(std::move(report)),
      adopt_(std::move(adopt))
{
}

void worker_leases::on_release(std::function<void(const std::string&)> listener)
{
    released_ = std::move(listener);
}

worker_leases::entry_ptr worker_leases::find(std::string_view host) const
{
    const std::scoped_lock lock(mutex_);
    const auto it = entries_.find(host);
    return it == entries_.end() ? nullptr : it->second;
}

std::set<std::string>
worker_leases::assigned_hosts(const configuration& config) const
{
    std::set<std::string> out;
    const auto live = links_.view.live_members();
    for (const auto& [name, spec] : config.hosts)
    {
        if (choose_member(name, live) == links_.registry.name())
            out.insert(name);
    }
    return out;
}

void worker_leases::tick()
{
    const auto config = links_.config.current();
    const auto wanted = assigned_hosts(*config);
    std::vector<std::string> unassigned;
    std::vector<entry_ptr> due;
    std::vector<entry_ptr> nearly_due;
    std::set<std::string> missing = wanted;
    const auto now = links_.clock.now();
    {
        const std::scoped_lock lock(mutex_);
        held_count_ = entries_.size();
        for (const auto& [name, it] : entries_)
        {
            const std::scoped_lock entry_lock(it->mutex);
            if (wanted.count(name) == 0)
                unassigned.push_back(name);
            // A dropped host whose release has an unknown outcome must be
            // acquired again when it is assigned to this daemon.
            else if (!it->dropped)
                missing.erase(name);
            if (it->dropped)
                continue;
            const bool is_due = now >= it->next_call_at;
            const bool is_nearly_due =
                !it->lease.empty() &&
                now + timing_.worker_renewal / 4 >= it->next_call_at;
            if (!it->busy && is_due)
                due.push_back(it);
            else if (!it->busy && is_nearly_due)
                nearly_due.push_back(it);
        }
    }
    // One large group costs fewer bytes than several small ones, so leases
    // that are due soon are renewed as well.
    if (!due.empty())
        due.insert(due.end(), nearly_due.begin(), nearly_due.end());
    // Renewals are sent first, because calls to the table may take long.
    if (links_.registry.has_authority())
        start_calls(due, *config);
    if (now < next_acquire_)
        return;
    if (!in_doubt_.empty())
        release_in_doubt(wanted);
    if (!unassigned.empty())
        release_hosts(unassigned);
    if (!missing.empty())
        acquire_hosts(missing);
}

milliseconds worker_leases::renewal_interval() const
{
    const auto hosts = static_cast<milliseconds::rep>(held_count_.load());
    return std::min(
        timing_.worker_renewal,
        std::max(min_renewal_interval, hosts * renewal_interval_per_host));
}

void worker_leases::start_calls(const std::vector<entry_ptr>& due,
                                const configuration& config)
{
    std::map<wire::endpoint, std::vector<entry_ptr>> renewals;
    std::vector<entry_ptr> opens;
    for (const auto& it : due)
    {
        const auto spec = config.hosts.find(it->host);
        const bool usable =
            spec == config.hosts.end() ||
            use_address(it, {spec->second.address, spec->second.worker});
        if (!usable)
        {
            handle_unresponsive(it);
            continue;
        }
        const std::scoped_lock lock(it->mutex);
        it->busy = true;
        if (it->lease.empty() || it->renewals_suspended)
            opens.push_back(it);
        else
            renewals[it->worker.where].push_back(it);
    }
    for (const auto& it : opens)
        links_.post(
            [this, it]
            {
                open_or_probe(it);
            });
    for (const auto& [where, group] : renewals)
        links_.post(
            [this, group = group]
            {
                renew(group);
            });
}

/// Sets the address of a host's worker. Returns false while a worker at the
/// former address may still run tasks: what the one at the new address lists
/// says nothing about them.
bool worker_leases::use_address(const entry_ptr& it,
                                const ports::worker_address& worker) const
{
    const std::scoped_lock lock(it->mutex);
    const bool moved =
        !it->worker.name.empty() &&
        (it->worker.name != worker.name || it->worker.where != worker.where);
    if (moved && !it->reported_empty)
    {
        it->lease.clear();
        return false;
    }
    it->worker = worker;
    return true;
}

void worker_leases::open_or_probe(const entry_ptr& it)
{
    bool dropped = false;
    bool renewals_suspended = false;
    {
        const std::scoped_lock lock(it->mutex);
        dropped = it->dropped;
        renewals_suspended = it->renewals_suspended;
    }
    const bool may_act = !dropped && links_.registry.has_authority();
    if (may_act && renewals_suspended)
        probe(it);
    else if (may_act)
        open(it);
    const std::scoped_lock lock(it->mutex);
    it->busy = false;
}

/// Checks whether an unresponsive worker answers again, with a call that does
/// not extend its lease.
void worker_leases::probe(const entry_ptr& it)
{
    ports::worker_address worker;
    std::string lease;
    {
        const std::scoped_lock lock(it->mutex);
        worker = it->worker;
        lease = it->lease.empty() ? "none" : it->lease;
    }
    if (!links_.workers.attempt(worker, lease, it->host))
        return handle_unresponsive(it);
    const std::scoped_lock lock(it->mutex);
    it->renewals_suspended = false;
    it->next_call_at = links_.clock.now();
}

void worker_leases::open(const entry_ptr& it)
{
    ports::worker_address worker;
    bool reopening = false;
    {
        const std::scoped_lock lock(it->mutex);
        worker = it->worker;
        reopening = it->ever_opened;
    }
    if (reopening)
    {
        const auto holds = is_still_holder(it->host);
        if (holds && !*holds)
            forget_hosts({it->host});
        if (!holds)
        {
            const std::scoped_lock lock(it->mutex);
            it->next_call_at = links_.clock.now() + reopen_delay;
        }
        if (!holds || !*holds)
            return;
    }
    const auto sent = links_.clock.now();
    const auto state = links_.workers.open(worker, links_.registry.name(),
                                           timing_.worker_lease);
    if (!state)
    {
        {
            const std::scoped_lock lock(it->mutex);
            it->last_sent = links_.clock.now();
        }
        return handle_unresponsive(it);
    }
    // Running requests are counted before the lease can be used, so that their
    // slots are not assigned again.
    adopt_(it->host, state->requests);
    {
        const std::scoped_lock lock(it->mutex);
        if (it->dropped)
            return;
        it->lease = state->lease;
        it->ever_opened = true;
        it->reported_unresponsive = false;
        it->reported_empty = false;
        it->last_sent = sent;
        it->last_answered = sent;
        it->next_call_at = sent + renewal_interval();
    }
    links_.events.record("lease_opened", it->host, state->lease);
    wire::task_events events;
    events.hosts.push_back({it->host, state->lease, true, false, true, {}});
    for (const auto& attempt : state->running)
        events.attempts.push_back(
            {attempt, it->host, wire::attempt_event::running, {}});
    for (auto ended : state->ended)
    {
        ended.host = it->host;
        events.attempts.push_back(std::move(ended));
    }
    send_report(std::move(events));
}

/// Renews the leases of workers that share an address.
void worker_leases::renew(const std::vector<entry_ptr>& group)
{
    std::vector<entry_ptr> renewed;
    std::vector<ports::renewal> leases;
    wire::endpoint where;
    for (const auto& it : group)
    {
        const std::scoped_lock lock(it->mutex);
        it->busy = !it->dropped && !it->lease.empty();
        if (!it->busy)
            continue;
        where = it->worker.where;
        renewed.push_back(it);
        leases.push_back(
            {it->worker.name, it->lease, std::exchange(it->acknowledged, {})});
    }
    if (leases.empty())
        return;
    const auto sent = links_.clock.now();
    std::vector<ports::renewal_result> results(leases.size());
    if (links_.registry.has_authority())
        results =
            links_.workers.renew_group(where, leases, timing_.worker_lease);
    for (std::size_t n = 0; n < renewed.size(); ++n)
    {
        finish_renewal(renewed[n], leases[n], results[n], sent);
        const std::scoped_lock lock(renewed[n]->mutex);
        renewed[n]->busy = false;
    }
}

void worker_leases::finish_renewal(const entry_ptr& it,
                                   const ports::renewal& renewal,
                                   const ports::renewal_result& result,
                                   steady_time sent)
{
    if (result.state != ports::renewal_state::renewed)
    {
        const bool closed = result.state == ports::renewal_state::closed;
        {
            const std::scoped_lock lock(it->mutex);
            it->acknowledged.insert(it->acknowledged.end(),
                                    renewal.acknowledged.begin(),
                                    renewal.acknowledged.end());
            // The process may have been paused between the check and the send,
            // so only the end of the call bounds the time of the send.
            if (!closed)
                it->last_sent = links_.clock.now();
        }
        if (closed)
            invalidate(it->host, renewal.lease);
        else
            handle_unresponsive(it);
        return;
    }
    wire::task_events events;
    {
        const std::scoped_lock lock(it->mutex);
        it->last_sent = sent;
        it->last_answered = sent;
        it->next_call_at = sent + renewal_interval();
        if (std::exchange(it->reported_unresponsive, false))
            events.hosts.push_back(
                {it->host, renewal.lease, true, false, false, {}});
    }
    for (auto ended : result.ended)
    {
        ended.host = it->host;
        events.attempts.push_back(std::move(ended));
    }
    if (!events.attempts.empty() || !events.hosts.empty())
        send_report(std::move(events));
}

/// Reports an unresponsive worker, and reports it as empty once no holder's
/// lease can still be open on it.
void worker_leases::handle_unresponsive(const entry_ptr& it)
{
    const auto now = links_.clock.now();
    wire::task_events events;
    {
        const std::scoped_lock lock(it->mutex);
        if (it->dropped)
            return;
        it->next_call_at = now + reopen_delay;
        // Each renewal that may have arrived postpones the time at which the
        // worker is certainly empty, so renewals stop after a while.
        it->renewals_suspended =
            it->renewals_suspended || it->lease.empty() ||
            now - it->last_answered >= 3 * timing_.worker_renewal / 2;
        if (!std::exchange(it->reported_unresponsive, true))
            events.hosts.push_back(
                {it->host, it->lease, false, false, false, {}});
        // The previous holder may have renewed until it lost its authority, and
        // a renewal checked just before that may arrive one lease time later.
        const auto previous_expiry = it->acquired_at + timing_.authority() +
                                     2 * with_drift(timing_.worker_lease);
        const auto own_expiry =
            it->last_sent + with_drift(timing_.worker_lease);
        const auto expiry = it->ever_opened
                                ? own_expiry
                                : std::max(own_expiry, previous_expiry);
        const bool is_empty = now > expiry + max_delivery_delay;
        if (is_empty && !std::exchange(it->reported_empty, true))
        {
            it->lease.clear();
            events.hosts.push_back({it->host, {}, false, true, false, {}});
        }
    }
    if (!events.hosts.empty())
        send_report(std::move(events));
}

void worker_leases::send_report(wire::task_events events)
{
    const auto holder =
        holder_name(links_.registry.name(), links_.registry.incarnation());
    for (auto& it : events.hosts)
        it.holder = holder;
    report_(std::move(events));
}

std::optional<held_lease> worker_leases::lease_of(std::string_view host) const
{
    const auto it = find(host);
    if (!it)
        return base::fail(base::error_kind::not_found,
                          "this daemon does not own host " + std::string(host),
                          "retry; another daemon owns it");
    const std::scoped_lock lock(it->mutex);
    const bool expired =
        links_.clock.now() - it->last_answered >= timing_.worker_lease;
    if (it->lease.empty() || expired || !links_.registry.has_authority())
        return base::fail(base::error_kind::unavailable,
                          "no open lease on host " + std::string(host),
                          "retry after a delay");
    return held_lease{it->lease, it->worker};
}

void worker_leases::invalidate(std::string_view host, const std::string& lease)
{
    const auto it = find(host);
    if (!it)
        return;
    const std::scoped_lock lock(it->mutex);
    if (it->lease != lease)
        return;
    it->lease.clear();
    it->next_call_at = links_.clock.now();
    links_.events.record("lease_lost", host, lease);
}

void worker_leases::acknowledge(
    const std::vector<wire::recorded_attempt>& attempts)
{
    for (const auto& recorded : attempts)
    {
        const auto it = find(recorded.host);
        if (!it)
            continue;
        const std::scoped_lock lock(it->mutex);
        it->acknowledged.push_back(recorded.attempt);
    }
}

std::vector<std::string> worker_leases::held() const
{
    std::vector<std::string> out;
    const std::scoped_lock lock(mutex_);
    for (const auto& [name, it] : entries_)
    {
        const std::scoped_lock entry_lock(it->mutex);
        if (!it->lease.empty())
            out.push_back(name);
    }
    return out;
}

} // namespace mustardwick::coordination
