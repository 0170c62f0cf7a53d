#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "mustardwick/jobs/configuration.hpp"
#include "platform/store_client.hpp"

namespace mustardwick::entry
{

/// @brief The operator's requested state, as stored.
struct operator_state
{
    std::optional<jobs::configuration> configuration;
    /// The configuration in the operator's original text.
    std::string configuration_text;
    std::set<std::string, std::less<>> evacuated;
};

/// @brief Watches the operator table for changes. An older configuration
/// version never replaces a newer one.
class config_watch : public std::enable_shared_from_this<config_watch>
{
public:
    using change_handler = std::function<void(const operator_state&)>;

    config_watch(boost::asio::io_context& io, platform::store_client& store,
                 change_handler changed);

    void start();
    void stop();
    /// @brief Applies the text of a configuration that was fetched from another
    /// daemon.
    void apply_from_peer(const std::string& text);

    const operator_state& state() const
    {
        return state_;
    }

private:
    void read_all();
    void watch_changes();
    void retry(bool reread, const std::string& reason);
    void apply(const std::vector<durable::row>& rows);
    void apply_configuration(const std::string& text);

    boost::asio::steady_timer timer_;
    platform::store_client& store_;
    change_handler changed_;
    operator_state state_;
    std::int64_t version_ = 0;
    bool connected_ = true;
    bool stopped_ = false;
};

} // namespace mustardwick::entry
