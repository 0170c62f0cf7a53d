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

/// @brief The platform's table service and host list over HTTP.
///
/// Uses cpprestsdk's client. It may send a request twice by itself, which is
/// harmless here because the checks of a transaction make a repeat harmless.
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

    /// @brief Reads which hosts the platform lists as leaving.
    std::optional<std::set<std::string>> list_leaving_hosts();

    /// @brief Bytes sent and received so far, headers included.
    std::uint64_t bytes_transferred() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mustardwick::ports
