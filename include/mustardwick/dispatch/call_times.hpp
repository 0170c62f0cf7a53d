#pragma once

#include <chrono>

namespace mustardwick::dispatch
{

/// Time after which an order to a worker is given up, if it was not sent by
/// then or not answered.
inline constexpr std::chrono::milliseconds order_timeout{800};

/// A worker answers a renewal after this time at the latest. It is a third of
/// the longest lease, so that one lost renewal does not end the lease.
inline constexpr std::chrono::milliseconds max_renewal_wait{1900};

/// Added to the wait that a renewal asks of the worker; the sum is the timeout
/// of the call.
inline constexpr std::chrono::milliseconds renewal_margin{800};

/// Longest time from the decision to renew a lease until the answer is known.
inline constexpr std::chrono::milliseconds max_renewal_time =
    max_renewal_wait + renewal_margin;

} // namespace mustardwick::dispatch
