#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/entry/messages.hpp"
#include "platform/store_client.hpp"

namespace mustardwick::entry
{

/// @brief Result of a transaction on the leader's rows.
enum class log_result
{
    durable,
    /// Another daemon has written the head row.
    superseded,
    /// The store rejects the transaction, but accepts one that rewrites only
    /// the head row. Nothing of the transaction was carried out.
    rejected
};

/// @brief Commits a sequence of transactions, one at a time. Each checks and
/// rewrites the head row.
///
/// When an answer is late or lost, the same transaction is sent again while the
/// first copy may still be answered, but not while the path is still taking
/// that copy. Whichever copy is executed second fails
/// its condition and finds the transaction id of the first in the head row. A
/// copy that is executed late fails the same way.
class state_log : public std::enable_shared_from_this<state_log>
{
public:
    using done_handler = std::function<void(log_result)>;

    state_log(boost::asio::io_context& io, const base::clock& time,
              platform::store_client& store, base::metrics& metrics,
              head_record head, std::int64_t head_version);

    /// @brief Commits a transaction, which must have no conditions of its own.
    /// Must not be called while is_busy().
    void commit(durable::transaction change, done_handler done);
    /// @brief Makes the next transaction mark leadership as released.
    void set_released();
    void stop();

    bool is_busy() const
    {
        return busy_;
    }
    /// @brief Returns when the last successful transaction was sent.
    base::steady_time confirmed() const
    {
        return confirmed_;
    }
    /// @brief Returns since when transactions have been failing; std::nullopt
    /// while they succeed.
    std::optional<base::steady_time> failing_since() const
    {
        return failing_since_;
    }
    /// @brief Returns whether the last failure was a missing answer. A slow
    /// store cannot be told apart from an unresponsive one for a while.
    bool is_unresponsive() const
    {
        return unresponsive_;
    }
    /// @brief Returns the version of the head row after the last successful
    /// transaction.
    std::int64_t head_version() const
    {
        return version_;
    }

private:
    enum class copy_kind
    {
        whole,
        probe
    };

    void send();
    void resend_unless_answered();
    copy_kind next_copy() const;
    const durable::transaction& probe();
    void answered(const durable::store_reply& reply, base::steady_time sent,
                  copy_kind copy);
    void conflicted(const durable::store_reply& reply, base::steady_time sent);
    void probe_succeeded(std::int64_t version, base::steady_time sent);
    void failed(const durable::store_reply& reply, base::steady_time sent,
                copy_kind copy);
    void log_rejection() const;
    void renew(std::int64_t version, base::steady_time sent);
    void record_failure(std::string_view reason);
    void resend_after(std::chrono::milliseconds delay);
    void finish(log_result result);

    boost::asio::steady_timer timer_;
    const base::clock& clock_;
    platform::store_client& store_;
    base::metrics& metrics_;
    head_record head_;
    std::int64_t version_;
    durable::transaction current_;
    /// Built when the first probe is sent.
    std::optional<durable::transaction> probe_;
    std::string probe_id_;
    /// Failed copies of the current transaction.
    int failures_ = 0;
    int accepted_probes_ = 0;
    /// Why the store rejected the last whole copy.
    std::string rejection_;
    /// The store said that the transaction is invalid.
    bool is_invalid_ = false;
    done_handler done_;
    base::steady_time confirmed_;
    base::steady_time started_;
    /// When the newest copy of the transaction was sent.
    base::steady_time sent_;
    /// Number of the current commit; answers to earlier ones are ignored.
    std::uint64_t commit_number_ = 0;
    /// Time after which an unanswered copy is sent again.
    std::chrono::milliseconds resend_interval_{350};
    std::optional<base::steady_time> failing_since_;
    bool unresponsive_ = false;
    bool busy_ = false;
    bool stopped_ = false;
};

} // namespace mustardwick::entry
