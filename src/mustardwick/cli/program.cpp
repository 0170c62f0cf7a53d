#include "mustardwick/cli/program.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/files.hpp"
#include "mustardwick/cli/report.hpp"

namespace mustardwick::cli
{

namespace
{

constexpr std::int64_t max_timeout_ms = 600'000;

bool takes_value(const std::string& word)
{
    const auto& options = global_options();
    return std::any_of(options.begin(), options.end(),
                       [&word](const auto& it)
                       {
                           return word == "--" + it.long_name() &&
                                  !it.value_name.empty();
                       });
}

/// Returns the index of the first word that is neither a global option nor the
/// value of one.
std::size_t find_verb_word(std::span<const std::string> words)
{
    std::size_t n = 0;
    while (n < words.size() && words[n].starts_with("-"))
        n += takes_value(words[n]) ? 2 : 1;
    return std::min(n, words.size());
}

exit_code usage_error(console& io, const std::string& text)
{
    io.err << "error: " << text << '\n';
    return exit_code::usage;
}

std::string daemon_list(const arguments& args, const console& io)
{
    std::string out;
    for (const auto& it : args.texts("daemon"))
        out += (out.empty() ? "" : ",") + it;
    return out.empty() ? io.variable("MUSTARDWICK_DAEMONS") : out;
}

std::optional<wire::endpoint> parse_daemon(std::string_view text)
{
    auto out = wire::parse_endpoint(text);
    if (!out || out->address.find(':') == std::string::npos)
        return out;
    // cpprestsdk 2.10 passes the brackets to the resolver, which rejects them.
    return base::fail(base::error_kind::invalid_input,
                      std::string(text) + ": IPv6 addresses are not "
                                          "supported",
                      "give an IPv4 address of the daemon");
}

std::optional<std::vector<wire::endpoint>> parse_daemons(std::string_view list)
{
    std::vector<wire::endpoint> out;
    while (!list.empty())
    {
        const auto comma = list.find(',');
        const auto daemon = parse_daemon(list.substr(0, comma));
        if (!daemon)
            return std::nullopt;
        out.push_back(*daemon);
        list = comma == std::string_view::npos ? "" : list.substr(comma + 1);
    }
    if (out.empty())
        return base::fail(base::error_kind::invalid_input,
                          "a daemon is required",
                          "give --daemon IP:PORT or set MUSTARDWICK_DAEMONS");
    return out;
}

std::optional<std::string> find_key(const arguments& args, const console& io)
{
    if (args.given("key"))
        return args.text("key");
    if (!args.given("key-file"))
        return io.variable("MUSTARDWICK_KEY");
    auto out = read_file(args.text("key-file"), io.in);
    if (out)
        out->erase(out->find_last_not_of(" \r\n\t") + 1);
    return out;
}

std::optional<daemon_settings> parse_settings(const arguments& args,
                                              const console& io)
{
    daemon_settings out;
    auto daemons = parse_daemons(daemon_list(args, io));
    if (!daemons)
        return std::nullopt;
    out.daemons = std::move(*daemons);
    auto key = find_key(args, io);
    if (!key)
        return std::nullopt;
    out.key = std::move(*key);
    out.ca_file = args.text("ca");
    const auto timeout = args.number("timeout-ms", 1, max_timeout_ms);
    if (!timeout)
        return std::nullopt;
    out.timeout = std::chrono::milliseconds{*timeout};
    return out;
}

std::optional<std::string> parse_output(const verb& value,
                                        const arguments& args)
{
    if (!args.given("output"))
        return value.outputs.front();
    auto out = args.text("output");
    const auto& formats = value.outputs;
    if (std::find(formats.begin(), formats.end(), out) != formats.end())
        return out;
    std::string allowed;
    for (const auto& it : formats)
        allowed += (allowed.empty() ? "" : ", ") + it;
    return base::fail(base::error_kind::invalid_input,
                      "--output: invalid value '" + out + "'",
                      "give one of " + allowed);
}

bool check_operands(const verb& value, const arguments& args)
{
    const auto n = args.positional().size();
    if (n >= value.min_operands && n <= value.max_operands)
        return true;
    const auto expected = value.operands.empty() ? "none" : value.operands;
    base::fail(base::error_kind::invalid_input,
               value.name + ": found " + std::to_string(n) +
                   " operands, expected: " + expected,
               "see mustardwick " + value.name + " --help");
    return false;
}

exit_code run_verb(const verb& value, std::span<const std::string> words,
                   console& io)
{
    auto options = value.options;
    const auto& globals = global_options();
    options.insert(options.end(), globals.begin(), globals.end());
    const auto args = arguments::parse(words, options);
    if (!args)
        return usage_error(io, base::last_error().text());
    if (args->given("help"))
    {
        io.out << help_of(value);
        return exit_code::ok;
    }
    const auto output = parse_output(value, *args);
    if (!output || !check_operands(value, *args))
        return usage_error(io, base::last_error().text());
    auto settings = value.needs_daemon
                        ? parse_settings(*args, io)
                        : std::optional<daemon_settings>(std::in_place);
    if (!settings)
        return usage_error(io, base::last_error().text());
    daemon_client daemons(std::move(*settings));
    context call{*args, daemons, io, *output};
    return value.run(call);
}

} // namespace

exit_code run_program(std::span<const std::string> words, console& io)
{
    const auto at = find_verb_word(words);
    std::vector<std::string> rest(words.begin(), words.end());
    if (at == words.size())
    {
        const bool help_requested =
            std::find(rest.begin(), rest.end(), "--help") != rest.end() ||
            std::find(rest.begin(), rest.end(), "-h") != rest.end();
        (help_requested ? io.out : io.err) << program_help();
        return help_requested ? exit_code::ok : exit_code::usage;
    }
    const auto* const value = find_verb(rest[at]);
    if (value == nullptr)
        return usage_error(io, "unknown verb '" + rest[at] +
                                   "'; see mustardwick --help");
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(at));
    return run_verb(*value, rest, io);
}

} // namespace mustardwick::cli
