#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/http/message.hpp"
#include "testing/standin/host_list.hpp"
#include "testing/standin/platform_faults.hpp"
#include "testing/standin/sleeper.hpp"
#include "testing/standin/table_state.hpp"

namespace mustardwick::testing
{

/// @brief The HTTP interface of the platform stand-in.
///
/// All ports share one table, host list and object store; each port has its own
/// faults.
class platform_service
{
public:
    platform_service(const base::clock& time, std::chrono::milliseconds lag)
        : hosts_(time, lag)
    {
    }

    /// @brief Adds a port and returns its index; call before any server starts.
    std::size_t add_port();

    /// @brief Sets the TCP port number of the port at an index of add_port().
    void bind_port(std::size_t index, std::uint16_t port);

    /// @brief Handles a request that arrived on the port at the given index.
    http::response handle(std::size_t index, const http::request& call);

    /// @brief Ends all injected delays early.
    void shut_down()
    {
        sleeper_.shut_down();
    }

private:
    struct port_entry
    {
        std::atomic<std::uint16_t> port{0};
        platform_faults faults;
    };

    http::response handle_data(platform_faults& faults,
                               const http::request& call);
    http::response commit(platform_faults& faults, const http::request& call);
    http::response rows(const http::request& call);
    http::response get_hosts();
    http::response put_hosts(const http::request& call);
    http::response handle_object(const http::request& call);
    http::response set_faults(const http::request& call);
    http::response statistics() const;

    table_state table_;
    host_list hosts_;
    sleeper sleeper_;
    std::vector<std::unique_ptr<port_entry>> ports_;
    std::mutex object_mutex_;
    std::map<std::string, std::string, std::less<>> objects_;
};

} // namespace mustardwick::testing
