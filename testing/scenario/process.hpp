#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace mustardwick::testing
{

/// @brief A child process, killed when the object is destroyed or the runner
/// exits.
class process
{
public:
    process() = default;
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// @brief Starts a program and appends its standard output and standard
    /// error to a file; false when it is already running or cannot be started.
    bool start(const std::vector<std::string>& command,
               const std::string& output_file);

    /// @brief Sends a signal; false when the process is not running.
    bool signal(int number) const;

    /// @brief Waits for the process to exit; std::nullopt on timeout.
    ///
    /// Returns the exit status, or the negated number of the fatal signal.
    std::optional<int> wait(std::chrono::milliseconds time);

    /// @brief Sends SIGKILL and waits for the process to exit.
    void kill();

    /// @brief Returns whether the process is running, and reaps it once it has
    /// exited.
    bool is_running();

private:
    pid_t id_ = 0;
    std::optional<int> status_;
};

} // namespace mustardwick::testing
