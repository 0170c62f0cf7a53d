#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/ports/table.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::ports
{

/// @brief HTTP client of the platform's table service and host list.
///
/// The cpprestsdk client may resend a request by itself; the checks of a
/// transaction keep a resent one from being applied twice.
class http_table
{
public:
    http_table(const wire::endpoint& where, std::chrono::milliseconds timeout);
    ~http_table();
    http_table(const http_table&) = delete;
    http_table& operator=(const http_table&) = delete;

    std::optional<row> read(std::string_view key);
    std::optional<row_page> scan(std::string_view prefix,
                                 std::string_view after);
    commit_result commit(const transaction& change);

    /// @brief Returns the hosts that the platform lists as leaving.
    ///
    /// error_kind::unavailable when the platform cannot be reached.
    std::optional<std::set<std::string>> list_leaving_hosts();

    /// @brief Returns the bytes sent and received so far, headers included.
    std::uint64_t bytes_transferred() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mustardwick::ports
