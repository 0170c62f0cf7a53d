#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::coordination
{

/// @brief Puts that commit together or not at all, independent of other
/// writes.
struct group_write
{
    std::vector<ports::check> checks;
    std::vector<ports::put> puts;
};

struct group_result
{
    ports::commit_state state = ports::commit_state::unknown;
    std::uint64_t revision = 0;
};

/// @brief Commits independent writes of many threads in few transactions.
///
/// The table accepts several hundred transactions per second for the whole
/// cluster, so claims and submissions cannot each be a transaction. When a
/// write of a transaction conflicts, the others are sent again without it.
class group_commit
{
public:
    group_commit(ports::table table, std::chrono::milliseconds interval,
                 base::metrics& metrics);
    ~group_commit();
    group_commit(const group_commit&) = delete;
    group_commit& operator=(const group_commit&) = delete;

    void start();

    /// @brief Commits the queued writes and joins the thread. Later writes end
    /// as conflicts.
    void stop();

    /// @brief Queues a write and waits for its result, which is unknown when
    /// the table did not answer in time.
    ///
    /// Each written key must be checked by the same write. Before start() the
    /// calling thread commits the write itself.
    group_result commit(group_write write);

    /// @brief Queues a write without waiting for its result.
    void post(group_write write);

private:
    struct item
    {
        group_write write;
        std::promise<group_result> promise;
    };

    void run();
    void commit_batch(std::deque<item> batch);
    std::deque<item> take_batch();
    std::future<group_result> enqueue(group_write write);

    ports::table table_;
    std::chrono::milliseconds interval_;
    base::metrics& metrics_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<item> queue_;
    bool stopping_ = false;
    bool started_ = false;
    std::thread thread_;
};

} // namespace mustardwick::coordination
