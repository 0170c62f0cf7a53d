// OpenSSL 3 deprecates RAND_METHOD; the only replacement is a provider module.
#define OPENSSL_SUPPRESS_DEPRECATED

#include "testing/model/seeded_ids.hpp"

#include <random>

#include <openssl/rand.h>

namespace mustardwick::testing
{

namespace
{

std::mt19937_64& generator()
{
    static std::mt19937_64 out;
    return out;
}

int fill(unsigned char* bytes, int count)
{
    for (int n = 0; n < count; ++n)
        bytes[n] = static_cast<unsigned char>(generator()());
    return 1;
}

} // namespace

void seed_ids(std::uint64_t seed)
{
    static const RAND_METHOD method = {nullptr, fill, nullptr,
                                       nullptr, fill, nullptr};
    RAND_set_rand_method(&method);
    generator().seed(seed);
}

} // namespace mustardwick::testing
