#include "mustardwick/cli/verb.hpp"

#include <algorithm>
#include <iterator>

namespace mustardwick::cli
{

namespace
{

void append(std::vector<verb>& out, std::vector<verb> group)
{
    std::move(group.begin(), group.end(), std::back_inserter(out));
}

std::vector<verb> collect_verbs()
{
    std::vector<verb> out;
    append(out, resource_read_verbs());
    append(out, resource_write_verbs());
    append(out, watch_verbs());
    append(out, key_verbs());
    append(out, drain_verbs());
    append(out, job_verbs());
    append(out, request_verbs());
    append(out, time_line_verbs());
    append(out, stats_verbs());
    append(out, completion_verbs());
    return out;
}

std::string output_formats(const verb& value)
{
    std::string out;
    for (const auto& it : value.outputs)
        out += (out.empty() ? "" : ", ") + it;
    return out;
}

} // namespace

const std::vector<verb>& all_verbs()
{
    static const auto verbs = collect_verbs();
    return verbs;
}

const verb* find_verb(std::string_view name)
{
    const auto& verbs = all_verbs();
    const auto it = std::find_if(verbs.begin(), verbs.end(),
                                 [name](const auto& value)
                                 {
                                     return value.name == name;
                                 });
    return it == verbs.end() ? nullptr : &*it;
}

const std::vector<option_spec>& global_options()
{
    static const std::vector<option_spec> options = {
        {"daemon",
         "daemon to call; repeat the option for fallback daemons "
         "(environment: MUSTARDWICK_DAEMONS, separated by commas)",
         "IP:PORT", ""},
        {"key", "key to authenticate with (environment: MUSTARDWICK_KEY)",
         "KEY", ""},
        {"key-file", "file that contains the key", "FILE", ""},
        {"ca", "use TLS and trust this certificate authority (PEM)", "FILE",
         ""},
        {"output", "output format", "FORMAT", ""},
        {"timeout-ms", "time to wait for an answer, in milliseconds", "N",
         "5000"},
        {"h,help", "show this help", "", ""},
    };
    return options;
}

std::string help_of(const verb& value)
{
    std::string out = "Usage: mustardwick " + value.name + " [OPTION...]";
    if (!value.operands.empty())
        out += " " + value.operands;
    out += "\n\n" + value.summary + "\n";
    if (!value.options.empty())
        out += "\nOptions:\n" + describe(value.options);
    out += "\nGlobal options:\n" + describe(global_options());
    out += "\nOutput formats: " + output_formats(value) + "\n";
    out += "\nExamples:\n" + value.examples;
    return out;
}

std::string program_help()
{
    std::size_t width = 0;
    for (const auto& it : all_verbs())
        width = std::max(width, it.name.size());
    std::string out = "Usage: mustardwick VERB [OPTION...]\n\nVerbs:\n";
    for (const auto& it : all_verbs())
    {
        auto name = it.name;
        name.resize(width, ' ');
        out += "  " + name + "  " + it.summary + "\n";
    }
    out += "\nGlobal options:\n" + describe(global_options());
    out += "\nExit codes: 0 done, 1 refused or not found, 2 usage, 3 outcome "
           "unknown, 4 unreachable\n";
    out += "\n'mustardwick VERB --help' shows the options of a verb and "
           "examples.\n";
    return out;
}

} // namespace mustardwick::cli
