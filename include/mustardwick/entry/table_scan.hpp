#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mustardwick/durable/rows.hpp"

namespace mustardwick::entry
{

/// @brief Reads all rows of one partition of a table, page by page.
///
/// A page that cannot be read is requested again after a pause, without end;
/// is_cancelled() ends the scan.
template <typename Store>
class table_scan : public std::enable_shared_from_this<table_scan<Store>>
{
public:
    struct events
    {
        std::function<bool()> is_cancelled;
        std::function<void(const std::vector<durable::row>&)> page;
        /// Receives the store's version at the first page: later changes may be
        /// missing from the pages.
        std::function<void(std::int64_t)> done;
    };

    table_scan(boost::asio::io_context& io, Store& store, std::string table,
               std::string partition, events on)
        : timer_(io), store_(store), table_(std::move(table)),
          partition_(std::move(partition)), on_(std::move(on))
    {
    }

    void start()
    {
        read();
    }

private:
    /// The store returns at most this many rows.
    static constexpr int page_rows = 500;
    static constexpr std::chrono::milliseconds read_timeout{1000};
    static constexpr std::chrono::milliseconds retry_delay{120};

    void read()
    {
        store_.read(
            table_, partition_, from_, page_rows, read_timeout,
            [self = this->shared_from_this()](const durable::store_reply& reply)
            {
                if (!self->on_.is_cancelled())
                    self->read_done(reply);
            });
    }

    void read_done(const durable::store_reply& reply)
    {
        if (!reply.ok())
            return retry();
        if (!version_)
            version_ = reply.version;
        on_.page(reply.rows);
        if (!reply.has_more || reply.rows.empty())
            return on_.done(*version_);
        // The smallest key after the last one read.
        from_ = reply.rows.back().address.key + '\0';
        read();
    }

    void retry()
    {
        timer_.expires_after(retry_delay);
        timer_.async_wait(
            [self = this->shared_from_this()](boost::system::error_code ec)
            {
                if (!ec && !self->on_.is_cancelled())
                    self->read();
            });
    }

    boost::asio::steady_timer timer_;
    Store& store_;
    std::string table_;
    std::string partition_;
    events on_;
    std::string from_;
    std::optional<std::int64_t> version_;
};

} // namespace mustardwick::entry
