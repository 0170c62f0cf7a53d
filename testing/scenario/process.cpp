#include "testing/scenario/process.hpp"

#include <csignal>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mustardwick::testing
{

namespace
{

constexpr int failed_exec_status = 127;
constexpr mode_t file_mode = 0644;
constexpr std::chrono::milliseconds poll_interval{5};
constexpr std::chrono::milliseconds kill_timeout{5000};

/// Runs in the child; calls only async-signal-safe functions.
[[noreturn]] void run_child(char* const* arguments, int output)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments[0], arguments);
    _exit(failed_exec_status);
}

} // namespace

process::~process()
{
    kill();
}

bool process::start(const std::vector<std::string>& command,
                    const std::string& output_file)
{
    if (is_running())
        return false;
    std::vector<std::string> copies = command;
    std::vector<char*> arguments;
    arguments.reserve(copies.size() + 1);
    for (auto& it : copies)
        arguments.push_back(it.data());
    arguments.push_back(nullptr);
    const int output =
        open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
             file_mode);
    if (output < 0)
        return false;
    status_.reset();
    id_ = fork();
    if (id_ == 0)
        run_child(arguments.data(), output);
    close(output);
    return id_ > 0;
}

bool process::signal(int number) const
{
    return id_ > 0 && ::kill(id_, number) == 0;
}

bool process::is_running()
{
    if (id_ <= 0)
        return false;
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_)
        return true;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -int{WTERMSIG(status)};
    id_ = 0;
    return false;
}

std::optional<int> process::wait(std::chrono::milliseconds time)
{
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (is_running() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(poll_interval);
    return is_running() ? std::nullopt : status_;
}

void process::kill()
{
    if (!is_running())
        return;
    signal(SIGKILL);
    wait(kill_timeout);
}

} // namespace mustardwick::testing
