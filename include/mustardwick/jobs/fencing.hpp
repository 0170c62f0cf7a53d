#pragma once

#include <algorithm>
#include <cstdint>

namespace mustardwick::jobs
{

/// Number of fencing tokens of a leadership. Epochs are numbered in steps of
/// it; a daemon of an earlier release that follows counts on by one, so that
/// its only token is above those of its predecessor all the same.
inline constexpr std::int64_t tokens_per_epoch = 100'000;

/// @brief Returns the epoch of the leadership that follows the given one.
constexpr std::int64_t next_epoch(std::int64_t epoch)
{
    return epoch + tokens_per_epoch;
}

/// @brief The fencing tokens of a leader's calls to one worker.
///
/// The lowest token of a leadership is above all tokens of former leaders, the
/// highest one is its epoch.
class fencing_tokens
{
public:
    explicit fencing_tokens(std::int64_t epoch)
        : current_(std::max<std::int64_t>(0, epoch - tokens_per_epoch)),
          last_(epoch)
    {
    }

    std::int64_t current() const
    {
        return current_;
    }

    /// @brief Returns whether raise() would exceed the tokens of the epoch.
    bool is_exhausted() const
    {
        return current_ >= last_;
    }

    /// @brief Takes the next token. Once the worker has seen it, all earlier
    /// calls to it are void.
    std::int64_t raise()
    {
        return ++current_;
    }

private:
    std::int64_t current_;
    std::int64_t last_;
};

} // namespace mustardwick::jobs
