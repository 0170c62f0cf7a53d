#pragma once

namespace mustardwick::cli
{

/// @brief Exit codes of the program; scripts depend on the values.
enum class exit_code
{
    ok = 0,
    /// The daemon refused the call, or the requested object does not exist.
    refused = 1,
    /// The command line is invalid.
    usage = 2,
    /// The call may or may not have taken effect.
    unknown_outcome = 3,
    /// No daemon answered, and the call had no effect.
    unreachable = 4
};

} // namespace mustardwick::cli
