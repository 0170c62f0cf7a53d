#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace mustardwick::wire
{

inline constexpr std::uint8_t protocol_version = 1;
inline constexpr std::size_t max_payload_bytes = 2U << 20U;
inline constexpr std::size_t max_datagram_bytes = 1200;
inline constexpr std::size_t length_bytes = 4;
inline constexpr std::size_t header_bytes = 10;
inline constexpr std::size_t tag_bytes = 16;
inline constexpr std::size_t challenge_bytes = 16;

/// @brief Message types of the protocol between daemons. The numbers are sent
/// on the wire.
enum class message_type : std::uint8_t
{
    answer = 0,
    failure = 1,
    forward_request = 2,
    deliver = 3,
    task_events = 4,
    notify_inbox = 5,
    escrow_request = 6,
    attempt_query = 7,
    freshness_query = 8,
    probe = 9,
    probe_answer = 10,
    indirect_probe = 11,
    members_changed = 12,
    /// From here on: messages between the daemons of a cell in which no daemon
    /// owns hosts.
    leader_heartbeat = 13,
    join_cell = 14,
    hand_over = 15,
    submit_job = 16,
    query_job = 17,
    cancel_job = 18,
    count_waiting = 19,
    query_advice = 20,
    fetch_configuration = 21
};

/// @brief One message of the internal protocol.
struct frame
{
    message_type type = message_type::answer;
    /// Copied from a call to its answer.
    std::uint64_t correlation = 0;
    std::string payload;
};

/// @brief Encodes version, type, correlation id, payload and authentication
/// tag, without the length prefix.
std::string encode_frame(const frame& value, std::string_view secret);

/// @brief Authenticates and decodes a frame without its length prefix.
///
/// Returns std::nullopt with last_error(): unauthenticated when the tag is
/// wrong; invalid_input when the frame is too short or has another version or
/// an unknown type.
std::optional<frame> decode_frame(std::string_view bytes,
                                  std::string_view secret);

/// @brief Returns the random bytes that a server sends first on each
/// connection.
std::string make_challenge();

/// @brief Derives the key of one connection from the shared secret.
///
/// Frames recorded on one connection fail authentication on any other.
std::string connection_key(std::string_view secret, std::string_view challenge);

/// @brief Encodes the 4-byte length prefix of a TCP frame.
std::string encode_length(std::size_t n);

/// @brief Decodes a 4-byte length prefix.
///
/// Returns std::nullopt with last_error() of kind too_large when the length
/// is not that of a frame with 0 to max_payload_bytes of payload.
std::optional<std::size_t> decode_length(std::span<const char> bytes);

} // namespace mustardwick::wire
