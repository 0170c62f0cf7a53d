#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mustardwick/base/log.hpp"
#include "mustardwick/base/time_line.hpp"
#include "mustardwick/coordination/worker_leases.hpp"
#include "testing/standin/fake_table.hpp"

namespace mustardwick::testing
{

/// @brief A call to open or renew a lease, as a worker received it.
struct lease_call
{
    std::string address;
    std::string lease;
};

/// @brief Workers that answer at the given addresses and record the calls.
class recording_workers
{
public:
    std::optional<ports::lease_state> open(const ports::worker_address& worker,
                                           const std::string& holder,
                                           std::chrono::milliseconds ttl);
    std::optional<ports::lease_state>
    renew(const ports::worker_address& worker, const std::string& lease,
          std::chrono::milliseconds ttl, const std::vector<std::string>& ended);
    std::optional<ports::task_orders_result>
    order(const ports::worker_address& worker, const std::string& lease,
          const ports::task_orders& orders);
    wire::forward_answer request(const ports::worker_address& worker,
                                 const ports::target_request& call);
    std::optional<ports::attempt_answer>
    attempt(const ports::worker_address& worker, const std::string& lease,
            const std::string& attempt);

    std::set<std::string> answering;
    std::vector<lease_call> opened;
    std::vector<lease_call> renewed;

private:
    bool answers(const ports::worker_address& worker) const;
};

/// @brief worker_leases of one daemon, "a", over a table in memory.
class lease_fixture
{
public:
    static constexpr const char* first_address = "10.0.0.1:80";
    static constexpr const char* second_address = "10.0.0.2:80";

    explicit lease_fixture(const std::vector<std::string>& hosts);

    /// @brief Declares a host, or gives it another address.
    void declare(const std::string& host, const std::string& address);

    /// @brief Returns the daemon that the row of a host names.
    std::string holder_of(const std::string& host);

    /// @brief Commits a row without any check.
    void write(const std::string& key, const std::string& value);

    /// @brief Lets time pass while the leases and the member row are renewed.
    void run(base::milliseconds time);

    base::manual_clock clock;
    table_state state;
    fake_table service{state};
    ports::table table{service};
    base::time_line events{clock, "a", 16};
    recording_workers workers;
    coordination::member_registry registry;
    std::set<std::string, std::less<>> dead;
    coordination::cluster_view view;
    coordination::change_freeze freeze{clock};
    coordination::config_store config;
    /// Host reports, in order.
    std::vector<wire::host_report> reports;
    coordination::worker_leases leases;
};

} // namespace mustardwick::testing
