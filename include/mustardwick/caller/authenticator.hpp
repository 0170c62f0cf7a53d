#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/coordination/settings.hpp"

namespace mustardwick::caller
{

/// @brief Team whose keys may use the operator interface.
inline constexpr std::string_view operator_team = "operators";

/// @brief The team that sent a request.
struct principal
{
    /// Empty for a request without a key.
    std::string team;

    bool is_operator() const
    {
        return team == operator_team;
    }
};

/// @brief Authenticates requests by their API key.
class authenticator
{
public:
    authenticator(const coordination::config_store& config,
                  coordination::bootstrap_key operator_key);

    /// @brief Authenticates an Authorization header "Bearer ID.SECRET".
    ///
    /// An empty header gives a principal without a team; a malformed header or
    /// an invalid key gives error_kind::unauthenticated. Keys other than the
    /// bootstrap key are checked only against a fresh configuration, because
    /// they may have been withdrawn; without one the error is
    /// error_kind::unavailable.
    std::optional<principal> authenticate(std::string_view header) const;

private:
    std::optional<principal> check(std::string_view id,
                                   std::string_view secret) const;

    const coordination::config_store& config_;
    coordination::bootstrap_key operator_key_;
};

} // namespace mustardwick::caller
