#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/jobs/fencing.hpp"
#include "testing/model/incarnation_worker.hpp"

namespace mustardwick::dispatch::test
{

inline constexpr milliseconds time_step{50};

/// @brief Callbacks at times of a manual clock.
class event_queue
{
public:
    explicit event_queue(const base::clock& time) : clock_(time) {}

    void after(milliseconds delay, std::function<void()> call)
    {
        calls_.emplace(clock_.now() + delay, std::move(call));
    }

    void run_due()
    {
        while (!calls_.empty() && calls_.begin()->first <= clock_.now())
        {
            const auto call = std::move(calls_.begin()->second);
            calls_.erase(calls_.begin());
            call();
        }
    }

private:
    const base::clock& clock_;
    std::multimap<base::steady_time, std::function<void()>> calls_;
};

enum class call_kind
{
    start,
    stop,
    renewal,
    identification
};

enum class fate_kind
{
    answered,
    /// The answer arrives after a delay.
    answered_slowly,
    lost,
    /// Carried out, but not answered.
    answer_lost,
    /// Answered, and the worker is cut off right after it.
    answered_then_cut,
    /// Carried out after a delay, by whichever incarnation is there.
    late
};

struct fate
{
    fate_kind what = fate_kind::answered;
    milliseconds delay{0};
};

/// Fates of the next calls, by kind.
using call_fates = std::map<call_kind, std::deque<fate>>;

/// How far a call got; see aio::transport_outcome.
enum class call_end
{
    answered,
    not_sent,
    other_process,
    maybe_sent
};

struct worker_call
{
    call_kind kind = call_kind::start;
    /// The incarnation that the call is meant for.
    std::optional<std::int64_t> process;
    milliseconds timeout{800};
    /// How long the worker waits for an end of a run.
    milliseconds wait{0};
    std::function<call_reply(worker_model&, std::int64_t token)> carry_out;
    std::function<void(call_end, const call_reply&, std::int64_t token)> done;
};

/// @brief Connections of one leader to one worker for one kind of calls, with
/// the rules of platform::worker_client: the first call on a connection asks
/// which incarnation it leads to, with a new fencing token.
class call_channel : public std::enable_shared_from_this<call_channel>
{
public:
    call_channel(event_queue& events, worker_model& worker, call_fates& fates,
                 std::shared_ptr<jobs::fencing_tokens> tokens)
        : events_(events), worker_(worker), fates_(fates),
          tokens_(std::move(tokens))
    {
    }

    void close()
    {
        connection_.reset();
    }

    void send(worker_call call)
    {
        const auto it = std::make_shared<pending>();
        it->call = std::move(call);
        events_.after(it->call.timeout,
                      [self = shared_from_this(), it]
                      {
                          if (it->finished)
                              return;
                          self->close();
                          it->finish(it->sent ? call_end::maybe_sent
                                              : call_end::not_sent,
                                     {});
                      });
        connect(it);
    }

private:
    struct pending
    {
        worker_call call;
        std::int64_t token = 0;
        bool sent = false;
        bool finished = false;

        void finish(call_end how, const call_reply& reply)
        {
            if (!std::exchange(finished, true))
                call.done(how, reply, token);
        }
    };

    bool answers() const
    {
        return worker_.is_up && !worker_.is_cut;
    }

    fate take_fate(call_kind kind)
    {
        auto& list = fates_[kind];
        if (list.empty())
            return {};
        const auto out = list.front();
        list.pop_front();
        return out;
    }

    /// A connection to a former incarnation leads to nobody.
    bool is_connected() const
    {
        return connection_ && *connection_ == worker_.born();
    }

    void connect(const std::shared_ptr<pending>& it)
    {
        if (is_connected())
            return transmit(it);
        connection_.reset();
        if (!answers())
            return;
        const auto token = tokens_->raise();
        const auto how = take_fate(call_kind::identification);
        const auto identify = [self = shared_from_this(), token]
        {
            return self->worker_.is_up ? self->worker_.renew(token, 0, {})
                                       : call_reply{};
        };
        if (how.what == fate_kind::late)
            events_.after(how.delay, identify);
        if (how.what == fate_kind::answer_lost)
            identify();
        if (how.what == fate_kind::lost || how.what == fate_kind::answer_lost ||
            how.what == fate_kind::late)
            return;
        const auto reply = identify();
        const auto born = worker_.born();
        const auto connected =
            [self = shared_from_this(), it, reply, born, token]
        {
            if (it->finished)
                return;
            if (reply.order.result == jobs::order_result::fenced &&
                token >= self->tokens_->current())
            {
                it->token = token;
                return it->finish(call_end::answered, reply);
            }
            if (reply.order.result == jobs::order_result::fenced)
                return it->finish(call_end::not_sent, {});
            self->connection_ = born;
            self->transmit(it);
        };
        if (how.what == fate_kind::answered_then_cut)
        {
            connected();
            worker_.is_cut = true;
            return;
        }
        if (how.what == fate_kind::answered)
            return connected();
        events_.after(how.delay, connected);
    }

    void transmit(const std::shared_ptr<pending>& it)
    {
        const auto& call = it->call;
        if (call.process && *call.process != *connection_)
            return it->finish(call_end::other_process, {});
        it->token = tokens_->current();
        it->sent = true;
        const auto how = take_fate(call.kind);
        const auto carry_out = [self = shared_from_this(), it]
        {
            return self->worker_.is_up
                       ? it->call.carry_out(self->worker_, it->token)
                       : call_reply{};
        };
        if (how.what == fate_kind::late)
            return events_.after(how.delay, carry_out);
        if (how.what == fate_kind::lost || !answers() || !is_connected())
            return;
        const auto reply = carry_out();
        if (how.what == fate_kind::answer_lost)
            return;
        if (how.what == fate_kind::answered_then_cut)
        {
            worker_.is_cut = true;
            return it->finish(call_end::answered, reply);
        }
        if (call.wait.count() > 0 &&
            reply.order.result == jobs::order_result::accepted)
            return await_end(it, worker_.born(), call.wait);
        events_.after(how.delay,
                      [it, reply]
                      {
                          it->finish(call_end::answered, reply);
                      });
    }

    /// The worker answers a renewal when a run ends, or after the wait.
    void await_end(const std::shared_ptr<pending>& it, std::int64_t born,
                   milliseconds left)
    {
        if (it->finished || born != worker_.born() || !answers())
            return;
        if (worker_.has_ends() || left.count() <= 0)
            return it->finish(call_end::answered,
                              worker_.reply(jobs::order_result::accepted));
        events_.after(time_step,
                      [self = shared_from_this(), it, born, left]
                      {
                          self->await_end(it, born, left - time_step);
                      });
    }

    event_queue& events_;
    worker_model& worker_;
    call_fates& fates_;
    std::shared_ptr<jobs::fencing_tokens> tokens_;
    /// The incarnation that the connection leads to.
    std::optional<std::int64_t> connection_;
};

} // namespace mustardwick::dispatch::test
