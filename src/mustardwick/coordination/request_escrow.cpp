#include "mustardwick/coordination/request_escrow.hpp"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include "mustardwick/base/identity.hpp"

namespace mustardwick::coordination
{

using ports::commit_state;

namespace
{

/// Minimum interval between two attempts to enlarge a team's part.
constexpr std::chrono::milliseconds obtain_interval{100};

std::int64_t sum_of(const escrow_record& record)
{
    return std::accumulate(record.parts.begin(), record.parts.end(),
                           std::int64_t{0},
                           [](std::int64_t sum, const auto& it)
                           {
                               return sum + it.second;
                           });
}

std::int64_t part_of(const escrow_record& record, const std::string& daemon)
{
    const auto it = record.parts.find(daemon);
    return it == record.parts.end() ? 0 : it->second;
}

} // namespace

request_escrow::request_escrow(escrow_links links,
                               std::chrono::milliseconds reclaim_after)
    : links_(std::move(links)), reclaim_after_(reclaim_after)
{
}

std::int64_t request_escrow::limit_of(const std::string& team) const
{
    const auto config = links_.config.current();
    const auto it = config->teams.find(team);
    return it == config->teams.end() ? -1 : it->second.request_limit;
}

request_escrow::account request_escrow::copy_of(const std::string& team) const
{
    const std::scoped_lock lock(mutex_);
    const auto it = accounts_.find(team);
    return it == accounts_.end() ? account{} : it->second;
}

/// Returns a team's account for the current incarnation; the caller holds
/// mutex_. The part of the previous, fenced incarnation is not used, because
/// peers may have reclaimed it.
request_escrow::account& request_escrow::own_account(const std::string& team)
{
    const auto self = links_.holders.self();
    auto& it = accounts_[team];
    if (std::exchange(it.holder, self) != self)
    {
        it.part = 0;
        it.loaded = false;
    }
    return it;
}

bool request_escrow::acquire(const std::string& team)
{
    if (limit_of(team) < 0)
    {
        // Count requests of unlimited teams too, so that a limit that is set
        // later is enforced immediately.
        const std::scoped_lock lock(mutex_);
        ++accounts_[team].in_use;
        return true;
    }
    for (int n = 0; n < 2; ++n)
    {
        {
            const std::scoped_lock lock(mutex_);
            auto& it = own_account(team);
            release_due(it);
            if (it.in_use < it.part)
            {
                ++it.in_use;
                return true;
            }
        }
        if (n == 0)
            obtain_part(team);
    }
    return false;
}

void request_escrow::release(const std::string& team)
{
    const std::scoped_lock lock(mutex_);
    auto& it = accounts_[team];
    it.in_use = std::max<std::int64_t>(0, it.in_use - 1);
}

void request_escrow::release_at(const std::string& team, base::steady_time time)
{
    const std::scoped_lock lock(mutex_);
    accounts_[team].releases.insert(time);
}

/// Releases requests of unknown outcome whose maximum run time has passed; the
/// caller holds mutex_.
void request_escrow::release_due(account& it) const
{
    const auto last = it.releases.upper_bound(links_.clock.now());
    const auto n = std::distance(it.releases.begin(), last);
    it.releases.erase(it.releases.begin(), last);
    it.in_use = std::max<std::int64_t>(0, it.in_use - n);
}

/// Reads a team's row. This can only enlarge the part: this daemon's own
/// reductions are applied in memory before they are committed.
bool request_escrow::reload(const std::string& team)
{
    const auto row = links_.table.read(escrow_key(team));
    if (!row)
        return false;
    const auto record = parse_escrow(row->value).value_or(escrow_record{});
    const std::scoped_lock lock(mutex_);
    auto& it = own_account(team);
    if (it.loaded && row->version <= it.version)
        return true;
    it.loaded = true;
    it.version = row->version;
    it.record = record;
    it.part = part_of(record, it.holder);
    return true;
}

/// Commits a team's row if it still has the expected version; the caller holds
/// write_mutex_.
bool request_escrow::write(const std::string& team, const escrow_record& next,
                           std::uint64_t expected)
{
    const auto key = escrow_key(team);
    const ports::transaction change{
        base::unique_id(), {{key, expected}}, {{key, to_row(next)}}, {}};
    const auto result = ports::commit_resolved(links_.table, change, key);
    if (result.state != commit_state::committed)
        return false;
    const std::scoped_lock lock(mutex_);
    auto& it = own_account(team);
    it.loaded = true;
    it.version = result.revision;
    it.record = next;
    it.part = part_of(next, it.holder);
    return true;
}

/// Enlarges this daemon's part: from the unallocated rest of the limit, or else
/// by a transfer of half of the largest part of a peer.
void request_escrow::obtain_part(const std::string& team)
{
    {
        const std::scoped_lock lock(mutex_);
        auto& it = accounts_[team];
        const auto now = links_.clock.now();
        if (now < it.next_obtain)
            return;
        it.next_obtain = now + obtain_interval;
    }
    const std::scoped_lock one_writer(write_mutex_);
    if (!reload(team))
        return;
    const auto known = copy_of(team);
    const auto limit = limit_of(team);
    const auto unallocated = limit - sum_of(known.record);
    if (unallocated > 0)
    {
        auto next = known.record;
        next.limit = limit;
        const auto share =
            (unallocated + 1) /
            std::max<std::int64_t>(
                1, static_cast<std::int64_t>(links_.live_members()));
        next.parts[links_.holders.self()] +=
            std::clamp<std::int64_t>(share, 1, unallocated);
        write(team, next, known.version);
        return;
    }
    const auto self = links_.holders.self();
    const auto largest = std::max_element(
        known.record.parts.begin(), known.record.parts.end(),
        [this](const auto& left, const auto& right)
        {
            const auto amount = [this](const auto& it)
            {
                return it.first == links_.holders.self() ? -1 : it.second;
            };
            return amount(left) < amount(right);
        });
    const bool has_donor = largest != known.record.parts.end() &&
                           largest->first != links_.holders.self() &&
                           largest->second > 0;
    if (!has_donor)
        return;
    const auto granted = links_.request_transfer(largest->first, team,
                                                 (largest->second + 1) / 2);
    if (granted && *granted > 0)
        reload(team);
}

std::int64_t request_escrow::transfer(const std::string& team,
                                      const std::string& receiver,
                                      std::int64_t amount)
{
    // Do not block: two daemons that request transfers from each other would
    // deadlock.
    const std::unique_lock one_writer(write_mutex_, std::try_to_lock);
    if (!one_writer.owns_lock() || !reload(team))
        return 0;
    std::int64_t granted = 0;
    account known;
    {
        const std::scoped_lock lock(mutex_);
        auto& it = own_account(team);
        release_due(it);
        granted = std::clamp<std::int64_t>(it.part - it.in_use, 0, amount);
        it.part -= granted;
        known = it;
    }
    if (granted == 0)
        return 0;
    auto next = known.record;
    next.parts[known.holder] = known.part;
    next.parts[receiver] += granted;
    // When the commit is not confirmed the part stays lowered until reload()
    // finds a newer row.
    return write(team, next, known.version) ? granted : 0;
}

void request_escrow::apply_limit(const std::string& team, std::int64_t limit)
{
    const std::scoped_lock one_writer(write_mutex_);
    if (!reload(team))
        return;
    if (sum_of(copy_of(team).record) > limit)
        lower_own_part(team, limit);
    const auto known = copy_of(team);
    const bool within_limit = sum_of(known.record) <= limit;
    if (!within_limit || known.record.limit == limit || !known.loaded)
        return;
    auto next = known.record;
    next.limit = limit;
    write(team, next, known.version);
}

/// Lowers this daemon's part in proportion to the limit, but not below its
/// number of running requests.
void request_escrow::lower_own_part(const std::string& team, std::int64_t limit)
{
    const auto before = copy_of(team);
    const auto sum = std::max<std::int64_t>(1, sum_of(before.record));
    std::int64_t next_part = 0;
    {
        const std::scoped_lock lock(mutex_);
        auto& it = accounts_[team];
        if (it.holder != before.holder)
            return;
        release_due(it);
        next_part = std::max(it.in_use, it.part * limit / sum);
        it.part = std::min(it.part, next_part);
        next_part = it.part;
    }
    auto next = before.record;
    if (part_of(next, before.holder) == next_part)
        return;
    next.parts[before.holder] = next_part;
    write(team, next, before.version);
}

void request_escrow::reclaim(const std::string& team)
{
    const std::scoped_lock one_writer(write_mutex_);
    if (!links_.holders.refresh() || !reload(team))
        return;
    const auto known = copy_of(team);
    auto next = known.record;
    for (const auto& [daemon, amount] : known.record.parts)
    {
        const auto since = terminated_since_.find(daemon);
        const bool reclaimable =
            since != terminated_since_.end() &&
            links_.holders.has_terminated(daemon) &&
            links_.clock.now() - since->second >= reclaim_after_;
        if (reclaimable)
            next.parts.erase(daemon);
    }
    if (next.parts != known.record.parts)
        write(team, next, known.version);
}

/// Obtains a part for every team with a limit before its first request, so that
/// the team's requests can run during an outage of the table.
void request_escrow::preallocate()
{
    const auto config = links_.config.current();
    for (const auto& [team, spec] : config->teams)
    {
        const bool wanted = spec.request_limit > 0 && !copy_of(team).loaded;
        if (wanted)
            obtain_part(team);
    }
}

void request_escrow::tick()
{
    preallocate();
    std::vector<std::string> teams;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& [name, it] : accounts_)
            teams.push_back(name);
    }
    for (const auto& team : teams)
    {
        const auto known = copy_of(team);
        const auto limit = limit_of(team);
        if (limit < 0)
            continue;
        if (known.record.limit != limit || sum_of(known.record) > limit)
            apply_limit(team, limit);
        bool any_due = false;
        for (const auto& [daemon, amount] : known.record.parts)
        {
            if (!links_.holders.has_terminated(daemon))
            {
                terminated_since_.erase(daemon);
                links_.holders.fence_if_dead(daemon);
            }
            else
                any_due = links_.clock.now() -
                                  terminated_since_
                                      .try_emplace(daemon, links_.clock.now())
                                      .first->second >=
                              reclaim_after_ ||
                          any_due;
        }
        if (any_due)
            reclaim(team);
    }
}

void request_escrow::release_all()
{
    std::vector<std::string> teams;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& [name, it] : accounts_)
        {
            if (it.part > 0)
                teams.push_back(name);
        }
    }
    const std::scoped_lock one_writer(write_mutex_);
    for (const auto& team : teams)
    {
        if (!reload(team))
            continue;
        auto known = copy_of(team);
        known.record.parts.erase(links_.holders.self());
        write(team, known.record, known.version);
    }
}

std::optional<escrow_record>
request_escrow::parts(const std::string& team) const
{
    const std::scoped_lock lock(mutex_);
    const auto it = accounts_.find(team);
    if (it == accounts_.end() || !it->second.loaded)
        return std::nullopt;
    return it->second.record;
}

} // namespace mustardwick::coordination
