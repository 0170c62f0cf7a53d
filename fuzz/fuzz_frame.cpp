#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "mustardwick/wire/codec.hpp"
#include "mustardwick/wire/frame.hpp"
#include "mustardwick/wire/membership_messages.hpp"
#include "mustardwick/wire/messages.hpp"

namespace
{

using namespace mustardwick::wire;

/// Aborts if a decoded message does not survive encoding and decoding.
template <typename Message>
void check_message(std::string_view bytes)
{
    const auto first = decode<Message>(bytes);
    if (first && !decode<Message>(encode(*first)))
        std::abort();
}

/// Decodes the bytes as each message type.
void check_messages(std::string_view bytes)
{
    check_message<forward_request>(bytes);
    check_message<forward_answer>(bytes);
    check_message<deliver>(bytes);
    check_message<deliver_answer>(bytes);
    check_message<task_events>(bytes);
    check_message<task_events_answer>(bytes);
    check_message<escrow_request>(bytes);
    check_message<escrow_answer>(bytes);
    check_message<attempt_query>(bytes);
    check_message<freshness_query>(bytes);
    check_message<freshness_answer>(bytes);
    check_message<failure>(bytes);
    check_message<membership_message>(bytes);
}

/// Aborts if bytes without a valid signature decode as a frame, or if a signed
/// frame with the bytes as payload does not decode to the same payload.
void check_frame(std::string_view bytes)
{
    if (decode_frame(bytes, "secret"))
        std::abort();
    const frame message{message_type::notify_inbox, 7, std::string(bytes)};
    const auto out = decode_frame(encode_frame(message, "secret"), "secret");
    if (!out || out->payload != bytes)
        std::abort();
    if (bytes.size() >= length_bytes)
        decode_length({bytes.data(), length_bytes});
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    check_frame(bytes);
    check_messages(bytes);
    // Most random inputs are rejected at the leading byte, the byte order.
    check_messages('\x01' + std::string(bytes));
    return 0;
}
