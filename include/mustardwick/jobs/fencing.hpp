#pragma once

#include <cstdint>

namespace mustardwick::jobs
{

/// @brief The fencing tokens of a leader's calls to one worker.
class fencing_tokens
{
public:
    explicit fencing_tokens(std::int64_t epoch) : current_(epoch) {}

    std::int64_t current() const
    {
        return current_;
    }

private:
    std::int64_t current_;
};

} // namespace mustardwick::jobs
