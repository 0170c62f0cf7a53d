#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::durable
{

/// @brief Converts between this host's steady clock and the store's.
///
/// A time that one host writes down on the store's clock can be read by
/// another one, without comparing the clocks of the two hosts.
class store_clock
{
public:
    /// @brief Records a reading of the store's clock in the answer to a call.
    void read(base::steady_time sent, base::steady_time received,
              std::int64_t clock_ms)
    {
        // A call that waits at the store tells less exactly.
        if (reading_ && received - sent > max_round_trip)
            return;
        reading_ = {sent, received, clock_ms};
    }

    /// @brief Returns a time on the store's clock that is not before the given
    /// one; std::nullopt before a first reading.
    std::optional<std::int64_t> to_store(base::steady_time time) const
    {
        if (!reading_)
            return std::nullopt;
        return reading_->clock_ms + with_drift(time - reading_->sent).count();
    }

    /// @brief Returns a time on this host's clock that is not before the given
    /// one; std::nullopt before a first reading.
    std::optional<base::steady_time> from_store(std::int64_t time_ms) const
    {
        if (!reading_)
            return std::nullopt;
        return reading_->received + with_drift(std::chrono::milliseconds(
                                        time_ms - reading_->clock_ms));
    }

    /// @brief Returns when the last reading arrived. A conversion of a time
    /// before it holds even if this host was suspended in between.
    std::optional<base::steady_time> last_reading() const
    {
        return reading_ ? std::optional(reading_->received) : std::nullopt;
    }

private:
    static constexpr std::chrono::milliseconds max_round_trip{200};

    struct reading
    {
        base::steady_time sent;
        base::steady_time received;
        std::int64_t clock_ms;
    };

    /// One of the clocks may run up to 2 % faster.
    static std::chrono::milliseconds
    with_drift(base::steady_time::duration time)
    {
        const auto out = std::chrono::ceil<std::chrono::milliseconds>(time);
        return out + std::chrono::abs(out) / 50 + std::chrono::milliseconds(1);
    }

    std::optional<reading> reading_;
};

} // namespace mustardwick::durable
