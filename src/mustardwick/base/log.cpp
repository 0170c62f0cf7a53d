#include "mustardwick/base/log.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include <poll.h>
#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

namespace mustardwick::base
{

namespace
{

namespace logging = boost::log;

/// Further lines of a second are dropped and counted, so that logging does not
/// add CPU load during an overload.
constexpr int max_lines_per_second = 400;

/// Writes lines to standard output without blocking; drops a line when the
/// reader is too slow.
class output_backend : public logging::sinks::basic_formatted_sink_backend<char>
{
public:
    void consume(const logging::record_view&, const std::string& line)
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - second_started_ >= std::chrono::seconds(1))
        {
            report_dropped();
            second_started_ = now;
            lines_ = 0;
        }
        if (++lines_ > max_lines_per_second || !write_line(line + '\n'))
            ++dropped_;
    }

private:
    void report_dropped()
    {
        if (dropped_ == 0)
            return;
        if (write_line("level=warning component=log event=lines_dropped n=" +
                       std::to_string(dropped_) + '\n'))
            dropped_ = 0;
    }

    static bool write_line(const std::string& line)
    {
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0)
            return false;
        // A log line is shorter than what a writable pipe accepts in one write.
        return ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
    }

    std::chrono::steady_clock::time_point second_started_;
    int lines_ = 0;
    std::uint64_t dropped_ = 0;
};

using text_sink = logging::sinks::synchronous_sink<output_backend>;

constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

struct log_state
{
    std::string host = "-";
    log_level min_level = log_level::info;
};

log_state& state()
{
    static log_state value;
    return value;
}

bool is_plain(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte != '"' && byte != '\\' && byte != 0x7f;
}

void append_escaped(std::string& out, char c)
{
    if (c == '"' || c == '\\')
    {
        out += '\\';
        out += c;
    }
    else if (c == '\n')
        out += "\\n";
    else if (static_cast<unsigned char>(c) < ' ')
        out += '?';
    else
        out += c;
}

} // namespace

std::string quote_value(std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain))
        return std::string(value);
    std::string out = "\"";
    for (const char it : value)
        append_escaped(out, it);
    return out + '"';
}

log_level parse_log_level(std::string_view name)
{
    const auto it = std::find(level_names.begin(), level_names.end(), name);
    if (it == level_names.end())
        return log_level::info;
    return static_cast<log_level>(it - level_names.begin());
}

void set_up_log(std::string_view host, log_level min_level)
{
    state().host = host;
    state().min_level = min_level;
    auto core = logging::core::get();
    core->remove_all_sinks();
    auto sink =
        boost::make_shared<text_sink>(boost::make_shared<output_backend>());
    namespace expr = logging::expressions;
    sink->set_formatter(expr::stream
                        << "time="
                        << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                        << ' ' << expr::smessage);
    core->add_sink(sink);
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
}

void log_event(log_level level, std::string_view component,
               std::string_view event, std::initializer_list<field> fields)
{
    if (level < state().min_level)
        return;
    std::string line = "level=";
    line += level_names.at(static_cast<std::size_t>(level));
    line += " component=" + quote_value(component);
    line += " host=" + quote_value(state().host);
    line += " event=" + quote_value(event);
    for (const auto& it : fields)
    {
        line += ' ';
        line += it.key;
        line += '=' + quote_value(it.value);
    }
    logging::sources::logger logger;
    BOOST_LOG(logger) << line;
}

} // namespace mustardwick::base
