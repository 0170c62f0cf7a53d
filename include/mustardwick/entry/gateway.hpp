#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "mustardwick/aio/http_listener.hpp"
#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/entry/call_trace.hpp"
#include "mustardwick/entry/config_watch.hpp"
#include "mustardwick/entry/messages.hpp"
#include "mustardwick/wire/frame.hpp"

namespace mustardwick::entry
{

/// @brief Result of a call to the leader.
struct leader_result
{
    std::optional<job_reply> reply;
    /// Whether the call may have reached a leader.
    bool maybe_sent = false;
    call_trace trace{};
    /// Whether an earlier copy of the call was not answered. A leader may still
    /// receive it, for example once a partition has ended.
    bool has_unanswered_copy = false;
};

/// @brief Handles the callers' HTTP requests and forwards them to the leader.
class gateway
{
public:
    using leader_call = std::function<void(
        wire::message_type, const std::string& payload,
        base::steady_time deadline, std::function<void(leader_result)>)>;

    /// @brief `name` is that of this daemon.
    gateway(const base::clock& time, base::metrics& metrics,
            const operator_state& state, leader_call call,
            std::string name = {});

    void handle(const aio::incoming_request& request, aio::responder respond);

private:
    struct call_context;

    void submit(const call_context& context, const std::string& body);
    void query(const call_context& context);
    void cancel(const call_context& context);
    void count(const call_context& context);
    /// @brief Returns the time since the call was received.
    std::chrono::milliseconds waited(const call_context& context) const;
    /// @brief Logs what became of each attempt of a call without an answer.
    void log_unanswered(const call_context& context, std::string_view event,
                        const leader_result& result) const;
    std::optional<std::string> account_of(const aio::incoming_request& request,
                                          const jobs::queue& queue) const;

    const base::clock& clock_;
    base::metrics& metrics_;
    const operator_state& state_;
    leader_call call_;
    std::string name_;
};

} // namespace mustardwick::entry
