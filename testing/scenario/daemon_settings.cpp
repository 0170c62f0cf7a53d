#include "testing/scenario/daemon_settings.hpp"

#include "mustardwick/base/identity.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr const char* key_salt = "salt";

std::string loopback_text(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

json_object http_part(const daemon_entry& daemon)
{
    return json_object()
        .text("listen", loopback_text(daemon.http_port))
        .flag("allow_plain", true);
}

json_object inner_part(const daemon_entry& daemon)
{
    return json_object()
        .text("listen", loopback_text(daemon.inner_port))
        .text("advertise_tcp", loopback_text(daemon.peers_tcp_port))
        .text("advertise_udp", loopback_text(daemon.peers_udp->port()))
        .text("secret", "inner-secret-for-tests");
}

json_object key_part()
{
    return json_object()
        .text("id", operator_key_id)
        .text("salt", key_salt)
        .text("hash", base::salted_hash(key_salt, operator_secret));
}

json_object timing_part(const statement& timing)
{
    json_object out;
    for (const auto& [name, text] : timing.options)
        out.number(name.c_str(), parse_number(text).value_or(0));
    return out;
}

} // namespace

std::string daemon_settings(const daemon_entry& daemon, const statement& timing)
{
    return json_object()
        .text("name", daemon.name)
        .text("region", daemon.declaration.option("region", "region-1"))
        .text("failure_domain", daemon.declaration.option("domain", "north"))
        .text("table", loopback_text(daemon.store->port()))
        .set("http", http_part(daemon).value())
        .set("inner", inner_part(daemon).value())
        .set("operator_key", key_part().value())
        .set("timing", timing_part(timing).value())
        .serialize();
}

} // namespace mustardwick::testing
