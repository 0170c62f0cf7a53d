#include <algorithm>
#include <chrono>
#include <limits>
#include <thread>

#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/resource.hpp"
#include "mustardwick/cli/resource_table.hpp"
#include "mustardwick/cli/table.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Duration of one long poll. An unresponsive connection delays changes by up
/// to this time plus the timeout.
constexpr milliseconds poll_timeout{5'000};
constexpr milliseconds min_retry_delay{200};
constexpr milliseconds max_retry_delay{5'000};
constexpr std::int64_t no_limit = std::numeric_limits<std::int64_t>::max();

/// Follows the changes of one resource kind across reconnections.
class watcher
{
public:
    watcher(context& call, std::string kind, std::int64_t from,
            std::int64_t count, milliseconds duration)
        : call_(call), kind_(std::move(kind)), version_(from),
          changes_left_(count), duration_(duration)
    {
    }

    exit_code run()
    {
        while (changes_left_ > 0 && time_left() > milliseconds{0})
        {
            const bool listing = version_ < 0;
            const auto answer =
                listing ? list_resources(call_.daemons, kind_) : poll();
            if (!answer || is_temporary(answer->status))
                wait_for_daemon(answer);
            else if (answer->status == 410)
                restart_from_list();
            else if (!answer->is_success())
                return report_refusal(call_.io, *answer, effect::reads);
            else if (!accept(*answer, listing))
                return report_failure(call_.io);
        }
        return exit_code::ok;
    }

private:
    milliseconds time_left() const
    {
        if (duration_ == milliseconds{0})
            return milliseconds::max();
        const auto spent = std::chrono::duration_cast<milliseconds>(
            steady_clock::now() - started_);
        return duration_ - spent;
    }

    std::optional<api_answer> poll()
    {
        const auto wait = std::min(poll_timeout, time_left());
        const auto target = path_of({"v1", "resources", kind_}) +
                            "?watch=" + std::to_string(version_) +
                            "&wait_ms=" + std::to_string(wait.count());
        return call_.daemons.call({.target = target, .extra_time = wait});
    }

    static bool is_temporary(int status)
    {
        return status == 429 || status >= 500;
    }

    void wait_for_daemon(const std::optional<api_answer>& answer)
    {
        // Print one line per interruption, not one per retry.
        if (retry_delay_ == min_retry_delay)
            call_.io.err << "interrupted: "
                         << (answer ? "status " + std::to_string(answer->status)
                                    : printable(base::last_error().text()))
                         << "; retrying from "
                         << (version_ < 0
                                 ? "a new list"
                                 : "version " + std::to_string(version_))
                         << std::endl;
        std::this_thread::sleep_for(std::min(retry_delay_, time_left()));
        retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
    }

    void restart_from_list()
    {
        call_.io.err << "version " << version_
                     << " is too old: the changes since then are no longer "
                        "available; listing "
                     << kind_ << " again" << std::endl;
        version_ = -1;
    }

    bool accept(const api_answer& answer, bool listing)
    {
        const auto body = answer.json();
        if (!body)
            return false;
        retry_delay_ = min_retry_delay;
        if (listing)
            show_list(*body);
        else
            show_changes(*body);
        call_.io.out.flush();
        return true;
    }

    void show_list(const web::json::value& body)
    {
        if (call_.wants_json())
            call_.io.out << body.serialize() << '\n';
        else
            print(call_.io.out,
                  make_resource_table(kind_, member_of(body, "items")));
        version_ = number_of(body, "version");
    }

    void show_changes(const web::json::value& body)
    {
        const auto changes = member_of(body, "changes");
        if (changes.is_array())
            for (const auto& it : changes.as_array())
                show_change(it);
        // A daemon that lags behind the previous one answers with an older
        // version; returning to it would print changes twice.
        version_ = std::max(version_, number_of(body, "version"));
    }

    void show_change(const web::json::value& change)
    {
        const auto version = number_of(change, "version");
        if (version <= version_ || changes_left_ == 0)
            return;
        version_ = version;
        --changes_left_;
        if (call_.wants_json())
        {
            call_.io.out << change.serialize() << '\n';
            return;
        }
        const auto resource = member_of(change, "resource");
        const auto line =
            std::to_string(version) + " " + text_of(change, "operation") + " " +
            text_of(change, "kind") + "/" + text_of(change, "name") + " " +
            pairs_of(member_of(resource, "desired"));
        call_.io.out << printable(line) << '\n';
    }

    context& call_;
    std::string kind_;
    std::int64_t version_;
    std::int64_t changes_left_;
    milliseconds duration_;
    milliseconds retry_delay_ = min_retry_delay;
    steady_clock::time_point started_ = steady_clock::now();
};

exit_code run_watch(context& call)
{
    const auto& args = call.args;
    const auto kind = parse_kind(args.positional()[0]);
    if (!kind)
        return report_failure(call.io);
    const auto from = args.number("from", -1, no_limit);
    const auto count = from ? args.number("count", 0, no_limit) : std::nullopt;
    const auto duration =
        count ? args.number("for-ms", 0, no_limit / 2) : std::nullopt;
    if (!duration)
        return report_failure(call.io);
    watcher out(call, *kind, *from, *count == 0 ? no_limit : *count,
                milliseconds{*duration});
    return out.run();
}

} // namespace

std::vector<verb> watch_verbs()
{
    return {
        {.name = "watch",
         .operands = "KIND",
         .summary = "Lists the resources of a kind, then shows each change.",
         .examples = "  mustardwick watch hosts\n"
                     "  mustardwick watch queues --from 120 --output json\n"
                     "  mustardwick watch teams --count 1 --for-ms 10000\n",
         .min_operands = 1,
         .max_operands = 1,
         .options = {{"from",
                      "show the changes after this version; -1 lists first",
                      "VERSION", "-1"},
                     {"count", "stop after this many changes; 0 means never",
                      "N", "0"},
                     {"for-ms",
                      "stop after this time, in milliseconds; 0 means never",
                      "N", "0"}},
         .run = run_watch},
    };
}

} // namespace mustardwick::cli
