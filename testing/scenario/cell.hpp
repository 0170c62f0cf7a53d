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

/// @brief Programs that a scenario runs, and where it keeps its files.
struct cell_paths
{
    std::string daemon;
    std::string platform;
    std::string workers;
    std::string directory;
};

/// @brief One worker_standin process with its relay.
struct worker_group
{
    std::string name;
    std::vector<std::string> workers;
    /// The declaration, with the sizes of the workers.
    statement declaration;
    std::uint16_t port = 0;
    process program;
    /// Exists while the process runs, so that connections to a process that
    /// does not run are refused.
    std::unique_ptr<tcp_relay> relay;
    std::uint16_t relay_port = 0;
};

/// @brief One daemon with the relays on its ways to the store and from peers.
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
    /// Exists while the process runs, as for workers.
    std::unique_ptr<tcp_relay> peers_tcp;
    std::unique_ptr<udp_relay> peers_udp;
    /// False while the load balancer sends it no calls.
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
    /// @brief Settings under "timing" of all daemons.
    void declare_timing(const statement& line);

    /// @brief Starts everything that is declared and not started yet.
    bool start();

    /// @brief Starts a killed or stopped daemon or worker group again.
    bool restore(const std::string& name);

    /// @brief Kills a daemon or a worker group.
    bool kill(const std::string& name);

    /// @brief Stops a daemon or a worker group and waits for its end.
    bool stop(const std::string& name, milliseconds limit);

    bool signal(const std::string& name, int number);

    /// @brief Links by name: DAEMON.store, DAEMON.peers or WORKERS.
    std::vector<network_link*> links(const std::string& name);

    daemon_entry* find_daemon(const std::string& name);
    worker_group* find_workers(const std::string& name);
    /// @brief The group that a worker belongs to.
    worker_group* find_group_of(const std::string& worker);

    /// @brief The next daemon that takes calls, in turn.
    daemon_entry* next_daemon();

    std::list<daemon_entry>& daemons()
    {
        return daemons_;
    }

    std::list<worker_group>& groups()
    {
        return groups_;
    }

    /// @brief Port of the platform that no daemon uses.
    std::uint16_t platform_port() const
    {
        return platform_ports_.empty() ? 0 : platform_ports_.back();
    }

    /// @brief Files for the checker.
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
