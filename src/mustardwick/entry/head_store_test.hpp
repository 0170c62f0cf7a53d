#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>

#include "mustardwick/aio/http_listener.hpp"
#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "platform/store_client.hpp"
#include "src/mustardwick/aio/guard_test.hpp"

namespace mustardwick::entry::test
{

enum class store_fault
{
    none,
    /// The first transaction takes effect but is never answered.
    answer_lost,
    /// Every answer takes 710 ms, 70 times the usual time.
    slow,
    /// The first call is refused.
    refused_once,
    /// Every call is refused.
    refused,
    /// Another daemon has written the head row.
    superseded,
    /// Calls have no effect and are not answered.
    unresponsive,
    /// A transaction that writes other rows is answered with 400.
    content_invalid,
    /// The same with 503.
    content_refused,
    /// The same, and the answers to other transactions are lost.
    content_invalid_answers_lost
};

/// A store that holds only the head row and implements the store's HTTP
/// protocol.
struct head_store
{
    void handle(const aio::incoming_request& request,
                const aio::responder& respond)
    {
        ++calls;
        if (fault == store_fault::unresponsive)
            return;
        if (fault == store_fault::refused ||
            (fault == store_fault::refused_once && calls == 1))
            return respond({503, "{}", "application/json", {}});
        if (request.method == "GET")
            return answer({200, head_row(), "application/json", {}}, respond);
        const bool has_content =
            request.body.find("\"value\"") != request.body.rfind("\"value\"");
        if (rejects_content() && has_content)
        {
            const int status =
                fault == store_fault::content_refused ? 503 : 400;
            return respond({status, "{}", "application/json", {}});
        }
        const auto at = request.body.find("\"row_version\":");
        const auto expected = std::stoll(request.body.substr(at + 14));
        const bool matches = expected == version;
        if (matches)
        {
            ++version;
            // The head row is the last of the writes.
            const auto begin = request.body.rfind("\"value\":\"") + 9;
            value = request.body.substr(begin,
                                        request.body.find('"', begin) - begin);
        }
        const bool answer_lost =
            (fault == store_fault::answer_lost && calls == 1) ||
            (fault == store_fault::content_invalid_answers_lost && matches);
        if (answer_lost)
            return;
        const auto number = std::to_string(version);
        const auto body =
            matches ? "{\"row_version\":" + number + "}" : head_row();
        const aio::outgoing_response out{
            matches ? 200 : 412, body, "application/json", {}};
        answer(out, respond);
    }

    bool rejects_content() const
    {
        return fault == store_fault::content_invalid ||
               fault == store_fault::content_refused ||
               fault == store_fault::content_invalid_answers_lost;
    }

    void answer(const aio::outgoing_response& out,
                const aio::responder& respond) const
    {
        if (fault != store_fault::slow)
            return respond(out);
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io, std::chrono::milliseconds(710));
        timer->async_wait(
            [timer, respond, out](boost::system::error_code)
            {
                respond(out);
            });
    }

    std::string head_row() const
    {
        const auto number = std::to_string(version);
        return R"({"row_version":)" + number +
               R"(,"rows":[{"table":"cell","part":"plan",)"
               R"("key":"head","row_version":)" +
               number + R"(,"value":")" + value + "\"}]}";
    }

    boost::asio::io_context& io;
    store_fault fault = store_fault::none;
    int calls = 0;
    std::int64_t version = 4;
    std::string value;
};

/// A store with its client in one process.
struct store_fixture
{
    store_fixture(std::uint16_t port, store_fault fault, std::string head)
        : store{io, fault, 0, 4, std::move(head)}, address{"127.0.0.1", port},
          listener(io, address, "Deadline-Ms", aio::test::ample_guard(),
                   [this](const auto& request, auto respond)
                   {
                       store.handle(request, respond);
                   }),
          client(io, address, metrics)
    {
        base::set_up_log("test", base::log_level::error);
        cr_assert(listener.start(), "%s", base::last_error().text().c_str());
    }

    boost::asio::io_context io;
    base::system_clock clock;
    base::metrics metrics;
    head_store store;
    wire::endpoint address;
    aio::http_listener listener;
    platform::store_client client;
};

} // namespace mustardwick::entry::test
