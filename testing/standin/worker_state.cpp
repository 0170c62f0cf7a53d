#include "testing/standin/worker_state.hpp"

#include <utility>

#include "mustardwick/base/identity.hpp"
#include "testing/standin/task_payload.hpp"

namespace mustardwick::testing
{

using wire::attempt_event;

namespace
{

/// Bounds the memory of a worker under sustained load.
constexpr std::size_t max_completed_requests = 50'000;

} // namespace

const char* name_of(attempt_event outcome)
{
    switch (outcome)
    {
    case attempt_event::running:
        return "running";
    case attempt_event::finished:
        return "finished";
    case attempt_event::failed:
        return "failed";
    case attempt_event::stopped:
        return "stopped";
    case attempt_event::lost:
        break;
    }
    return "lost";
}

worker_state::worker_state(worker_identity identity, const base::clock& time,
                           event_log& events)
    : identity_(std::move(identity)), clock_(time), event_log_(events)
{
    event_log_.write(clock_.now(),
                     event("worker_started")
                         .text("rack", identity_.rack)
                         .text("failure_domain", identity_.failure_domain));
}

json_object worker_state::event(const char* kind) const
{
    return json_object().text("worker", identity_.name).text("event", kind);
}

json_object worker_state::event(const char* kind,
                                const wire::start_order& order) const
{
    return event(kind)
        .text("attempt", order.attempt)
        .text("job", order.job)
        .number("index", order.index)
        .text("kind", order.kind)
        .number("millicpus", order.millicpus)
        .number("memory_mb", order.memory_mb)
        .number("accelerators", order.accelerators);
}

void worker_state::advance()
{
    const std::scoped_lock lock(mutex_);
    advance_locked();
}

void worker_state::advance_locked()
{
    const auto now = clock_.now();
    const bool expires = !lease_.empty() && lease_ends_ <= now;
    const auto limit = expires ? lease_ends_ : now;
    std::vector<std::string> due;
    for (const auto& [attempt, it] : tasks_)
    {
        if (it.ends_at && *it.ends_at <= limit)
            due.push_back(attempt);
    }
    for (const auto& it : due)
    {
        const auto& task = tasks_.at(it);
        end(it, task.fails ? attempt_event::failed : attempt_event::finished,
            "", *task.ends_at);
    }
    if (expires)
        expire_lease(lease_ends_);
}

void worker_state::expire_lease(base::steady_time at)
{
    event_log_.write(
        at,
        event("lease_lapsed").text("lease", lease_).text("holder", holder_));
    lease_.clear();
    while (!tasks_.empty())
        end(std::string(tasks_.begin()->first), attempt_event::lost,
            "lease lapsed", at);
}

bool worker_state::lease_is_open(const std::string& lease) const
{
    return !lease_.empty() && lease == lease_;
}

std::vector<wire::attempt_report> worker_state::unacknowledged_reports() const
{
    std::vector<wire::attempt_report> out;
    for (const auto& [attempt, it] : unacknowledged_reports_)
        out.push_back(it);
    return out;
}

ports::lease_state worker_state::open(const std::string& holder,
                                      std::chrono::milliseconds ttl)
{
    const std::scoped_lock lock(mutex_);
    advance_locked();
    lease_ = base::unique_id();
    issued_leases_.insert(lease_);
    holder_ = holder;
    lease_ends_ = clock_.now() + ttl;
    event_log_.write(clock_.now(), event("lease_opened")
                                       .text("lease", lease_)
                                       .text("holder", holder)
                                       .number("ttl_ms", ttl.count()));
    ports::lease_state out;
    out.lease = lease_;
    for (const auto& [attempt, it] : tasks_)
        out.running.push_back(attempt);
    for (const auto& [attempt, it] : requests_)
    {
        if (it.state == ports::attempt_state::running)
            out.requests.push_back(attempt);
    }
    out.ended = unacknowledged_reports();
    return out;
}

std::optional<ports::lease_state>
worker_state::renew(const std::string& lease, std::chrono::milliseconds ttl,
                    const std::vector<std::string>& acknowledged)
{
    const std::scoped_lock lock(mutex_);
    advance_locked();
    if (!lease_is_open(lease))
        return std::nullopt;
    lease_ends_ = clock_.now() + ttl;
    for (const auto& it : acknowledged)
        unacknowledged_reports_.erase(it);
    ports::lease_state out;
    out.lease = lease;
    out.ended = unacknowledged_reports();
    return out;
}

std::optional<ports::task_orders_result>
worker_state::order(const std::string& lease, const ports::task_orders& orders)
{
    const std::scoped_lock lock(mutex_);
    advance_locked();
    if (!lease_is_open(lease))
    {
        refuse_orders(lease, orders);
        return std::nullopt;
    }
    ports::task_orders_result out;
    for (const auto& it : orders.stops)
    {
        stop(it);
        out.stopped.push_back(it);
    }
    for (const auto& it : orders.starts)
    {
        start(it);
        out.started.push_back(it.attempt);
    }
    return out;
}

void worker_state::refuse_orders(const std::string& lease,
                                 const ports::task_orders& orders)
{
    for (const auto& it : orders.starts)
        event_log_.write(clock_.now(),
                         event("start_refused", it).text("lease", lease));
}

void worker_state::start(const wire::start_order& order)
{
    const auto now = clock_.now();
    if (!known_attempts_.insert(order.attempt).second)
        return event_log_.write(now, event("start_repeated", order));
    const auto payload = parse_task_payload(order.payload);
    task added{order, payload.fail, std::nullopt};
    if (order.kind != "service")
        added.ends_at =
            now + payload.run_time + std::chrono::milliseconds(faults_.slow_ms);
    event_log_.write(now, event("task_started", order).text("lease", lease_));
    tasks_.emplace(order.attempt, std::move(added));
    if (faults_.fail_all)
        end(order.attempt, attempt_event::failed, "the worker fails", now);
}

void worker_state::stop(const std::string& attempt)
{
    known_attempts_.insert(attempt);
    if (tasks_.contains(attempt))
        end(attempt, attempt_event::stopped, "stopped on order", clock_.now());
}

void worker_state::end(const std::string& attempt, attempt_event outcome,
                       const std::string& detail, base::steady_time at)
{
    const auto it = tasks_.find(attempt);
    event_log_.write(at, event("task_ended", it->second.order)
                             .text("how", name_of(outcome))
                             .text("detail", detail));
    unacknowledged_reports_[attempt] = {attempt, identity_.name, outcome,
                                        detail};
    tasks_.erase(it);
}

request_refusal worker_state::start_request(const std::string& lease,
                                            const std::string& attempt,
                                            const std::string& queue,
                                            const std::string& echo)
{
    const std::scoped_lock lock(mutex_);
    advance_locked();
    auto reason = request_refusal::none;
    if (!lease_is_open(lease))
        reason = request_refusal::lease_closed;
    else if (requests_.contains(attempt))
        reason = request_refusal::attempt_repeated;
    const bool refused = reason != request_refusal::none;
    event_log_.write(clock_.now(),
                     event(refused ? "request_refused" : "request_started")
                         .text("attempt", attempt)
                         .text("queue", queue)
                         .text("echo", echo)
                         .text("lease", lease));
    if (!refused)
        requests_[attempt].state = ports::attempt_state::running;
    return reason;
}

void worker_state::end_request(const std::string& attempt, int status,
                               const std::string& body)
{
    const std::scoped_lock lock(mutex_);
    requests_[attempt] = {ports::attempt_state::done, status, body};
    completed_requests_.push_back(attempt);
    event_log_.write(clock_.now(), event("request_ended")
                                       .text("attempt", attempt)
                                       .number("status", status));
    evict_old_requests();
}

void worker_state::evict_old_requests()
{
    while (completed_requests_.size() > max_completed_requests)
    {
        requests_.erase(completed_requests_.front());
        completed_requests_.pop_front();
        // The evicted request may have run under any earlier lease, so a query
        // that names one of them must get "unknown" from now on.
        issued_leases_ = {lease_};
    }
}

bool worker_state::has_issued(const std::string& lease)
{
    const std::scoped_lock lock(mutex_);
    return issued_leases_.count(lease) > 0;
}

ports::attempt_answer worker_state::attempt(const std::string& lease,
                                            const std::string& id)
{
    const std::scoped_lock lock(mutex_);
    const auto it = requests_.find(id);
    if (it != requests_.end())
        return it->second;
    if (issued_leases_.count(lease) == 0)
        return {};
    return {ports::attempt_state::never_started, 0, {}};
}

} // namespace mustardwick::testing
