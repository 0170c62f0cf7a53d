#include <algorithm>
#include <vector>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/call_times.hpp"
#include "mustardwick/dispatch/planner.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

constexpr milliseconds lease_check_interval{20};
/// A lease is stored once its worker has been silent for this long after a
/// renewal has failed, so that a connection that breaks now and then costs no
/// transaction.
constexpr milliseconds min_silence{300};
/// The same of a worker that has not answered this leader yet.
constexpr milliseconds min_silence_at_first{1000};

} // namespace

std::optional<std::int64_t> planner::lease_deadline(const std::string& id)
{
    const auto it = hosts_.find(id);
    if (it == hosts_.end() || it->second.clock_ms == 0)
        return std::nullopt;
    auto& host = it->second;
    // Attempts to reach a worker that does not answer must not lengthen its
    // lease: its runs restart elsewhere once the lease has ended. A successor
    // may already rely on the end that is stored.
    if (!host.reachable || host.lease_is_stored)
        return std::nullopt;
    host.renewed = clock_.now();
    host.calls_until =
        *host.renewed + max_renewal_time + options_.max_delivery_delay;
    host.lease_bound = std::max(host.lease_bound, longest_lease_from_now());
    return estimated_clock(host) + options_.max_lease.count();
}

milliseconds planner::renewal_wait(const std::string& id)
{
    const auto it = hosts_.find(id);
    if (it == hosts_.end())
        return max_renewal_wait;
    auto& bounds = it->second.order_bounds;
    const auto now = clock_.now();
    const auto next = bounds.lower_bound(now);
    if (next != bounds.begin())
    {
        bounds.erase(bounds.begin(), next);
        return milliseconds(0);
    }
    if (next == bounds.end())
        return max_renewal_wait;
    const auto left = std::chrono::floor<milliseconds>(*next - now);
    return std::min(max_renewal_wait, left + milliseconds(1));
}

milliseconds planner::lease_life(milliseconds granted)
{
    // A worker's clock may be 2 % slow.
    return granted * 100 / 98 + milliseconds(100);
}

milliseconds planner::longest_lease() const
{
    return lease_life(options_.max_lease);
}

void planner::count_granted_lease(host_state& host, std::int64_t granted_ms)
{
    const milliseconds granted(
        std::clamp<std::int64_t>(granted_ms, 0, options_.max_lease.count()));
    host.lease_bound =
        std::max(host.lease_bound, clock_.now() + lease_life(granted));
}

planner::time_point planner::longest_lease_from_now() const
{
    return clock_.now() + longest_lease();
}

void planner::handle_expired_leases()
{
    const auto now = clock_.now();
    if (now < next_lease_check_)
        return;
    next_lease_check_ = now + lease_check_interval;
    for (auto& [id, host] : hosts_)
    {
        const bool is_silent = !host.reachable && !host.runs.empty();
        if (!is_silent)
            host.silent_since.reset();
        else if (!host.silent_since)
            host.silent_since = now;
        if (is_silent && now > host.lease_bound)
        {
            give_up_runs(host);
        }
    }
}

void planner::give_up_runs(host_state& host)
{
    std::vector<run_key> keys;
    for (const auto& [key, it] : host.runs)
        if (clock_.now() > latest_end(host, it))
            keys.push_back(key);
    if (keys.empty())
        return;
    log_event(log_level::warning, "planner", "lease_lapsed",
              {{"worker", host.info.id},
               {"runs", keys.size()},
               {"kept_runs", host.runs.size() - keys.size()},
               {"incarnation_start_ms", host.incarnation_start_ms},
               {"renewed_ms_ago", milliseconds_since(host.renewed)},
               {"reported_ms_ago", milliseconds_since(host.reported)},
               {"clock_ms", estimated_clock(host)}});
    for (const auto& key : keys)
    {
        const auto& it = host.runs.at(key);
        log_event(log_level::info, "planner", "run_given_up",
                  {{"task", to_string(key.first)},
                   {"run", key.second},
                   {"worker", host.info.id},
                   {"ordered_ms_ago", milliseconds_since(it.ordered)},
                   {"accepted_clock_ms", it.started_clock_ms},
                   {"deadline_ms", it.order_expiry_ms},
                   {"listed", int(it.listed_in != 0)}});
        host.given_up.emplace(key, clock_.now());
    }
    for (const auto& key : keys)
        run_lost(host, key, "the lease has expired");
}

std::int64_t
planner::milliseconds_since(const std::optional<time_point>& time) const
{
    if (!time)
        return -1;
    return std::chrono::duration_cast<milliseconds>(clock_.now() - *time)
        .count();
}

bool planner::is_lease_lapsing(const host_state& host,
                               const lease_storing& how) const
{
    const auto now = clock_.now();
    const auto usual = host.adopted ? min_silence : min_silence_at_first;
    const auto silence = how.hands_over ? milliseconds(0) : usual;
    // While the host was suspended its clock stood still. A reading after the
    // last renewal converts the end of the lease all the same.
    return !host.reachable && !host.runs.empty() && host.silent_since &&
           now - *host.silent_since >= silence &&
           how.clock_read >= *host.silent_since &&
           host.info.id.size() <= max_lapsing_worker_bytes;
}

bool planner::has_lease_changes(const lease_storing& how) const
{
    std::size_t stored = 0;
    bool has_new = false;
    bool has_old = false;
    for (const auto& [id, host] : hosts_)
    {
        const bool is_lapsing = is_lease_lapsing(host, how);
        stored += host.lease_is_stored ? 1 : 0;
        has_new = has_new || (is_lapsing && !host.lease_is_stored);
        has_old = has_old || (!is_lapsing && host.lease_is_stored);
    }
    return has_old || (has_new && stored < max_lapsing_leases);
}

std::vector<lapsing_lease>
planner::store_lapsing_leases(const lease_storing& how)
{
    std::vector<lapsing_lease> out;
    leases_in_flight_.clear();
    for (auto& [id, host] : hosts_)
    {
        if (!is_lease_lapsing(host, how) || out.size() >= max_lapsing_leases)
            continue;
        if (!host.stored_lease_end_ms)
            host.stored_lease_end_ms = how.to_store(host.lease_bound);
        if (!host.stored_calls_end_ms)
            host.stored_calls_end_ms = how.to_store(host.calls_until);
        // From now on, as the transaction may be carried out without an answer.
        host.lease_is_stored = true;
        leases_in_flight_.insert(id);
        out.push_back({id, host.incarnation_start_ms, *host.stored_lease_end_ms,
                       *host.stored_calls_end_ms});
    }
    return out;
}

void planner::lapsing_leases_stored()
{
    for (auto& [id, host] : hosts_)
        if (host.lease_is_stored && !leases_in_flight_.contains(id))
        {
            host.lease_is_stored = false;
            host.stored_lease_end_ms.reset();
            host.stored_calls_end_ms.reset();
            placement_due_ = true;
        }
}

void planner::restore_lapsing_lease(const lapsing_lease& lease,
                                    time_point bound, time_point calls_bound)
{
    const auto it = hosts_.find(lease.worker);
    if (it == hosts_.end())
        return;
    auto& host = it->second;
    if (host.adopted || host.runs.empty() ||
        host.incarnation_start_ms != lease.incarnation_start_ms)
        return;
    if (calls_bound < host.calls_until)
    {
        host.calls_until = calls_bound;
        host.stored_calls_end_ms = lease.calls_end_ms;
    }
    if (bound >= host.lease_bound)
        return;
    host.lease_bound = bound;
    // A chain of leaders must not postpone the end by the inaccuracy of each
    // conversion.
    host.stored_lease_end_ms = lease.end_ms;
    log_event(log_level::info, "planner", "lapsing_lease_restored",
              {{"worker", lease.worker},
               {"ends_in_ms",
                std::chrono::duration_cast<milliseconds>(bound - clock_.now())
                    .count()}});
}

} // namespace mustardwick::dispatch
