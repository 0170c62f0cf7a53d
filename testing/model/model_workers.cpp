#include "testing/model/model_workers.hpp"

#include "mustardwick/base/error.hpp"
#include "testing/model/model_cell.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr int lease_refused_status = 409;

std::nullopt_t no_answer()
{
    return base::fail(base::error_kind::timeout, "the worker does not answer",
                      "retry");
}

std::nullopt_t lease_refused()
{
    return base::fail(base::error_kind::conflict, "the lease is closed",
                      "open a lease");
}

} // namespace

bool model_workers::reaches(const std::string& worker)
{
    cell_.pause_before_send(daemon_);
    return cell_.reaches_worker(daemon_, worker);
}

bool model_workers::answers(const std::string& worker)
{
    return cell_.reaches_worker(daemon_, worker) &&
           !cell_.take_lost_worker_answer(daemon_);
}

std::optional<ports::lease_state>
model_workers::open(const ports::worker_address& worker,
                    const std::string& holder, std::chrono::milliseconds ttl)
{
    if (!reaches(worker.name))
        return no_answer();
    auto out = cell_.worker(worker.name).open(holder, ttl);
    cell_.record_open_lease(worker.name, out.lease);
    if (!answers(worker.name))
        return no_answer();
    return out;
}

std::optional<ports::lease_state>
model_workers::renew(const ports::worker_address& worker,
                     const std::string& lease, std::chrono::milliseconds ttl,
                     const std::vector<std::string>& ended)
{
    if (!reaches(worker.name))
        return no_answer();
    auto out = cell_.worker(worker.name).renew(lease, ttl, ended);
    if (!answers(worker.name))
        return no_answer();
    if (!out)
        return lease_refused();
    return out;
}

std::optional<ports::task_orders_result>
model_workers::order(const ports::worker_address& worker,
                     const std::string& lease, const ports::task_orders& orders)
{
    if (!reaches(worker.name))
        return no_answer();
    const auto used = cell_.options().kind == defect::orders_without_lease
                          ? cell_.open_lease(worker.name)
                          : lease;
    auto out = cell_.worker(worker.name).order(used, orders);
    if (!answers(worker.name))
        return no_answer();
    if (!out)
        return lease_refused();
    return out;
}

wire::forward_answer model_workers::request(const ports::worker_address& worker,
                                            const ports::target_request& call)
{
    if (!reaches(worker.name))
        return coordination::unknown_answer("the worker does not answer");
    auto& target = cell_.worker(worker.name);
    const auto refusal =
        target.start_request(call.lease, call.attempt, call.queue, call.body);
    if (refusal != request_refusal::none)
        return {wire::outcome::refused, lease_refused_status, {}, {}, {}};
    if (cell_.take_request_left_running())
    {
        cell_.end_request_later(worker.name, call.attempt, call.timeout);
        return coordination::unknown_answer("the worker does not answer");
    }
    cell_.on_request_running();
    cell_.end_request(worker.name, call.attempt);
    if (!answers(worker.name))
        return coordination::unknown_answer("the worker does not answer");
    return {wire::outcome::done, 200, call.body, {}, {}};
}

std::optional<ports::attempt_answer>
model_workers::attempt(const ports::worker_address& worker,
                       const std::string& lease, const std::string& attempt)
{
    if (!reaches(worker.name) || !answers(worker.name))
        return no_answer();
    return cell_.worker(worker.name).attempt(lease, attempt);
}

} // namespace mustardwick::testing
