#include "mustardwick/ports/worker.hpp"

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::ports;
using std::chrono::milliseconds;

namespace
{

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

/// What a worker does with a request; status 0 closes the connection.
struct reaction
{
    unsigned status = 0;
    std::string body;
};

const reaction served{200, R"({"status":200,"body":"x"})"};
const reaction dies{0, ""};
const reaction lease_closed{409, R"({"error":"conflict"})"};
const reaction repeated_attempt{409, R"({"error":"repeated"})"};
const reaction unavailable{503, ""};

/// Reacts to the requests on one connection after the other.
class scripted_worker
{
public:
    explicit scripted_worker(std::vector<reaction> reactions)
        : thread_(
              [this, reactions = std::move(reactions)]
              {
                  run(reactions);
              })
    {
    }

    ~scripted_worker()
    {
        thread_.join();
    }

    worker_address address() const
    {
        return {{"127.0.0.1", acceptor_.local_endpoint().port()}, "w"};
    }

private:
    void run(const std::vector<reaction>& reactions)
    {
        auto socket = acceptor_.accept();
        for (const auto& it : reactions)
        {
            if (!react(socket, it))
                socket = acceptor_.accept();
        }
    }

    /// Returns false when the connection was closed.
    static bool react(tcp::socket& socket, const reaction& it)
    {
        boost::beast::flat_buffer buf;
        boost::system::error_code ec;
        http::request<http::string_body> call;
        http::read(socket, buf, call, ec);
        if (it.status == 0)
        {
            socket.close(ec);
            return false;
        }
        http::response<http::string_body> answer;
        answer.version(11);
        answer.result(it.status);
        answer.body() = it.body;
        answer.prepare_payload();
        http::write(socket, answer, ec);
        return true;
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_{io_,
                            {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::thread thread_;
};

struct outcome_case
{
    const char* name;
    std::vector<reaction> reactions;
    wire::outcome last;
};

} // namespace

// Guards against "not run" about a request that may have run: the worker died
// while it served the request, and its next process refused the second copy.
Test(worker_client, refuses_only_requests_that_have_not_run, .timeout = 30)
{
    const outcome_case cases[] = {
        {"served", {served}, wire::outcome::done},
        {"lease closed", {lease_closed}, wire::outcome::refused},
        {"lease closed later", {served, lease_closed}, wire::outcome::refused},
        {"repeated attempt", {repeated_attempt}, wire::outcome::unknown},
        {"status of an intermediary", {unavailable}, wire::outcome::unknown},
        {"second copy refused",
         {served, dies, lease_closed},
         wire::outcome::unknown},
        {"second copy served", {served, dies, served}, wire::outcome::done},
    };
    for (const auto& it : cases)
    {
        scripted_worker target(it.reactions);
        base::metrics metrics;
        worker_client client(metrics);
        const auto send = [&]
        {
            return client.request(target.address(),
                                  {"lease", "attempt", "queue", "body",
                                   milliseconds{1500}, true});
        };
        auto answer = send();
        if (it.reactions.size() > 1)
            answer = send();
        cr_expect(answer.result == it.last, "%s: %s", it.name,
                  answer.reason.c_str());
    }
}
