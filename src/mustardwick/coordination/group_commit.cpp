#include "mustardwick/coordination/group_commit.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "mustardwick/base/identity.hpp"

namespace mustardwick::coordination
{

using ports::commit_state;

namespace
{

constexpr std::size_t max_batch = 64;
/// Several answers in a row can be lost, and an unresolved claim leaves its
/// caller with an unknown outcome, so a transaction is retried in several
/// rounds.
constexpr int max_rounds = 6;
constexpr int attempts_per_round = 3;
/// Bounds how long claims wait for a table that does not answer.
constexpr std::chrono::milliseconds max_commit_time{2000};

ports::transaction join(const std::deque<group_write*>& writes)
{
    ports::transaction out;
    out.id = base::unique_id();
    for (const auto* it : writes)
    {
        out.checks.insert(out.checks.end(), it->checks.begin(),
                          it->checks.end());
        out.puts.insert(out.puts.end(), it->puts.begin(), it->puts.end());
    }
    return out;
}

/// Sends a transaction until its outcome is known or max_commit_time is over.
ports::commit_result commit_with_retries(const ports::table& table,
                                         const ports::transaction& change)
{
    const auto deadline = std::chrono::steady_clock::now() + max_commit_time;
    ports::commit_result out;
    for (int n = 0; n < max_rounds; ++n)
    {
        out = ports::commit_resolved(table, change, change.puts[0].key,
                                     attempts_per_round, n > 0);
        const bool timed_out = std::chrono::steady_clock::now() >= deadline;
        if (out.state != commit_state::unknown || timed_out)
            break;
    }
    return out;
}

bool conflicts(const group_write& write,
               const std::vector<ports::check>& failed)
{
    const auto has_failed = [&failed](const ports::check& it)
    {
        return std::any_of(failed.begin(), failed.end(),
                           [&it](const ports::check& other)
                           {
                               return other.key == it.key;
                           });
    };
    return std::any_of(write.checks.begin(), write.checks.end(), has_failed);
}

} // namespace

group_commit::group_commit(ports::table table,
                           std::chrono::milliseconds interval,
                           base::metrics& metrics)
    : table_(std::move(table)), interval_(interval), metrics_(metrics)
{
}

group_commit::~group_commit()
{
    stop();
}

void group_commit::start()
{
    {
        const std::scoped_lock lock(mutex_);
        started_ = true;
    }
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

void group_commit::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

std::future<group_result> group_commit::enqueue(group_write write)
{
    item next{std::move(write), {}};
    auto out = next.promise.get_future();
    std::deque<item> immediate;
    {
        const std::scoped_lock lock(mutex_);
        if (stopping_)
            next.promise.set_value({commit_state::conflict, 0});
        else
            (started_ ? queue_ : immediate).push_back(std::move(next));
    }
    wake_.notify_all();
    commit_batch(std::move(immediate));
    return out;
}

group_result group_commit::commit(group_write write)
{
    return enqueue(std::move(write)).get();
}

void group_commit::post(group_write write)
{
    enqueue(std::move(write));
}

/// Takes writes whose keys are all different. Two claims on one key in the same
/// transaction would both check that it is absent, and both would succeed.
std::deque<group_commit::item> group_commit::take_batch()
{
    std::deque<item> out;
    std::set<std::string> keys;
    while (!queue_.empty() && out.size() < max_batch)
    {
        const auto& checks = queue_.front().write.checks;
        const bool repeated = std::any_of(checks.begin(), checks.end(),
                                          [&keys](const ports::check& it)
                                          {
                                              return keys.count(it.key) > 0;
                                          });
        if (repeated)
            break;
        for (const auto& it : checks)
            keys.insert(it.key);
        out.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    return out;
}

void group_commit::run()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        wake_.wait(lock,
                   [this]
                   {
                       return stopping_ || !queue_.empty();
                   });
        if (queue_.empty())
            return;
        if (!stopping_ && queue_.size() < max_batch)
            wake_.wait_for(lock, interval_,
                           [this]
                           {
                               return stopping_ || queue_.size() >= max_batch;
                           });
        auto batch = take_batch();
        lock.unlock();
        commit_batch(std::move(batch));
        lock.lock();
    }
}

void group_commit::commit_batch(std::deque<item> batch)
{
    while (!batch.empty())
    {
        std::deque<group_write*> writes;
        for (auto& it : batch)
            writes.push_back(&it.write);
        const auto change = join(writes);
        const auto result = commit_with_retries(table_, change);
        metrics_.add("mustardwick_group_commits_total");
        metrics_.add("mustardwick_group_writes_total", batch.size());
        if (result.state != commit_state::conflict)
        {
            for (auto& it : batch)
                it.promise.set_value({result.state, result.revision});
            return;
        }
        std::deque<item> rest;
        for (auto& it : batch)
        {
            if (conflicts(it.write, result.conflicts))
                it.promise.set_value({commit_state::conflict, 0});
            else
                rest.push_back(std::move(it));
        }
        // A conflict that names none of the writes cannot be attributed to one.
        if (rest.size() == batch.size())
        {
            for (auto& it : rest)
                it.promise.set_value({commit_state::conflict, 0});
            return;
        }
        batch = std::move(rest);
    }
}

} // namespace mustardwick::coordination
