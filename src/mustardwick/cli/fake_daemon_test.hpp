#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mustardwick/base/json.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/cli/program.hpp"
#include "mustardwick/http/server.hpp"

namespace mustardwick::cli::test
{

using words = std::vector<std::string>;

inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

struct fake_answer
{
    int status = 200;
    std::string body;
};

/// @brief Answers calls with the given function and records them.
class fake_daemon
{
public:
    using handler = std::function<fake_answer(const http::request&)>;

    explicit fake_daemon(handler answer)
        : answer_(std::move(answer)), server_(
                                          options(),
                                          [this](const http::request& call)
                                          {
                                              return handle(call);
                                          },
                                          metrics_)
    {
        server_.start();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_.port());
    }

    std::vector<http::request> calls() const
    {
        const std::scoped_lock lock(mutex_);
        return calls_;
    }

private:
    static http::server_options options()
    {
        http::server_options out;
        out.listen = {"127.0.0.1", 0};
        out.handler_threads = 1;
        return out;
    }

    http::response handle(const http::request& call)
    {
        const std::scoped_lock lock(mutex_);
        calls_.push_back(call);
        const auto answer = answer_(call);
        http::response out;
        out.status = answer.status;
        out.body = answer.body;
        return out;
    }

    handler answer_;
    base::metrics metrics_;
    mutable std::mutex mutex_;
    std::vector<http::request> calls_;
    http::server server_;
};

/// @brief Reads each call and closes the connection without answering.
class closing_daemon
{
public:
    closing_daemon() : thread_(&closing_daemon::serve, this) {}

    ~closing_daemon()
    {
        stopping_ = true;
        // Unblocks the thread that waits in accept().
        boost::asio::ip::tcp::socket wake(io_);
        boost::system::error_code ec;
        wake.connect(acceptor_.local_endpoint(), ec);
        thread_.join();
    }

    closing_daemon(const closing_daemon&) = delete;
    closing_daemon& operator=(const closing_daemon&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    int calls() const
    {
        return calls_;
    }

    std::string text() const
    {
        const std::scoped_lock lock(mutex_);
        return text_;
    }

private:
    void serve()
    {
        while (true)
        {
            boost::asio::ip::tcp::socket socket(io_);
            acceptor_.accept(socket);
            if (stopping_)
                return;
            read(socket);
        }
    }

    static bool is_complete(const std::string& call)
    {
        return call.ends_with(contains(call, "Content-Length") ? "}"
                                                               : "\r\n\r\n");
    }

    void read(boost::asio::ip::tcp::socket& socket)
    {
        std::string call;
        std::string buf(4096, '\0');
        boost::system::error_code ec;
        // cpprestsdk writes the headers and the body separately.
        while (!ec && !is_complete(call))
            call.append(buf, 0, socket.read_some(boost::asio::buffer(buf), ec));
        const std::scoped_lock lock(mutex_);
        text_ += call;
        ++calls_;
    }

    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_{
        io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::atomic<bool> stopping_{false};
    std::atomic<int> calls_{0};
    mutable std::mutex mutex_;
    std::string text_;
    std::thread thread_;
};

struct run_result
{
    exit_code code;
    std::string out;
    std::string err;
};

/// @brief Runs one command with the given daemon addresses.
inline run_result run(words command, const words& daemons,
                      const std::string& input = {})
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    console io{in, out, err,
               [](const std::string& name)
               {
                   return name == "MUSTARDWICK_KEY" ? "id.environment" : "";
               }};
    for (const auto& it : daemons)
        command.insert(command.end(), {"--daemon", it});
    const auto code = run_program(command, io);
    return {code, out.str(), err.str()};
}

} // namespace mustardwick::cli::test
