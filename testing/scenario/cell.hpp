#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/scenario/process.hpp"
#include "testing/scenario/recorder.hpp"
#include "testing/scenario/statement.hpp"
#include "testing/scenario/tcp_relay.hpp"
#include "testing/scenario/udp_relay.hpp"

namespace mustardwick::testing
{

/// @brief Paths of the programs that a scenario runs and of its directory.
struct cell_paths
{
    std::string daemon;
    std::string platform;
    std::string workers;
    std::string directory;
};

/// @brief One worker_standin process, which hosts several workers, and its
/// relay.
struct worker_group
{
    std::string name;
    std::vector<std::string> workers;
    /// The declaring statement, with the capacity of each worker.
    statement declaration;
    std::uint16_t port = 0;
    process program;
    /// Exists only while the process runs; without the relay, connections are
    /// refused as they are for a process that is down.
    std::unique_ptr<tcp_relay> relay;
    std::uint16_t relay_port = 0;
};

/// @brief One daemon, with the relays for its connections to the store and for
/// those from its peers.
struct daemon_entry
{
    std::string name;
    statement declaration;
    std::uint16_t http_port = 0;
    std::uint16_t inner_port = 0;
    std::uint16_t store_port = 0;
    std::uint16_t peers_tcp_port = 0;
    process program;
    std::unique_ptr<tcp_relay> store;
    /// Exists only while the process runs, as for workers.
    std::unique_ptr<tcp_relay> peers_tcp;
    std::unique_ptr<udp_relay> peers_udp;
    /// True while the load balancer would route calls to this daemon.
    std::atomic<bool> receives_calls{false};
};

/// @brief The processes of a scenario: platform, workers and daemons.
class cell
{
public:
    cell(cell_paths paths, recorder& records)
        : paths_(std::move(paths)), recorder_(records)
    {
    }

    void declare_platform(const statement& line);
    bool declare_workers(const statement& line);
    bool declare_daemon(const statement& line);
    /// @brief Adds settings to the "timing" section of all daemons.
    void declare_timing(const statement& line);

    /// @brief Starts every declared process that is not running.
    ///
    /// Like the other operations, returns false and sets last_error() on
    /// failure.
    bool start();

    /// @brief Restarts a daemon or worker group that was killed or stopped.
    bool restore(const std::string& name);

    /// @brief Kills a daemon or a worker group with SIGKILL.
    bool kill(const std::string& name);

    /// @brief Stops a daemon with SIGTERM and waits up to the limit; fails when
    /// the exit status is not 0.
    bool stop(const std::string& name, milliseconds limit);

    bool signal(const std::string& name, int number);

    /// @brief Returns links by name (DAEMON.store, DAEMON.peers or WORKERS);
    /// empty when there is none of that name.
    std::vector<network_link*> links(const std::string& name);

    daemon_entry* find_daemon(const std::string& name);
    worker_group* find_workers(const std::string& name);
    /// @brief Returns the group that a worker belongs to, or nullptr.
    worker_group* find_group_of(const std::string& worker);

    /// @brief Returns the next daemon that receives calls, round robin; nullptr
    /// when there is none.
    daemon_entry* next_daemon();

    std::list<daemon_entry>& daemons()
    {
        return daemons_;
    }

    std::list<worker_group>& groups()
    {
        return groups_;
    }

    /// @brief Port of the platform stand-in that no daemon uses; 0 before
    /// start.
    std::uint16_t platform_port() const
    {
        return platform_ports_.empty() ? 0 : platform_ports_.back();
    }

    /// @brief Paths of the record files that the checker reads.
    std::vector<std::string> evidence_files() const;

private:
    bool start_platform();
    bool start_group(worker_group& group);
    bool start_daemon(daemon_entry& daemon);
    bool prepare_daemon(daemon_entry& daemon, std::uint16_t store_port);
    std::string file(const std::string& name) const;

    cell_paths paths_;
    recorder& recorder_;
    statement platform_declaration_;
    statement timing_;
    process platform_;
    std::vector<std::uint16_t> platform_ports_;
    std::list<worker_group> groups_;
    std::list<daemon_entry> daemons_;
    std::atomic<std::size_t> next_daemon_index_{0};
};

} // namespace mustardwick::testing
