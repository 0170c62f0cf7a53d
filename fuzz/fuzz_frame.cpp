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

/// Decodes the bytes as a message; what decodes has to encode and decode again.
template <typename Message>
void try_message(std::string_view bytes)
{
    const auto first = decode<Message>(bytes);
    if (first && !decode<Message>(encode(*first)))
        std::abort();
}

void try_messages(std::string_view bytes)
{
    try_message<forward_request>(bytes);
    try_message<forward_answer>(bytes);
    try_message<deliver>(bytes);
    try_message<deliver_answer>(bytes);
    try_message<task_events>(bytes);
    try_message<task_events_answer>(bytes);
    try_message<escrow_request>(bytes);
    try_message<escrow_answer>(bytes);
    try_message<attempt_query>(bytes);
    try_message<freshness_query>(bytes);
    try_message<freshness_answer>(bytes);
    try_message<failure>(bytes);
    try_message<membership_message>(bytes);
}

/// Unsigned bytes must not decode; the same bytes as a payload must.
void try_frame(std::string_view bytes)
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
    try_frame(bytes);
    try_messages(bytes);
    // Most random inputs fail at the byte that names the byte order.
    try_messages('\x01' + std::string(bytes));
    return 0;
}
