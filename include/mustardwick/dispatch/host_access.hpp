#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::dispatch
{

/// @brief An advice ticket and its expiry.
struct held_ticket
{
    std::string ticket;
    base::steady_time expires;
};

/// @brief The advisor's answers about the hosts of one step, by host index.
///
/// Every placement round looks up each host for each waiting step, so that
/// lookups must not compare host names.
class host_access
{
public:
    /// @brief Returns whether the host is denied, which is permanent for a
    /// step.
    bool is_denied(std::size_t host) const
    {
        return answer_of(host) == answer::denied;
    }

    /// @brief Returns whether the host was allowed. It stays allowed for the
    /// step, but its ticket may have expired.
    bool is_allowed(std::size_t host) const
    {
        return answer_of(host) == answer::allowed;
    }

    /// @brief Returns the ticket of an allowed host, or null.
    const held_ticket* ticket(std::size_t host) const
    {
        if (!is_allowed(host))
            return nullptr;
        const auto it = tickets_.find(host);
        return it == tickets_.end() ? nullptr : &it->second;
    }

    void deny(std::size_t host)
    {
        set(host, answer::denied);
    }

    void allow(std::size_t host, held_ticket ticket)
    {
        set(host, answer::allowed);
        tickets_[host] = std::move(ticket);
    }

    /// @brief Forgets the answer about a host.
    void reset(std::size_t host)
    {
        set(host, answer::unknown);
        tickets_.erase(host);
    }

    /// @brief Returns the tickets of the allowed hosts by host index.
    const std::map<std::size_t, held_ticket>& tickets() const
    {
        return tickets_;
    }

private:
    enum class answer : std::uint8_t
    {
        unknown,
        denied,
        allowed
    };

    answer answer_of(std::size_t host) const
    {
        return host < answers_.size() ? answers_[host] : answer::unknown;
    }

    void set(std::size_t host, answer value)
    {
        if (host >= answers_.size())
            answers_.resize(host + 1, answer::unknown);
        answers_[host] = value;
    }

    std::vector<answer> answers_;
    std::map<std::size_t, held_ticket> tickets_;
};

} // namespace mustardwick::dispatch
