#include "mustardwick/caller/authenticator.hpp"

#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"

namespace mustardwick::caller
{

using base::error_kind;

namespace
{

constexpr std::string_view scheme = "Bearer ";

std::nullopt_t invalid_key()
{
    return base::fail(error_kind::unauthenticated,
                      "the key is unknown, withdrawn or wrong",
                      "ask an operator for a key of your team");
}

bool matches(std::string_view salt, std::string_view hash,
             std::string_view secret)
{
    return base::equal_in_constant_time(base::salted_hash(salt, secret), hash);
}

} // namespace

authenticator::authenticator(const coordination::config_store& config,
                             coordination::bootstrap_key operator_key)
    : config_(config), operator_key_(std::move(operator_key))
{
}

std::optional<principal>
authenticator::authenticate(std::string_view header) const
{
    if (header.empty())
        return principal{};
    const auto dot = header.find('.');
    if (!header.starts_with(scheme) || dot == std::string_view::npos)
        return invalid_key();
    const auto id = header.substr(scheme.size(), dot - scheme.size());
    return check(id, header.substr(dot + 1));
}

std::optional<principal> authenticator::check(std::string_view id,
                                              std::string_view secret) const
{
    if (id == operator_key_.id)
    {
        if (!matches(operator_key_.salt, operator_key_.hash, secret))
            return invalid_key();
        return principal{std::string(operator_team)};
    }
    if (!config_.is_fresh())
        return base::fail(error_kind::unavailable,
                          "the configuration is not confirmed, so keys cannot "
                          "be checked",
                          "retry after a delay");
    const auto config = config_.current();
    const auto it = config->keys.find(id);
    const bool valid = it != config->keys.end() && !it->second.withdrawn &&
                       matches(it->second.salt, it->second.hash, secret);
    if (!valid)
        return invalid_key();
    return principal{it->second.team};
}

} // namespace mustardwick::caller
