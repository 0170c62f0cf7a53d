#include "round.hpp"

#include <algorithm>
#include <utility>

namespace mustardwick::policy
{

namespace
{

bool fits_empty_cell(cell::state& state, const job_shape& shape)
{
    const auto known = state.possible.find(shape);
    if (known != state.possible.end())
        return known->second;
    std::int64_t missing = shape.units;
    for (const auto& [name, host] : state.hosts)
        if (shape.size.fits_in(host.capacity))
            missing -= std::min(units_in(host.capacity, shape.size), missing);
    return state.possible[shape] = missing <= 0;
}

const char* reason_to_reject(cell::state& state, const job_entry& work)
{
    const auto& wanted = *work.value;
    const bool gang = wanted.kind == work_kind::gang;
    if (!is_valid(wanted.size))
        return "a task has a negative size; declare amounts of 0 or more";
    if (!fits_empty_cell(state, {wanted.size, work_kind::batch, 1, 0}))
        return "a task is larger than the capacity of any host; declare a "
               "smaller size";
    if (!gang)
        return nullptr;
    const auto total = times(wanted.size, wanted.tasks);
    if (!within_limit(total, work.team->value.limit))
        return "the tasks together exceed the team's upper limit; use fewer "
               "tasks or raise the limit";
    if (!fits_empty_cell(state,
                         {wanted.size, work_kind::gang, wanted.tasks, 0}))
        return "the tasks together exceed the capacity of the cell; use fewer "
               "tasks";
    return nullptr;
}

} // namespace

void reject_impossible(round& it)
{
    // Without any known host, every job would look impossible.
    if (it.state.hosts.empty())
        return;
    for (const auto& id : std::exchange(it.state.unchecked, {}))
    {
        auto* work = it.state.entry(id);
        if (work == nullptr || !work->running.empty())
            continue;
        const auto* reason = reason_to_reject(it.state, *work);
        if (reason == nullptr)
            continue;
        work->rejected = true;
        it.state.requeue(*work);
        it.result.rejections.push_back({id, reason});
    }
}

} // namespace mustardwick::policy
