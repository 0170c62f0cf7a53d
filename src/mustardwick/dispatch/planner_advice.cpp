#include <algorithm>

#include "mustardwick/base/log.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Time from the arrival of an answer to the placement that it allows.
constexpr milliseconds placement_delay{150};
/// A query covers only hosts with free capacity if they are expected to provide
/// this many times what is needed; a smaller amount would be taken before the
/// answer arrives.
constexpr double capacity_margin = 1.3;
/// A task is small when at least this many fit on a host.
constexpr int small_tasks_per_host = 6;
/// Delay after a query that was not answered.
constexpr milliseconds query_retry_delay{150};
/// Interval at which a gang step that needs no query examines all hosts again;
/// between these checks it examines those with tickets.
constexpr milliseconds query_check_interval{50};
/// After this time without a channel, a step takes its turn regardless of its
/// urgency.
constexpr milliseconds channel_patience{1000};

} // namespace

bool planner::can_use_advice(const ready_step& step)
{
    auto& state = step.state();
    const auto now = clock_.now();
    // A search over all hosts is useful only with tickets or a free channel;
    // otherwise each round would search all hosts for every step of a backlog
    // of thousands.
    if (state.open_queries > 0)
        ++round_.awaiting_advice;
    return may_query(step) || state.tickets_until > now + ticket_reserve;
}

bool planner::may_query(const ready_step& step) const
{
    const auto& state = step.state();
    return advice_.free > 0 && state.open_queries == 0 &&
           state.next_query <= clock_.now();
}

/// @brief What a query has to find.
struct planner::query_need
{
    /// Tasks that still need a host; 0 when no query is needed.
    int tasks = 0;
    /// Expected share of the hosts that is allowed.
    double share = 1.0;
};

planner::query_need planner::narrow_query(const ready_step& step,
                                          std::vector<candidate>& unknown,
                                          const query_need& whole) const
{
    const int missing = whole.tasks;
    // Expected number of tasks that fit now, and the numbers of tasks that fit
    // now or soon on hosts known to be allowed.
    double likely = 0;
    int now = 0;
    int soon = 0;
    for (const auto& it : unknown)
    {
        const bool known = it.was_allowed;
        likely += (known ? 1.0 : whole.share) * std::min(it.slots, missing);
        now += known ? it.slots : 0;
        soon += known ? potential_slots(*it.host, step) : 0;
    }
    if (likely >= missing * capacity_margin)
    {
        std::erase_if(unknown,
                      [](const candidate& it)
                      {
                          return it.slots == 0;
                      });
        return whole;
    }
    if (now >= missing)
    {
        // Only the tickets have to be renewed.
        std::erase_if(unknown,
                      [&](const candidate& it)
                      {
                          return it.slots == 0 || !it.was_allowed;
                      });
        return {missing, 1.0};
    }
    // No query is needed: the capacity reserved on allowed hosts becomes free,
    // and the other hosts are full too.
    if (soon >= missing)
        return {};
    std::erase_if(unknown,
                  [&](const candidate& it)
                  {
                      return it.was_allowed;
                  });
    return {missing - soon, whole.share};
}

void planner::query_advice(const ready_step& step,
                           std::vector<candidate> unknown, int missing)
{
    if (!may_query(step))
    {
        if (advice_.free == 0)
            want_channel(step);
        return;
    }
    query_need need{missing, allowed_share_[step.queue->name].value()};
    if (step.may_reserve())
        need = narrow_query(step, unknown, need);
    if (need.tasks == 0)
    {
        step.state().next_query = clock_.now() + query_check_interval;
        return;
    }
    const auto channels = usable_channels(step);
    if (channels == 0)
    {
        want_channel(step);
        return;
    }
    const auto size = charged_size(step.spec()).millicpus;
    const bool is_small =
        !unknown.empty() && size * small_tasks_per_host <=
                                unknown.front().host->info.capacity.millicpus;
    // Hosts that were allowed before come first, since they will be allowed
    // again; then those with the most free capacity.
    std::stable_sort(unknown.begin(), unknown.end(),
                     [&](const auto& left, const auto& right)
                     {
                         if (left.was_allowed != right.was_allowed)
                             return left.was_allowed;
                         if (left.preference() != right.preference())
                             return left.preference() < right.preference();
                         // Small tasks fill up used hosts, so that large gaps
                         // remain for large tasks.
                         if (is_small)
                             return left.host->free().millicpus <
                                    right.host->free().millicpus;
                         return left.slots > right.slots;
                     });
    std::vector<int> slots;
    slots.reserve(unknown.size());
    for (const auto& it : unknown)
        slots.push_back(std::max(1, it.slots));
    const auto wanted = policy::hosts_to_query(slots, need.tasks, need.share);
    const auto queries = policy::advice_queries_for(wanted, channels);
    const auto n = std::min(wanted, queries * policy::max_hosts_per_query);
    for (std::size_t it = 0; it < queries; ++it)
    {
        // Distributes the ranked hosts evenly over the queries.
        std::vector<std::string> workers;
        for (std::size_t host = it; host < n; host += queries)
            workers.push_back(unknown[host].host->info.id);
        send_query(step, std::move(workers));
    }
}

std::int64_t planner::expected_query_ms(const ready_step& step,
                                        std::size_t hosts)
{
    const auto& cost = *step.queue->advice;
    return std::int64_t(cost.base_ms + cost.per_host_ms * double(hosts));
}

std::size_t planner::usable_channels(const ready_step& step) const
{
    if (expected_query_ms(step, policy::hosts_per_query) <= long_query_ms)
        return advice_.free;
    const auto n = std::min(advice_.free, advice_.free_for_long);
    const bool is_kept = long_query_by_age_ &&
                         round_longest_waiting_ != nullptr &&
                         round_longest_waiting_ != &step.state();
    return is_kept && n > 0 ? n - 1 : n;
}

void planner::want_channel(const ready_step& step) const
{
    auto& state = step.state();
    if (state.open_queries == 0 && state.next_query <= clock_.now())
        state.channel_wanted_since =
            state.channel_wanted_since.value_or(clock_.now());
}

void planner::find_longest_waiting(std::span<const ready_step> steps)
{
    round_longest_waiting_ = nullptr;
    const auto now = clock_.now();
    for (const auto& it : steps)
    {
        const auto& state = it.state();
        const auto& since = state.channel_wanted_since;
        const bool is_waiting =
            since && now - *since >= channel_patience && state.held &&
            state.held->reason == hold_reason::no_free_channel &&
            !is_busy(it.queue->service);
        if (is_waiting &&
            (round_longest_waiting_ == nullptr ||
             *since < *round_longest_waiting_->channel_wanted_since))
            round_longest_waiting_ = &state;
    }
}

void planner::hold_hosts(const advice_query& query)
{
    const auto until =
        clock_.now() + milliseconds(query.expected_ms) + placement_delay;
    for (const auto& id : query.workers)
    {
        auto& host = hosts_.at(id);
        host.held_for = query.job;
        host.held_until = until;
    }
}

void planner::send_query(const ready_step& step,
                         std::vector<std::string> workers)
{
    advice_query query;
    query.job = step.job->specification.id;
    query.job_number = step.job->number;
    query.occurrence = step.occurrence();
    query.step = step.step;
    const auto n = workers.size();
    query.workers = std::move(workers);
    query.expected_ms = expected_query_ms(step, n);
    if (advice_.free == 0 || (query.is_long() && advice_.free_for_long == 0))
    {
        want_channel(step);
        return;
    }
    --advice_.free;
    if (query.is_long())
    {
        --advice_.free_for_long;
        long_query_by_age_ = !long_query_by_age_;
    }
    if (round_longest_waiting_ == &step.state())
        round_longest_waiting_ = nullptr;
    step.state().channel_wanted_since.reset();
    ++step.state().open_queries;
    if (step.spec().is_gang)
        hold_hosts(query);
    metrics_.add("mustardwick_advice_questions_total");
    metrics_.add("mustardwick_advice_hosts_total", n);
    outbox_.queries.push_back(std::move(query));
}

void planner::advice_answered(const advice_query& query,
                              std::optional<std::vector<advice_ticket>> allowed,
                              time_point sent_at)
{
    // The channel is free again.
    placement_due_ = true;
    auto* job = find_job(query.job, query.job_number);
    auto* state = job == nullptr
                      ? nullptr
                      : find_step({query.job, query.occurrence, query.step, 0});
    if (state == nullptr)
    {
        metrics_.add("mustardwick_advice_answers_discarded_total");
        return;
    }
    --state->open_queries;
    if (!allowed)
    {
        state->next_query = clock_.now() + query_retry_delay;
        log_event(log_level::warning, "planner", "advice_query_failed",
                  {{"job", query.job}, {"step", query.step}});
        return;
    }
    const auto* queue = context_of(*job).queue;
    if (queue == nullptr || !queue->advice)
        return;
    // The advisor answers no earlier than the expected duration after the query
    // was sent; the validity of the tickets counts from then.
    const auto answered = sent_at + milliseconds(query.expected_ms);
    const auto expires = answered + milliseconds(queue->advice->valid_ms);
    std::vector<host_state*> queried;
    for (const auto& id : query.workers)
        if (const auto it = hosts_.find(id); it != hosts_.end())
            queried.push_back(&it->second);
    const auto count_allowed = [&]
    {
        return std::count_if(queried.begin(), queried.end(),
                             [&](const auto* host)
                             {
                                 return state->access.is_allowed(host->index);
                             });
    };
    const auto allowed_before = count_allowed();
    for (const auto& it : *allowed)
        if (const auto host = hosts_.find(it.worker); host != hosts_.end())
            state->access.allow(host->second.index, {it.ticket, expires});
    if (!allowed->empty())
        state->tickets_until = std::max(state->tickets_until, expires);
    allowed_share_[queue->name].record(
        queried.size() - std::size_t(allowed_before),
        std::size_t(count_allowed() - allowed_before));
    for (auto* host : queried)
        if (!state->access.is_allowed(host->index))
        {
            state->access.deny(host->index);
            if (host->held_for == query.job)
                host->held_until = {};
        }
}

} // namespace mustardwick::dispatch
