#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include <unistd.h>

#include <criterion/criterion.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include "../wire/raw_connection_test.hpp"
#include "mustardwick/http/client.hpp"
#include "mustardwick/http/server.hpp"

using namespace mustardwick;
using namespace mustardwick::http;
using std::chrono::milliseconds;

namespace
{

/// A self-signed certificate for one IP address, stored in temporary files.
class certificate
{
public:
    certificate(const std::string& name, const std::string& address)
        : base_((std::filesystem::temp_directory_path() /
                 ("mustardwick-" + std::to_string(::getpid()) + "-" + name))
                    .string())
    {
        const std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)> key(
            EVP_EC_gen("P-256"), EVP_PKEY_free);
        const std::unique_ptr<X509, void (*)(X509*)> value(X509_new(),
                                                           X509_free);
        fill(value.get(), key.get(), address);
        save(files().certificate,
             [&](std::FILE* out)
             {
                 PEM_write_X509(out, value.get());
             });
        save(files().private_key,
             [&](std::FILE* out)
             {
                 PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0,
                                      nullptr, nullptr);
             });
    }

    ~certificate()
    {
        std::filesystem::remove(files().certificate);
        std::filesystem::remove(files().private_key);
    }

    certificate(const certificate&) = delete;
    certificate& operator=(const certificate&) = delete;

    tls_files files() const
    {
        return {base_ + ".crt", base_ + ".key"};
    }

private:
    static void fill(X509* value, EVP_PKEY* key, const std::string& address)
    {
        constexpr long day = 24L * 60 * 60;
        X509_set_version(value, X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(value), 1);
        X509_gmtime_adj(X509_getm_notBefore(value), -day);
        X509_gmtime_adj(X509_getm_notAfter(value), day);
        X509_set_pubkey(value, key);
        const auto* name = reinterpret_cast<const unsigned char*>("test");
        X509_NAME_add_entry_by_txt(X509_get_subject_name(value), "CN",
                                   MBSTRING_ASC, name, -1, -1, 0);
        X509_set_issuer_name(value, X509_get_subject_name(value));
        const auto names = "IP:" + address;
        auto* extension = X509V3_EXT_conf_nid(
            nullptr, nullptr, NID_subject_alt_name, names.c_str());
        X509_add_ext(value, extension, -1);
        X509_EXTENSION_free(extension);
        X509_sign(value, key, EVP_sha256());
    }

    static void save(const std::string& path,
                     const std::function<void(std::FILE*)>& write)
    {
        auto* out = std::fopen(path.c_str(), "w");
        cr_assert_not_null(out);
        write(out);
        std::fclose(out);
    }

    std::string base_;
};

struct tls_server
{
    explicit tls_server(const tls_files& files)
        : listener(
              options(files),
              [](const request& call)
              {
                  response out;
                  out.body = call.body;
                  return out;
              },
              metrics)
    {
        cr_assert(listener.start());
    }

    static server_options options(const tls_files& files)
    {
        server_options out;
        out.listen = {"127.0.0.1", 0};
        out.tls = files;
        out.handler_threads = 4;
        out.read_timeout = milliseconds{500};
        return out;
    }

    /// Calls the server with a trusted CA file, or without TLS when it is
    /// empty.
    bool answers(const std::string& ca_file, delivery* progress = nullptr)
    {
        client_options chosen;
        chosen.ca_file = ca_file;
        client caller(chosen, metrics);
        client_call call;
        call.body = std::string(200'000, 'x');
        call.idempotent = true;
        const wire::endpoint peer{"127.0.0.1", listener.port()};
        for (int n = 0; n < 3; ++n)
        {
            const auto answer = caller.send(peer, call, progress);
            if (!answer || answer->body != call.body)
                return false;
        }
        return true;
    }

    base::metrics metrics;
    server listener;
};

} // namespace

// Guards against trusting a peer whose certificate is not signed by the CA or
// does not name the peer's address.
Test(tls, verifies_the_certificate_and_address_of_the_peer, .timeout = 60)
{
    const certificate good("good", "127.0.0.1");
    const certificate other("other", "127.0.0.1");
    const certificate elsewhere("elsewhere", "127.0.0.2");
    tls_server server(good.files());
    tls_server other_address(elsewhere.files());
    tls_server plain({});
    auto progress = delivery::maybe_sent;
    cr_expect(server.answers(good.files().certificate));
    cr_expect_not(server.answers(other.files().certificate, &progress));
    cr_expect_eq(progress, delivery::not_sent);
    cr_expect_not(
        other_address.answers(elsewhere.files().certificate, &progress));
    cr_expect_eq(progress, delivery::not_sent);
    cr_expect_not(server.answers("", &progress));
    cr_expect_not(plain.answers(good.files().certificate, &progress));
    cr_expect_eq(progress, delivery::not_sent);
    cr_expect_not(server.answers("/nonexistent", &progress));
    cr_expect_eq(base::last_error().kind, base::error_kind::invalid_input);
}

// Guards against connections that send no TLS handshake, or nothing, and occupy
// the TLS port.
Test(tls, closes_connections_without_a_handshake, .timeout = 30)
{
    const certificate good("bytes", "127.0.0.1");
    tls_server server(good.files());
    for (const auto& input :
         {std::string(5000, 'x'), std::string("\x16\x03\x01\xff\xff", 5),
          std::string("GET / HTTP/1.1\r\n\r\n"), std::string()})
    {
        wire::raw_connection conn(server.listener.port());
        conn.send(input);
        cr_expect(conn.closes_within(milliseconds{1500}));
    }
    cr_assert(server.answers(good.files().certificate));
}

// Guards against a server that starts with a missing certificate or a private
// key that does not match it.
Test(tls, rejects_unusable_certificate_files)
{
    const certificate first("first", "127.0.0.1");
    const certificate second("second", "127.0.0.1");
    base::metrics metrics;
    for (const auto& files :
         {tls_files{first.files().certificate, second.files().private_key},
          tls_files{"/nonexistent", first.files().private_key}})
    {
        server listener(tls_server::options(files), {}, metrics);
        cr_expect_not(listener.start());
        cr_expect_eq(base::last_error().kind, base::error_kind::invalid_input);
    }
}
