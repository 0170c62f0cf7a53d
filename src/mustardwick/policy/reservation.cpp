#include "round.hpp"

#include <algorithm>

#include "host_choice.hpp"

namespace mustardwick::policy
{

namespace
{

/// Maximum number of jobs for which a reservation is attempted in one round.
constexpr int reservation_attempts = 4;

/// Maximum number of jobs tried on reserved hosts in one round.
constexpr int max_backfill_attempts = 64;

/// Hosts considered for a reservation beyond two per task to start.
constexpr std::size_t spare_hosts = 32;

/// Delay after failed reservation attempts. An attempt scans all hosts, which
/// is too costly for every round.
constexpr milliseconds reservation_retry_interval{100};

/// Run time assumed for work without a declared or learned one.
constexpr milliseconds default_run_time{600'000};

struct reservable_host
{
    int slot = -1;
    int units = 0;
    /// Dominant share of the host that batch and gang tasks use.
    double busy = 0;
    /// Time when the units are expected to fit.
    steady_time free;
};

/// @brief Returns the expected end of a task. A task past its run time bound is
/// assumed to run for as long again as it has already run.
steady_time expected_end(const round& it, const host_task& task)
{
    auto expected = it.state.usage.run_time_bound(*task.job->value);
    if (expected.count() <= 0)
        expected = default_run_time;
    const auto end = task.task->started + expected;
    return end > it.now ? end : it.now + (it.now - task.task->started);
}

/// @brief Returns the time when an amount is expected to be free on a host.
steady_time free_at(const round& it, const host_slot& slot,
                    const resources& needed)
{
    std::vector<std::pair<steady_time, resources>> ends;
    for (const auto& task : slot.tasks)
        if (task.job->value->kind != work_kind::service)
            ends.emplace_back(expected_end(it, task), task.job->value->size);
    std::ranges::sort(ends, {},
                      [](const auto& end)
                      {
                          return end.first;
                      });
    auto space = slot.capacity() - slot.used - slot.claimed;
    auto time = it.now;
    for (const auto& [end, size] : ends)
    {
        if (needed.fits_in(space))
            break;
        space += size;
        time = end;
    }
    return time;
}

/// @brief Keeps the least busy hosts and sorts them by the time when they are
/// expected to be free. That time is costly, so it is computed for the kept
/// hosts only.
void keep_earliest(const round& it, const job_entry& work,
                   std::vector<reservable_host>& hosts)
{
    const auto kept = std::size_t(work.shape.units) * 2 + spare_hosts;
    std::ranges::sort(hosts, {},
                      [](const auto& host)
                      {
                          return std::pair(host.busy, host.slot);
                      });
    if (hosts.size() > kept)
        hosts.resize(kept);
    for (auto& host : hosts)
        host.free = free_at(it, it.state.slots[host.slot],
                            times(work.value->size, host.units));
    std::ranges::sort(hosts, {},
                      [](const auto& host)
                      {
                          return std::pair(host.free, host.slot);
                      });
}

/// @brief Returns hosts that could run tasks of a job once their batch and gang
/// tasks have ended, the earliest first.
std::vector<reservable_host> reservable_hosts(const round& it,
                                              const job_entry& work)
{
    std::vector<reservable_host> found;
    for (const auto& domain : it.state.domains)
        for (const auto index : domain.slots)
        {
            const auto& slot = it.state.slots[index];
            if (!slot.open())
                continue;
            const auto space =
                slot.capacity() - slot.used_by_services - slot.claimed;
            const auto units = units_in(at_least_zero(space), work.value->size);
            if (units == 0 || !work.value->size.fits_in(space))
                continue;
            const auto busy = slot.used - slot.used_by_services;
            found.push_back(
                {index, int(std::min<std::int64_t>(units, work.shape.units)),
                 dominant_share(busy, slot.capacity()), it.now});
        }
    keep_earliest(it, work, found);
    return found;
}

std::optional<job_reservation> build_reservation(const round& it,
                                                 job_entry& work)
{
    job_reservation made{&work, {}, it.now};
    int missing = work.shape.units;
    for (const auto& host : reservable_hosts(it, work))
    {
        if (missing == 0)
            break;
        const int units = std::min(host.units, missing);
        missing -= units;
        made.units[host.slot] = units;
        made.start = std::max(made.start, host.free);
    }
    return missing == 0 ? std::optional(std::move(made)) : std::nullopt;
}

bool may_reserve(const round& it, const job_entry& work)
{
    if (!work.queued || it.removed.contains(&work))
        return false;
    const auto waited = it.now - work.value->submitted;
    return waited >= it.limits.reserve_after;
}

/// @brief Returns the classes whose jobs may get the reservation now.
std::vector<priority_class> reserving_classes(const cell::state& state)
{
    const auto* holder = state.reservation.job;
    if (holder == nullptr)
        return {priority_class::urgent, priority_class::normal,
                priority_class::best_effort};
    if (holder->value->priority != priority_class::urgent)
        return {priority_class::urgent};
    return {};
}

/// @brief Returns jobs of a class that have waited long enough for a
/// reservation, in queue order.
std::vector<job_entry*> long_waiting_jobs(const round& it,
                                          priority_class priority)
{
    std::vector<queue_place> places;
    for (const auto& [name, team] : it.state.teams)
        team.queues[int(priority)].heads().visit_first(
            reservation_attempts,
            [&](const queue_head& head)
            {
                const auto& work = *head.place.job;
                if (may_reserve(it, work) && within_team_limit(work))
                    places.push_back(head.place);
            });
    std::sort(places.begin(), places.end());
    std::vector<job_entry*> found(places.size());
    std::ranges::transform(places, found.begin(), &queue_place::job);
    return found;
}

/// @brief Returns whether a job fits now, with the reserved space counted as
/// free.
bool fits_with_reservation(const cell::state& state, const job_entry& work)
{
    const auto& size = work.value->size;
    std::int64_t missing = work.shape.units;
    for (const auto& [index, units] : state.reservation.units)
    {
        const auto& slot = state.slots[index];
        const auto space = at_least_zero(slot.free() + slot.reserved);
        missing -= std::min(units_in(space, size), missing);
    }
    for (const auto& domain : state.domains)
        domain.free.visit(
            size, 0,
            [&](std::size_t leaf)
            {
                if (state.reservation.units.contains(domain.slots[leaf]))
                    return missing > 0;
                missing -=
                    std::min(units_in(domain.free.at(leaf), size), missing);
                return missing > 0;
            });
    return missing <= 0;
}

bool reservation_is_valid(const cell::state& state)
{
    const auto& work = *state.reservation.job;
    std::int64_t reserved = 0;
    for (const auto& [index, units] : state.reservation.units)
    {
        if (!state.slots[index].open())
            return false;
        reserved += units;
    }
    return work.queued && reserved == work.shape.units;
}

} // namespace

void place_reserved_job(round& it)
{
    auto& state = it.state;
    if (state.reservation.job == nullptr)
        return;
    if (!reservation_is_valid(state))
        return state.release_reservation();
    auto& work = *state.reservation.job;
    if (!within_team_limit(work) || !fits_with_reservation(state, work))
        return;
    state.release_reservation();
    for (int i = work.shape.units; i > 0; --i)
        if (const auto slot = choose_host(state, work, it.now))
            it.place_first(work, *slot);
}

void reserve_for_blocked(round& it)
{
    if (!it.limits.reserve || it.full() || it.now < it.state.next_reservation)
        return;
    int attempts = 0;
    for (const auto priority : reserving_classes(it.state))
        for (auto* work : long_waiting_jobs(it, priority))
        {
            if (auto made = build_reservation(it, *work))
                return it.state.make_reservation(std::move(*made));
            if (++attempts >= reservation_attempts)
                break;
        }
    if (attempts > 0)
        it.state.next_reservation = it.now + reservation_retry_interval;
}

bool round::may_backfill() const
{
    return state.reservation.job != nullptr && now < state.reservation.start &&
           backfill_attempts < max_backfill_attempts;
}

std::optional<int> choose_backfill(round& it, const job_entry& work)
{
    const auto& reservation = it.state.reservation;
    if (!it.may_backfill() || reservation.job == &work ||
        work.value->kind != work_kind::batch)
        return std::nullopt;
    ++it.backfill_attempts;
    const auto run_time = it.state.usage.expected_run_time(*work.value);
    if (run_time.count() <= 0 || it.now + run_time > reservation.start)
        return std::nullopt;
    for (const auto& [index, units] : reservation.units)
    {
        const auto& slot = it.state.slots[index];
        if (slot.open() &&
            work.value->size.fits_in(slot.free() + slot.reserved))
            return index;
    }
    return std::nullopt;
}

} // namespace mustardwick::policy
