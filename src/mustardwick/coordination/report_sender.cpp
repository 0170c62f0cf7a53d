#include "mustardwick/coordination/report_sender.hpp"

#include <chrono>
#include <utility>

namespace mustardwick::coordination
{

namespace
{

constexpr std::chrono::milliseconds retry_delay{200};

} // namespace

report_sender::report_sender(deliver_function deliver,
                             acknowledge_function acknowledge)
    : deliver_(std::move(deliver)), acknowledge_(std::move(acknowledge))
{
}

report_sender::~report_sender()
{
    stop();
}

void report_sender::start()
{
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

void report_sender::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void report_sender::merge(wire::task_events events)
{
    for (auto& it : events.attempts)
        attempts_[it.attempt] = std::move(it);
    for (auto& it : events.hosts)
    {
        last_hosts_[it.host] = it;
        auto& queued = hosts_[it.host];
        // The running attempts of a complete report that is still queued are in
        // attempts_, so the merged report is complete as well.
        it.complete =
            it.complete || (queued.complete && queued.lease == it.lease);
        queued = std::move(it);
    }
}

void report_sender::add(wire::task_events events)
{
    {
        const std::scoped_lock lock(mutex_);
        merge(std::move(events));
    }
    wake_.notify_all();
}

void report_sender::forget(const std::string& host)
{
    const std::scoped_lock lock(mutex_);
    hosts_.erase(host);
    last_hosts_.erase(host);
}

void report_sender::queue_all_hosts()
{
    for (const auto& [name, report] : last_hosts_)
    {
        // The running attempts are not sent again, so this report must not be
        // marked as complete.
        auto copy = report;
        copy.complete = false;
        hosts_.try_emplace(name, copy);
    }
}

void report_sender::resend_hosts()
{
    {
        const std::scoped_lock lock(mutex_);
        queue_all_hosts();
    }
    wake_.notify_all();
}

void report_sender::probe()
{
    {
        const std::scoped_lock lock(mutex_);
        probe_pending_ = true;
    }
    wake_.notify_all();
}

bool report_sender::has_work() const
{
    return probe_pending_ || !attempts_.empty() || !hosts_.empty();
}

wire::task_events report_sender::take()
{
    wire::task_events out;
    for (auto& [id, report] : attempts_)
        out.attempts.push_back(std::move(report));
    for (auto& [name, report] : hosts_)
        out.hosts.push_back(std::move(report));
    attempts_.clear();
    hosts_.clear();
    return out;
}

void report_sender::requeue(wire::task_events events)
{
    for (auto& it : events.attempts)
        attempts_.try_emplace(it.attempt, it);
    for (auto& it : events.hosts)
    {
        if (last_hosts_.count(it.host) > 0)
            hosts_.try_emplace(it.host, it);
    }
}

bool report_sender::step()
{
    wire::task_events events;
    {
        const std::scoped_lock lock(mutex_);
        if (!has_work())
            return true;
        probe_pending_ = false;
        events = take();
    }
    const auto answer = deliver_(events);
    if (answer)
        acknowledge_(answer->recorded);
    const std::scoped_lock lock(mutex_);
    if (answer && std::exchange(planner_load_id_, answer->load) != answer->load)
        queue_all_hosts();
    if (answer)
        return true;
    requeue(std::move(events));
    return false;
}

void report_sender::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (!has_work())
        {
            wake_.wait(lock);
            continue;
        }
        lock.unlock();
        const bool sent = step();
        lock.lock();
        if (sent)
            continue;
        wake_.wait_for(lock, retry_delay,
                       [this]
                       {
                           return stopping_;
                       });
    }
}

} // namespace mustardwick::coordination
