#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "mustardwick/aio/peer_hub.hpp"
#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/entry/messages.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::entry
{

/// Bytes of one block. It bounds how long an answer of the leader waits behind
/// a block on the same connection: 26 ms at 10 Mbit/s.
inline constexpr std::size_t configuration_block_bytes = 32U << 10U;

/// Limit on a whole configuration: an answer of the store cannot be longer.
inline constexpr std::size_t max_configuration_bytes = 4U << 20U;

/// @brief Returns the leader's reply to a configuration request.
///
/// A request without content comes from an earlier release, which expects the
/// whole text.
inline std::string configuration_reply(const std::string& payload,
                                       std::int64_t version,
                                       const std::string& text)
{
    const auto request = wire::decode<configuration_request>(payload);
    if (!request)
        return text;
    if (text.empty())
        return {};
    configuration_block out;
    out.version = version;
    out.total_bytes = text.size();
    out.offset = request->version == version && request->offset < text.size()
                     ? request->offset
                     : 0;
    out.bytes = text.substr(out.offset, configuration_block_bytes);
    return wire::encode(out);
}

/// @brief Fetches a configuration from the leader, block by block.
///
/// Load pattern: a large configuration changes, and every daemon receives it
/// over a slow link, which its callers share. Blocks that have arrived are kept
/// when the next one is lost, and none is requested while the store itself is
/// delivering.
template <typename Peers>
class configuration_fetch
    : public std::enable_shared_from_this<configuration_fetch<Peers>>
{
public:
    struct events
    {
        /// Returns whether the store is delivering an answer right now.
        std::function<bool()> store_delivers;
        std::function<void(const std::string& text)> received;
    };

    configuration_fetch(const base::clock& time, Peers& peers, events on)
        : clock_(time), peers_(peers), on_(std::move(on))
    {
    }

    /// @brief Continues towards a version that the leader has, unless a block
    /// is on its way. Call it for each heartbeat that names a newer version.
    /// A version that was received is not requested again: this daemon has
    /// refused it.
    void advance(const wire::endpoint& leader, std::int64_t version)
    {
        leader_ = leader;
        wanted_ = version > received_ ? version : 0;
        if (!open_)
            request_block();
    }

    /// @brief Drops what has arrived: this daemon has the configuration.
    void clear()
    {
        wanted_ = 0;
        partial_ = {};
    }

private:
    static constexpr std::chrono::milliseconds block_timeout{1000};

    void request_block()
    {
        if (wanted_ == 0 || on_.store_delivers())
            return;
        open_ = true;
        const configuration_request request{partial_.version,
                                            partial_.bytes.size()};
        peers_.call(leader_, wire::message_type::fetch_configuration,
                    wire::encode(request), block_timeout,
                    [self = this->shared_from_this(),
                     begin = clock_.now()](const aio::peer_result& result)
                    {
                        self->answered(result, begin);
                    });
    }

    void answered(const aio::peer_result& result, base::steady_time begin)
    {
        open_ = false;
        if (!result.answered() || result.payload.empty())
            return log_failure(result, begin);
        // The configuration has arrived from the store in the meantime.
        if (wanted_ == 0)
            return;
        auto block = wire::decode<configuration_block>(result.payload);
        // A leader of an earlier release sends the whole text.
        if (!block)
            return complete(wanted_, result.payload);
        if (!add(std::move(*block)))
            return log_unusable_block();
        if (partial_.bytes.size() < partial_.total_bytes)
            return request_block();
        const auto whole = std::exchange(partial_, {});
        complete(whole.version, whole.bytes);
    }

    void complete(std::int64_t version, const std::string& text)
    {
        received_ = std::max(received_, version);
        on_.received(text);
    }

    /// A block that does not continue the one before begins a newer version.
    /// Returns false, without any bytes left, when it can be neither.
    bool add(configuration_block block)
    {
        const bool is_sound =
            !block.bytes.empty() &&
            block.total_bytes <= max_configuration_bytes &&
            block.offset < block.total_bytes &&
            block.bytes.size() <= block.total_bytes - block.offset;
        const bool continues = block.version == partial_.version &&
                               block.total_bytes == partial_.total_bytes &&
                               block.offset == partial_.bytes.size();
        if (is_sound && continues)
            partial_.bytes += block.bytes;
        else if (is_sound && block.offset == 0)
            partial_ = std::move(block);
        else
            partial_ = {};
        return !partial_.bytes.empty();
    }

    void log_unusable_block() const
    {
        base::log_event(
            base::log_level::warning, "config", "configuration_block_refused",
            {{"version", wanted_}, {"leader", wire::to_string(leader_)}});
    }

    void log_failure(const aio::peer_result& result,
                     base::steady_time begin) const
    {
        const auto waited =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() -
                                                                  begin);
        base::log_event(
            base::log_level::warning, "config", "configuration_not_fetched",
            {{"version", wanted_},
             {"leader", wire::to_string(leader_)},
             {"received_bytes", partial_.bytes.size()},
             {"total_bytes", partial_.total_bytes},
             {"waited_ms", waited.count()},
             {"reason", result.answered() ? "the leader has none"
                                          : to_string(result.failure)}});
    }

    const base::clock& clock_;
    Peers& peers_;
    events on_;
    wire::endpoint leader_;
    /// Version that the leader has; 0 when none is wanted.
    std::int64_t wanted_ = 0;
    /// Newest version that has arrived completely.
    std::int64_t received_ = 0;
    /// The blocks that have arrived, as one.
    configuration_block partial_;
    bool open_ = false;
};

} // namespace mustardwick::entry
