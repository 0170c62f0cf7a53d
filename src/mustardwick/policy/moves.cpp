#include "round.hpp"

#include <algorithm>
#include <tuple>

#include "host_choice.hpp"

namespace mustardwick::policy
{

namespace
{

/// Maximum number of moves at once after an idle period.
constexpr int move_burst = 16;

struct move_candidate
{
    priority_class priority = priority_class::normal;
    bool service = false;
    double loss = 0;
    job_entry* job = nullptr;
    int index = 0;
    /// The drain timeout has passed: batch tasks are moved too, and tasks are
    /// stopped even when they fit on no other host.
    bool overdue = false;

    /// Higher classes first, then services, then the least lost work.
    bool operator<(const move_candidate& other) const
    {
        return std::tuple(other.priority, other.service, loss,
                          std::string_view(job->value->id), index) <
               std::tuple(priority, service, other.loss,
                          std::string_view(other.job->value->id), other.index);
    }
};

/// @brief Returns how many moves the rate limit allows in this round.
int moves_allowed(const round& it)
{
    const auto interval = std::max(it.limits.move_interval, milliseconds(1));
    const auto earliest = it.now - interval * (move_burst - 1);
    auto& next = it.state.next_move;
    next = std::max(next, earliest);
    if (next > it.now)
        return 0;
    return int((it.now - next) / interval) + 1;
}

std::vector<move_candidate> find_candidates(round& it)
{
    std::vector<move_candidate> found;
    for (auto& [index, since] : it.state.closed)
    {
        const auto& slot = it.state.slots[index];
        const bool stays = slot.value != nullptr && slot.value->keeps_tasks;
        if (slot.tasks.empty() || stays)
            continue;
        since = since.value_or(it.now);
        const bool overdue = it.now - *since >= it.limits.drain_timeout;
        for (const auto& on_host : slot.tasks)
        {
            const auto& work = *on_host.job->value;
            if (!on_host.stopping && !it.state.started_now(on_host))
                found.push_back({work.priority, work.kind == work_kind::service,
                                 lost_work(it, on_host), on_host.job,
                                 on_host.task->id.index, overdue});
        }
    }
    return found;
}

/// @brief Claims other hosts for all tasks that a move would stop. Returns
/// false, without any claim, when they do not fit.
bool claim_places(round& it, const move_candidate& move)
{
    auto& work = *move.job;
    const auto& size = work.value->size;
    const bool gang = work.value->kind == work_kind::gang;
    // Pending tasks of the gang would have no claim, so it could not start
    // whole.
    if (gang && !work.pending.empty())
        return false;
    const auto indexes = gang ? work.running : std::set{move.index};
    if (!fits_together(it.state, size, int(indexes.size())))
        return false;
    for (const auto index : indexes)
        it.state.make_claim({work.value->id, index},
                            *choose_host(it.state, work, it.now));
    return true;
}

/// @brief Returns whether a replica of a service is being moved; only one is
/// moved at a time.
bool is_moving(const job_entry& work)
{
    return !work.pending.empty() || !work.claimed.empty();
}

bool try_move(round& it, const move_candidate& move)
{
    auto& work = *move.job;
    const bool gang = work.value->kind == work_kind::gang;
    const int tasks = gang ? int(work.running.size()) : 1;
    if (it.removed.contains(&work) && (gang || move.service))
        return false;
    if (!move.overdue && (!move.service || is_moving(work)))
        return false;
    if (!it.may_remove(tasks))
        return false;
    if (!claim_places(it, move) && !move.overdue)
        return false;
    it.remove(work, move.index, removal_reason::host_leaving);
    return true;
}

} // namespace

void drain_leaving_hosts(round& it)
{
    if (!it.limits.move || it.state.closed.empty())
        return;
    int allowed = moves_allowed(it);
    if (allowed == 0)
        return;
    auto candidates = find_candidates(it);
    std::sort(candidates.begin(), candidates.end());
    for (const auto& move : candidates)
    {
        if (allowed == 0)
            break;
        if (!try_move(it, move))
            continue;
        --allowed;
        it.state.next_move += it.limits.move_interval;
    }
}

} // namespace mustardwick::policy
