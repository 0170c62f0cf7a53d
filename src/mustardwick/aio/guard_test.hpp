#pragma once

#include "mustardwick/aio/connection_guard.hpp"

namespace mustardwick::aio::test
{

/// Returns a guard for tests that do not reach its limit.
inline connection_guard& ample_guard()
{
    static const base::system_clock clock;
    static base::metrics metrics;
    static connection_guard guard(clock, metrics, 64U << 20U);
    return guard;
}

} // namespace mustardwick::aio::test
