#pragma once

#include <functional>
#include <istream>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "mustardwick/cli/arguments.hpp"
#include "mustardwick/cli/daemon_client.hpp"
#include "mustardwick/cli/exit_code.hpp"

namespace mustardwick::cli
{

/// @brief The standard streams and the environment of the program.
struct console
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    /// Returns an environment variable; empty when it is not set.
    std::function<std::string(const std::string&)> variable;
};

/// @brief The arguments and environment of a running verb.
struct context
{
    const arguments& args;
    daemon_client& daemons;
    console& io;
    std::string output;

    bool wants_json() const
    {
        return output == "json";
    }
};

/// @brief One verb (subcommand) of the command line.
struct verb
{
    std::string name{};
    std::string operands{};
    std::string summary{};
    std::string examples{};
    std::size_t min_operands = 0;
    std::size_t max_operands = 0;
    std::vector<option_spec> options{};
    /// Output formats; the first one is the default.
    std::vector<std::string> outputs{"table", "json"};
    bool needs_daemon = true;
    std::function<exit_code(context&)> run{};
};

std::vector<verb> resource_read_verbs();
std::vector<verb> resource_write_verbs();
std::vector<verb> watch_verbs();
std::vector<verb> key_verbs();
std::vector<verb> drain_verbs();
std::vector<verb> job_verbs();
std::vector<verb> request_verbs();
std::vector<verb> time_line_verbs();
std::vector<verb> stats_verbs();
std::vector<verb> completion_verbs();

/// @brief Returns all verbs in the order of the help text.
const std::vector<verb>& all_verbs();

/// @brief Returns the verb with this name, or null.
const verb* find_verb(std::string_view name);

/// @brief Returns the options that every verb accepts.
const std::vector<option_spec>& global_options();

/// @brief Returns the help text of one verb, with its examples.
std::string help_of(const verb& value);

/// @brief Returns the help text of the program: verbs and global options.
std::string program_help();

} // namespace mustardwick::cli
