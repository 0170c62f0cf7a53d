#include "mustardwick/dispatch/planner.hpp"

namespace mustardwick::dispatch
{

std::optional<std::chrono::milliseconds>
planner::refuse_surplus(const jobs::job& specification)
{
    const auto now = clock_.now();
    const auto account = configuration_.accounts.find(specification.account);
    const auto* queue = queues_.find(specification.queue);
    if (account == configuration_.accounts.end() || queue == nullptr ||
        specification.occurrences > 0)
        return std::nullopt;
    auto& usage = usage_of(account->first);
    if (!usage.surplus)
        usage.surplus.emplace(now);
    const bool is_surplus =
        usage.share.is_exhausted(now, account->second.weight);
    if (!is_surplus || !is_full(queue->terms.service))
        return std::nullopt;
    const auto objective = objective_of(specification, queue->terms, 1.0);
    const auto refused = usage.surplus->decide(
        now, usage.waiting_surplus,
        std::chrono::milliseconds(policy::late_factor * objective));
    if (refused)
        metrics_.add("mustardwick_jobs_refused_surplus_total");
    return refused;
}

} // namespace mustardwick::dispatch
