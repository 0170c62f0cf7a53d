// The part of worker_leases that reads and writes holder rows.

#include "worker_leases_entry.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"

namespace mustardwick::coordination
{

using ports::commit_state;

namespace
{

constexpr std::size_t holders_per_transaction = 64;
constexpr milliseconds acquire_interval{500};

} // namespace

bool worker_leases::may_acquire(const holder_record& holder) const
{
    if (holder.daemon.empty() || holder.daemon == links_.registry.name())
        return true;
    if (links_.view.has_failed(holder.daemon))
        return true;
    const auto member = links_.registry.find(holder.daemon);
    return member && member->record.incarnation != holder.incarnation;
}

/// Reads the member rows again if a holder is missing in the copy or has
/// another incarnation there. The holder may have registered after the copy was
/// read, and only its current row shows whether it has failed.
bool worker_leases::know_holders(const std::set<std::string>& wanted,
                                 const std::vector<ports::row>& rows)
{
    for (const auto& it : rows)
    {
        const auto holder = parse_holder(it.value).value_or(holder_record{});
        const auto member = links_.registry.find(holder.daemon);
        const bool known =
            holder.daemon.empty() ||
            (member && member->record.incarnation == holder.incarnation);
        if (!known && wanted.count(it.key.substr(holder_prefix.size())) > 0)
            return links_.registry.refresh();
    }
    return true;
}

void worker_leases::acquire_hosts(const std::set<std::string>& wanted)
{
    next_acquire_ = links_.clock.now() + acquire_interval;
    const auto rows = links_.table.scan_all(holder_prefix);
    if (!rows || !know_holders(wanted, *rows))
        return;
    std::map<std::string, ports::row> found;
    for (const auto& it : *rows)
        found[it.key] = it;
    std::vector<std::pair<std::string, std::uint64_t>> group;
    std::set<std::string> dead;
    for (const auto& name : wanted)
    {
        const auto row = found[holder_key(name)];
        const auto holder = parse_holder(row.value).value_or(holder_record{});
        if (!may_acquire(holder))
            continue;
        if (!holder.daemon.empty() && links_.view.has_failed(holder.daemon))
            dead.insert(holder.daemon);
        group.emplace_back(name, row.version);
        if (group.size() == holders_per_transaction)
        {
            commit_holders(group, dead);
            group.clear();
            dead.clear();
        }
    }
    if (!group.empty())
        commit_holders(group, dead);
}

/// Acquires the hosts and fences the dead daemons that held them, in one
/// transaction.
bool worker_leases::commit_holders(
    const std::vector<std::pair<std::string, std::uint64_t>>& group,
    const std::set<std::string>& dead)
{
    ports::transaction change;
    change.id = base::unique_id();
    const auto value = to_row(
        holder_record{links_.registry.name(), links_.registry.incarnation()});
    for (const auto& [name, version] : group)
    {
        change.checks.push_back({holder_key(name), version});
        change.puts.push_back({holder_key(name), value});
    }
    for (const auto& name : dead)
    {
        // The check proves what the copy of the member rows says: the daemon
        // may have registered since.
        const auto member = links_.registry.find(name);
        change.checks.push_back(
            {member_key(name), member ? member->version : 0});
        if (!member || member->record.fenced)
            continue;
        auto fenced = member->record;
        fenced.fenced = true;
        change.puts.push_back({member_key(name), to_row(fenced)});
    }
    // Peers that act without the table rely on not being fenced during a
    // freeze.
    if (!dead.empty() && !links_.freeze.begin_change())
        return false;
    const auto result = ports::commit_resolved(links_.table, change,
                                               holder_key(group.front().first));
    if (!dead.empty())
        links_.freeze.end_change(result.state != commit_state::unknown);
    if (result.state == commit_state::unknown)
    {
        for (const auto& [name, version] : group)
            in_doubt_.insert(name);
    }
    if (result.state != commit_state::committed)
        return false;
    const auto now = links_.clock.now();
    const std::scoped_lock lock(mutex_);
    for (const auto& [name, version] : group)
    {
        auto it = std::make_shared<entry>();
        it->host = name;
        it->holder_version = result.revision;
        it->acquired_at = now;
        it->next_call_at = now;
        entries_[name] = it;
    }
    base::log_event(base::log_level::info, "leases", "hosts_acquired",
                    {{"count", group.size()}, {"fenced", dead.size()}});
    return true;
}

void worker_leases::release_hosts(const std::vector<std::string>& names)
{
    next_acquire_ = links_.clock.now() + acquire_interval;
    for (std::size_t n = 0; n < names.size(); n += holders_per_transaction)
    {
        const auto last = std::min(n + holders_per_transaction, names.size());
        release_group({names.begin() + static_cast<std::ptrdiff_t>(n),
                       names.begin() + static_cast<std::ptrdiff_t>(last)});
    }
}

void worker_leases::release_group(const std::vector<std::string>& names)
{
    ports::transaction change;
    change.id = base::unique_id();
    for (const auto& name : names)
    {
        const auto it = find(name);
        if (!it)
            continue;
        {
            const std::scoped_lock lock(it->mutex);
            it->dropped = true;
            it->lease.clear();
        }
        change.checks.push_back({holder_key(name), it->holder_version});
        change.puts.push_back({holder_key(name), to_row(holder_record{})});
    }
    if (change.checks.empty())
        return;
    const auto result =
        ports::commit_resolved(links_.table, change, change.checks.front().key);
    if (result.state == commit_state::committed)
        return forget_hosts(names);
    // After a conflict, only the hosts whose rows have changed are lost. The
    // other rows still name this daemon: if it forgot those hosts, no daemon
    // would acquire them.
    std::vector<std::string> lost;
    for (const auto& it : result.conflicts)
        lost.push_back(it.key.substr(holder_prefix.size()));
    forget_hosts(lost);
}

void worker_leases::forget_hosts(const std::vector<std::string>& names)
{
    for (const auto& name : names)
    {
        {
            const std::scoped_lock lock(mutex_);
            entries_.erase(name);
        }
        if (released_)
            released_(name);
    }
}

/// Resolves acquisitions with an unknown outcome: releases each host whose row
/// names this daemon although it neither holds the host nor is assigned it.
void worker_leases::release_in_doubt(const std::set<std::string>& wanted)
{
    const auto names = in_doubt_;
    for (const auto& name : names)
    {
        const auto row = links_.table.read(holder_key(name));
        if (!row)
            return;
        const bool is_orphaned = names_this_daemon(parse_holder(row->value)) &&
                                 find(name) == nullptr &&
                                 wanted.count(name) == 0;
        if (is_orphaned)
        {
            const ports::transaction change{
                base::unique_id(),
                {{holder_key(name), row->version}},
                {{holder_key(name), to_row(holder_record{})}},
                {}};
            const auto result =
                ports::commit_resolved(links_.table, change, holder_key(name));
            if (result.state == commit_state::unknown)
                return;
        }
        in_doubt_.erase(name);
    }
}

std::optional<bool>
worker_leases::is_still_holder(const std::string& host) const
{
    const auto row = links_.table.read(holder_key(host));
    if (!row)
        return std::nullopt;
    return names_this_daemon(parse_holder(row->value));
}

bool worker_leases::names_this_daemon(
    const std::optional<holder_record>& holder) const
{
    return holder && holder->daemon == links_.registry.name() &&
           holder->incarnation == links_.registry.incarnation();
}

void worker_leases::drop_all()
{
    std::vector<std::string> names;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& [name, it] : entries_)
        {
            const std::scoped_lock entry_lock(it->mutex);
            it->dropped = true;
            it->lease.clear();
            names.push_back(name);
        }
        entries_.clear();
    }
    // The listener discards queued reports, which would otherwise replace the
    // reports of the next holder.
    for (const auto& it : names)
    {
        if (released_)
            released_(it);
    }
}

std::vector<std::string> worker_leases::release_all()
{
    std::vector<std::string> names;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& [name, it] : entries_)
            names.push_back(name);
    }
    release_hosts(names);
    return names;
}

} // namespace mustardwick::coordination
