#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mustardwick/aio/peer_hub.hpp"
#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/entry/messages.hpp"
#include "platform/advice_client.hpp"

namespace mustardwick::entry
{

/// @brief Distributes the leader's advice queries over the advice channels of
/// all members. Each host has one channel.
///
/// Load pattern: long queries of wide steps compete with many short ones of
/// urgent jobs. Long queries may occupy only a part of the channels.
class advice_pool : public std::enable_shared_from_this<advice_pool>
{
public:
    using answer_handler =
        std::function<void(const dispatch::advice_query&,
                           std::optional<std::vector<dispatch::advice_ticket>>,
                           base::steady_time sent)>;
    using member_list = std::function<std::vector<const member_record*>()>;

    advice_pool(const base::clock& time, aio::peer_hub& peers,
                platform::advice_client& local, base::metrics& metrics,
                member_list members, answer_handler done);

    /// @brief Returns how many channels are free now, and how many of them may
    /// take a long query.
    dispatch::advice_capacity capacity() const;
    /// @brief Sends a query. capacity() must allow it. The handler passed to
    /// the constructor receives the result, std::nullopt when the query failed
    /// or timed out.
    void send_query(const dispatch::advice_query& query);
    void stop();

private:
    struct channel
    {
        int open_queries = 0;
        base::steady_time avoid_until;
    };

    bool is_free(const std::string& name) const;
    void finished(const std::string& member, bool is_long,
                  const dispatch::advice_query& query,
                  std::optional<std::vector<dispatch::advice_ticket>> allowed,
                  base::steady_time sent);

    const base::clock& clock_;
    aio::peer_hub& peers_;
    platform::advice_client& local_;
    base::metrics& metrics_;
    member_list members_;
    answer_handler done_;
    std::map<std::string, channel> channels_;
    std::size_t open_long_queries_ = 0;
    bool stopped_ = false;
};

} // namespace mustardwick::entry
