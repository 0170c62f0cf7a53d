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

/// Time from an answer's arrival to the placement that it allows.
constexpr milliseconds answer_to_placement{150};
/// Hosts are asked about for their present room when it is this many times
/// what is needed; less is gone when the answer comes.
constexpr double room_margin = 1.3;
/// Tasks of which at least this many fit on a host are small.
constexpr int small_tasks_per_host = 6;
/// Pause after a question that was not answered.
constexpr milliseconds question_retry{150};

} // namespace

bool planner::can_use_advice(const ready_step& step)
{
    auto& state = step.state();
    const auto now = clock_.now();
    // A search over all hosts is of use only with tickets or a free channel;
    // without, a backlog of thousands of steps would make each round as slow.
    const bool may_ask = advice_.free > 0 && state.open_questions == 0 &&
                         state.next_question <= now;
    if (state.open_questions > 0)
        ++round_.asking;
    return may_ask || state.tickets_until > now + ticket_reserve;
}

/// @brief What a question has to find.
struct planner::question_need
{
    /// Tasks that still need a host; 0 when there is nothing to ask.
    int tasks = 0;
    /// Share of the hosts that is expected to be allowed.
    double share = 1.0;
};

planner::question_need
planner::narrow_question(const ready_step& step,
                         std::vector<candidate>& unknown,
                         const question_need& whole) const
{
    const int missing = whole.tasks;
    // Tasks that are likely to fit now, and on hosts that are known to be
    // allowed now or soon.
    double likely = 0;
    int now = 0;
    int soon = 0;
    for (const auto& it : unknown)
    {
        const bool known = step.knows(it);
        likely += (known ? 1.0 : whole.share) * std::min(it.slots, missing);
        now += known ? it.slots : 0;
        soon += known ? potential_slots(*it.host, step) : 0;
    }
    if (likely >= missing * room_margin)
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
                          return it.slots == 0 || !step.knows(it);
                      });
        return {missing, 1.0};
    }
    // Room that is reserved on known hosts becomes free; other hosts are full
    // too.
    if (soon >= missing)
        return {};
    std::erase_if(unknown,
                  [&](const candidate& it)
                  {
                      return step.knows(it);
                  });
    return {missing - soon, whole.share};
}

void planner::ask_advice(const ready_step& step, std::vector<candidate> unknown,
                         int missing)
{
    auto& state = step.state();
    if (state.open_questions > 0 || state.next_question > clock_.now() ||
        advice_.free == 0)
        return;
    question_need need{missing, allowed_share_[step.queue->name].value()};
    if (step.may_reserve())
        need = narrow_question(step, unknown, need);
    if (need.tasks == 0)
        return;
    const auto size = charged_size(step.spec()).millicpus;
    const bool is_small =
        !unknown.empty() && size * small_tasks_per_host <=
                                unknown.front().host->info.capacity.millicpus;
    // Hosts that were allowed before need no luck; then those with most room.
    std::stable_sort(unknown.begin(), unknown.end(),
                     [&](const auto& left, const auto& right)
                     {
                         const bool left_known = step.knows(left);
                         const bool right_known = step.knows(right);
                         if (left_known != right_known)
                             return left_known;
                         if (left.near_data != right.near_data)
                             return left.near_data;
                         if (left.is_held != right.is_held)
                             return right.is_held;
                         // Small tasks fill up used hosts, so that large gaps
                         // stay for large ones.
                         if (is_small)
                             return left.host->free().millicpus <
                                    right.host->free().millicpus;
                         return left.slots > right.slots;
                     });
    std::vector<int> slots;
    slots.reserve(unknown.size());
    for (const auto& it : unknown)
        slots.push_back(std::max(1, it.slots));
    const auto n = policy::hosts_to_query(slots, need.tasks, need.share);
    const auto questions = policy::advice_queries_for(n, advice_.free);
    for (std::size_t it = 0; it < questions; ++it)
    {
        // Every question gets hosts of each rank.
        std::vector<std::string> workers;
        for (std::size_t host = it; host < n; host += questions)
            workers.push_back(unknown[host].host->info.id);
        ask_question(step, std::move(workers));
    }
}

void planner::hold_hosts(const advice_question& question)
{
    const auto until =
        clock_.now() + milliseconds(question.expected_ms) + answer_to_placement;
    for (const auto& id : question.workers)
    {
        auto& host = hosts_.at(id);
        host.held_for = question.job;
        host.held_until = until;
    }
}

void planner::ask_question(const ready_step& step,
                           std::vector<std::string> workers)
{
    advice_question question;
    question.job = step.job->specification.id;
    question.occurrence = step.occurrence();
    question.step = step.step;
    const auto n = workers.size();
    question.workers = std::move(workers);
    question.expected_ms =
        std::int64_t(step.queue->advice->base_ms +
                     step.queue->advice->per_host_ms * double(n));
    if (advice_.free == 0 || (question.is_long() && advice_.free_for_long == 0))
        return;
    --advice_.free;
    if (question.is_long())
        --advice_.free_for_long;
    ++step.state().open_questions;
    if (step.spec().all_at_once)
        hold_hosts(question);
    metrics_.add("mustardwick_advice_questions_total");
    metrics_.add("mustardwick_advice_hosts_total", n);
    outbox_.questions.push_back(std::move(question));
}

void planner::advice_answered(const advice_question& question,
                              std::optional<std::vector<advice_ticket>> allowed,
                              time_point asked)
{
    auto* job = find_job(question.job);
    auto* state =
        find_step({question.job, question.occurrence, question.step, 0});
    if (job == nullptr || state == nullptr)
        return;
    --state->open_questions;
    placement_due_ = true;
    if (!allowed)
    {
        state->next_question = clock_.now() + question_retry;
        log_event(log_level::warning, "planner", "advice_not_answered",
                  {{"job", question.job}, {"step", question.step}});
        return;
    }
    const auto queue = configuration_.queues.find(job->specification.queue);
    if (queue == configuration_.queues.end() || !queue->second.advice)
        return;
    // The answer was made at the earliest when the question's time had passed.
    const auto made = asked + milliseconds(question.expected_ms);
    const auto expires = made + milliseconds(queue->second.advice->valid_ms);
    std::size_t news = 0;
    for (const auto& id : question.workers)
        if (!state->tickets.contains(id))
            ++news;
    std::size_t granted = 0;
    for (const auto& it : *allowed)
    {
        if (!state->tickets.contains(it.worker))
            ++granted;
        state->tickets[it.worker] = {it.ticket, expires};
    }
    if (!allowed->empty())
        state->tickets_until = std::max(state->tickets_until, expires);
    allowed_share_[queue->first].record(news, granted);
    for (const auto& id : question.workers)
        if (!state->tickets.contains(id))
        {
            state->denied.insert(id);
            const auto host = hosts_.find(id);
            if (host != hosts_.end() && host->second.held_for == question.job)
                host->second.held_until = {};
        }
}

} // namespace mustardwick::dispatch
