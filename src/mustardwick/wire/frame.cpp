#include "mustardwick/wire/frame.hpp"

#include <stdexcept>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"

namespace mustardwick::wire
{

namespace
{

using base::error_kind;

constexpr int bits_per_byte = 8;
constexpr std::uint8_t max_message_type =
    static_cast<std::uint8_t>(message_type::fetch_configuration);

std::string tag_of(std::string_view bytes, std::string_view secret)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int n = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest, &n);
    return {reinterpret_cast<const char*>(digest), tag_bytes};
}

template <typename Number>
void put_number(std::string& out, Number value)
{
    for (int it = sizeof(Number) - 1; it >= 0; --it)
        out += static_cast<char>((value >> (it * bits_per_byte)) & 0xffU);
}

template <typename Number>
Number get_number(std::string_view bytes)
{
    Number value = 0;
    for (std::size_t it = 0; it < sizeof(Number); ++it)
        value = static_cast<Number>((value << 8U) |
                                    static_cast<unsigned char>(bytes[it]));
    return value;
}

} // namespace

std::string encode_frame(const frame& value, std::string_view secret)
{
    std::string out;
    out.reserve(header_bytes + value.payload.size() + tag_bytes);
    out += static_cast<char>(protocol_version);
    out += static_cast<char>(value.type);
    put_number(out, value.correlation);
    out += value.payload;
    out += tag_of(out, secret);
    return out;
}

std::optional<frame> decode_frame(std::string_view bytes,
                                  std::string_view secret)
{
    if (bytes.size() < header_bytes + tag_bytes)
        return base::fail(error_kind::invalid_input, "the frame is too short",
                          "check that the sender is a mustardwick daemon");
    const auto signed_part = bytes.substr(0, bytes.size() - tag_bytes);
    const auto tag = bytes.substr(signed_part.size());
    if (!base::equal_in_constant_time(tag_of(signed_part, secret), tag))
        return base::fail(error_kind::unauthenticated,
                          "the frame's authentication tag is wrong",
                          "give all daemons the same inner.secret");
    if (static_cast<std::uint8_t>(bytes[0]) != protocol_version)
        return base::fail(error_kind::invalid_input,
                          "the frame has another protocol version",
                          "run the same release on all entry hosts");
    const auto type = static_cast<std::uint8_t>(bytes[1]);
    if (type > max_message_type)
        return base::fail(error_kind::invalid_input,
                          "the frame has an unknown type",
                          "run the same release on all entry hosts");
    frame out;
    out.type = static_cast<message_type>(type);
    out.correlation = get_number<std::uint64_t>(bytes.substr(2));
    out.payload = signed_part.substr(header_bytes);
    return out;
}

std::string make_challenge()
{
    unsigned char bytes[challenge_bytes];
    if (RAND_bytes(bytes, sizeof bytes) != 1)
        throw std::runtime_error("cannot generate random bytes");
    return {reinterpret_cast<const char*>(bytes), sizeof bytes};
}

std::string connection_key(std::string_view secret, std::string_view challenge)
{
    return tag_of(challenge, secret);
}

std::string encode_length(std::size_t n)
{
    std::string out;
    put_number(out, static_cast<std::uint32_t>(n));
    return out;
}

std::optional<std::size_t> decode_length(std::span<const char> bytes)
{
    const auto n = get_number<std::uint32_t>({bytes.data(), bytes.size()});
    if (n < header_bytes + tag_bytes ||
        n > header_bytes + max_payload_bytes + tag_bytes)
        return base::fail(error_kind::too_large,
                          "the frame's length is out of bounds",
                          "check that the sender is a mustardwick daemon");
    return n;
}

} // namespace mustardwick::wire
