#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwick::wire
{

/// @brief State of a member as another daemon sees it. Between claims about the
/// same incarnation, the later enumerator takes precedence.
enum class member_state : std::uint8_t
{
    alive,
    suspect,
    dead
};

/// @brief A claim about the state of one member, piggybacked on probes and
/// answers.
struct member_claim
{
    std::string name;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, incarnation, state);
    }
};

/// @brief Payload of a probe, an indirect probe or the answer to either.
///
/// The frame's type distinguishes them; its correlation id matches an answer to
/// its probe.
struct membership_message
{
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t config_version = 0;
    /// Indirect probe: the member to probe. Relayed answer: the member that
    /// answered.
    std::string subject;
    std::vector<member_claim> claims;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sender, incarnation, config_version, subject, claims);
    }
};

} // namespace mustardwick::wire
