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

/// @brief The kinds of messages between daemons.
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
    /// Messages between the daemons of a cell without daemon-owned hosts.
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

/// @brief One message on the internal protocol.
struct frame
{
    message_type type = message_type::answer;
    std::uint64_t correlation = 0;
    std::string payload;
};

/// @brief Encodes version, type, correlation id, payload and authentication
/// tag, without the length prefix.
std::string encode_frame(const frame& value, std::string_view secret);

/// @brief Decodes and authenticates; a wrong version, tag or size is an error.
std::optional<frame> decode_frame(std::string_view bytes,
                                  std::string_view secret);

/// @brief Random bytes that a server sends first on each connection.
std::string make_challenge();

/// @brief The secret of one connection, derived from the shared secret.
///
/// Frames recorded on one connection do not authenticate on another.
std::string connection_key(std::string_view secret, std::string_view challenge);

/// @brief Encodes the 4-byte length prefix of a TCP frame.
std::string encode_length(std::size_t n);

/// @brief Decodes a length prefix; out of bounds is an error.
std::optional<std::size_t> decode_length(std::span<const char> bytes);

} // namespace mustardwick::wire
