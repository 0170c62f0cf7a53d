#include <algorithm>
#include <array>

#include "mustardwick/base/log.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Steps that wait for less than this are not logged.
constexpr milliseconds min_held_time{1000};
constexpr milliseconds log_interval{1000};
constexpr std::size_t steps_per_interval = 4;
/// Interval at which the same step is logged again, so that the oldest steps
/// do not hide the others.
constexpr milliseconds step_log_interval{4000};

std::string_view name_of(hold_reason reason)
{
    constexpr std::array<std::string_view, 8> names = {
        "account_at_maximum", "deferred",         "behind_planned_steps",
        "waiting_for_advice", "no_free_channel",  "kept_for_whole_start",
        "without_capacity",   "order_outstanding"};
    return names.at(static_cast<std::size_t>(reason));
}

/// Hosts of a service by the first reason for which a step cannot use them.
struct host_counts
{
    std::size_t out_of_service = 0;
    std::size_t denied = 0;
    std::size_t suspect = 0;
    std::size_t failed = 0;
    std::size_t too_small = 0;
    std::size_t full = 0;
    std::size_t reserved = 0;
    std::size_t preempted = 0;
    std::size_t per_host = 0;
    std::size_t need_advice = 0;
    int slots = 0;
};

} // namespace

void planner::hold_back(const ready_step& step, hold_reason reason)
{
    auto& held = step.state().held;
    if (!held)
        held = held_step{clock_.now(), reason, {}};
    held->reason = reason;
}

void planner::log_held_steps(std::array<std::span<const ready_step>, 2> lists)
{
    const auto now = clock_.now();
    if (now < next_held_log_)
        return;
    next_held_log_ = now + log_interval;
    std::vector<const ready_step*> held;
    for (const auto& steps : lists)
        for (const auto& it : steps)
        {
            const auto& state = it.state().held;
            if (state && now - state->since >= min_held_time &&
                now >= state->next_log)
                held.push_back(&it);
        }
    const auto n = std::min(held.size(), steps_per_interval);
    std::partial_sort(
        held.begin(), held.begin() + std::ptrdiff_t(n), held.end(),
        [](const auto* left, const auto* right)
        {
            return left->state().held->since < right->state().held->since;
        });
    held.resize(n);
    for (const auto* it : held)
    {
        it->state().held->next_log = now + step_log_interval;
        log_held_step(*it);
    }
}

void planner::log_held_step(const ready_step& step)
{
    const auto now = clock_.now();
    const auto& held = *step.state().held;
    const auto& access = step.state().access;
    host_counts n;
    for (const auto& [id, host] : hosts_)
    {
        if (!host.listed || host.info.service != step.queue->service)
            continue;
        const auto* ticket = access.ticket(host.index);
        const int max_tasks = max_tasks_on(host, step);
        const int slots = slots_on(host, step);
        if (!is_in_service(host, step.queue->service))
            ++n.out_of_service;
        else if (access.is_denied(host.index))
            ++n.denied;
        else if (is_suspect(host) &&
                 (max_tasks == 0 || !is_usable(host, step.queue->service)))
            ++n.suspect;
        else if (has_failed_on(step, host))
            ++n.failed;
        else if (step.fit_in(host.info.capacity) == 0)
            ++n.too_small;
        else if (max_tasks == 0)
            ++n.per_host;
        else if (step.fit_in(host.free()) == 0)
            ++n.full;
        else if (step.fit_in(host.free() - host.reserved) == 0)
            ++n.reserved;
        else if (slots == 0)
            ++n.preempted;
        else if (step.queue->advice &&
                 (ticket == nullptr || ticket->expires < now + ticket_reserve))
            ++n.need_advice;
        else
            n.slots += slots;
    }
    const auto since =
        std::chrono::duration_cast<milliseconds>(now - held.since);
    log_event(log_level::info, "planner", "step_held_back",
              {{"job", step.job->specification.id},
               {"step", step.step},
               {"tasks", step.waiting},
               {"reason", name_of(held.reason)},
               {"held_ms", since.count()},
               {"open_queries", step.state().open_queries},
               {"slots", n.slots},
               {"out_of_service", n.out_of_service},
               {"denied", n.denied},
               {"suspect", n.suspect},
               {"failed", n.failed},
               {"too_small", n.too_small},
               {"full", n.full},
               {"reserved", n.reserved},
               {"preempted", n.preempted},
               {"per_host", n.per_host},
               {"need_advice", n.need_advice}});
}

} // namespace mustardwick::dispatch
