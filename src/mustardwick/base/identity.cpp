#include "mustardwick/base/identity.hpp"

#include <stdexcept>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace mustardwick::base
{

namespace
{

std::string to_hex(const unsigned char* bytes, std::size_t n)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (std::size_t it = 0; it < n; ++it)
    {
        out += digits[bytes[it] >> 4U];
        out += digits[bytes[it] & 0xfU];
    }
    return out;
}

} // namespace

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> buf(bytes);
    if (RAND_bytes(buf.data(), static_cast<int>(bytes)) != 1)
        throw std::runtime_error("the system's random source failed");
    return to_hex(buf.data(), bytes);
}

std::string unique_id()
{
    constexpr std::size_t id_bytes = 8;
    return random_hex(id_bytes);
}

std::string salted_hash(std::string_view salt, std::string_view secret)
{
    std::string text(salt);
    text += ':';
    text += secret;
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int n = 0;
    EVP_Digest(text.data(), text.size(), digest, &n, EVP_sha256(), nullptr);
    return to_hex(digest, n);
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t stable_hash(std::string_view text)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset;
    for (const char it : text)
    {
        hash ^= static_cast<unsigned char>(it);
        hash *= prime;
    }
    // FNV-1a leaves the high bits correlated for short keys that differ only in
    // the last characters; the final mix spreads them.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace mustardwick::base
