#include "mustardwick/wire/codec.hpp"

#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

#include <criterion/criterion.h>
#include <openssl/hmac.h>
#include <rapidcheck.h>

#include "mustardwick/wire/frame.hpp"
#include "mustardwick/wire/membership_messages.hpp"
#include "mustardwick/wire/messages.hpp"

using namespace mustardwick;
using namespace mustardwick::wire;

namespace
{

std::size_t peak_memory_bytes()
{
    std::ifstream in("/proc/self/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (in >> word)
        if (word == "VmHWM:")
            in >> kilobytes;
    return kilobytes * 1024;
}

/// Returns a message that starts with the given length field.
std::string with_length(std::uint64_t n, std::size_t tail)
{
    std::string out(1, '\x01');
    out.append(reinterpret_cast<const char*>(&n), sizeof n);
    out.append(tail, '\0');
    return out;
}

/// Returns the content followed by a valid authentication tag.
std::string signed_frame(std::string content)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    const std::string secret = "secret";
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(content.data()), content.size(),
         digest, nullptr);
    return content.append(reinterpret_cast<const char*>(digest), tag_bytes);
}

struct frame_case
{
    std::string bytes;
    base::error_kind expected;
};

} // namespace

// Guards against allocating as much memory as a malicious length field claims.
Test(codec, lengths_are_bounded_by_the_message, .timeout = 60)
{
    const auto before = peak_memory_bytes();
    for (const std::uint64_t n :
         {1ULL << 20U, 1ULL << 32U, 1ULL << 40U, ~0ULL, ~0ULL >> 1U})
        for (const std::size_t tail : {0UL, 100UL, 1UL << 20U})
        {
            const auto bytes = with_length(n, tail);
            cr_expect_not(decode<forward_request>(bytes).has_value());
            cr_expect_not(decode<task_events>(bytes).has_value());
            cr_expect_not(decode<task_events_answer>(bytes).has_value());
        }
    cr_assert_lt(peak_memory_bytes() - before, 64U << 20U);
}

// Guards against encoding that loses data, and against truncated or extended
// messages that still decode.
Test(codec, decodes_only_complete_messages)
{
    const bool ok = rc::check(
        "a message round-trips; truncated or extended, it does not decode",
        [](const std::string& name, std::uint64_t incarnation)
        {
            membership_message message;
            message.sender = name;
            message.incarnation = incarnation;
            message.claims = {{name, incarnation, member_state::suspect}};
            const auto bytes = encode(message);
            const auto out = decode<membership_message>(bytes);
            RC_ASSERT(out.has_value());
            RC_ASSERT(out->sender == name);
            RC_ASSERT(out->claims.at(0).incarnation == incarnation);
            const auto n = *rc::gen::inRange<std::size_t>(0, bytes.size());
            RC_ASSERT(!decode<membership_message>(bytes.substr(0, n)));
            RC_ASSERT(!decode<membership_message>(bytes + "x"));
        });
    cr_assert(ok);
}

// Guards against accepting truncated, altered or forged frames and frames of
// another protocol version.
Test(frame, rejects_invalid_frames)
{
    const auto good =
        encode_frame({message_type::notify_inbox, 7, "abc"}, "secret");
    auto altered = good;
    altered[12] ^= 1;
    auto other_version = good.substr(0, good.size() - tag_bytes);
    other_version[0] = 2;
    cr_assert(decode_frame(good, "secret").has_value());
    const std::vector<frame_case> cases = {
        {"", base::error_kind::invalid_input},
        {good.substr(0, 25), base::error_kind::invalid_input},
        {good.substr(0, good.size() - 1), base::error_kind::unauthenticated},
        {good + "x", base::error_kind::unauthenticated},
        {altered, base::error_kind::unauthenticated},
        {encode_frame({message_type::notify_inbox, 7, "abc"}, "other"),
         base::error_kind::unauthenticated},
        {signed_frame(other_version), base::error_kind::invalid_input},
        {encode_frame({static_cast<message_type>(99), 7, "abc"}, "secret"),
         base::error_kind::invalid_input},
    };
    for (const auto& it : cases)
    {
        cr_expect_not(decode_frame(it.bytes, "secret").has_value());
        cr_expect_eq(base::last_error().kind, it.expected);
    }
}
