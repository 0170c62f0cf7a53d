#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/json.hpp"
#include "mustardwick/caller/job_service.hpp"
#include "mustardwick/coordination/resources.hpp"
#include "mustardwick/coordination/settings.hpp"

namespace
{

using namespace mustardwick::base;

/// Aborts if an error message has no remedy, which follows a semicolon.
void require_remedy_in_each(const std::vector<std::string>& errors)
{
    for (const auto& it : errors)
        if (it.find(';') == std::string::npos)
            std::abort();
}

/// Reads each kind of field through an object_reader.
void check_object(const web::json::value& value)
{
    std::vector<std::string> errors;
    object_reader reader(value, "settings", errors);
    reader.text("a", "none");
    reader.required_text("name");
    const auto n = reader.number("n", 1, 0, 10);
    if (n < 0 || n > 10)
        std::abort();
    reader.flag("b", false);
    reader.texts("list");
    if (const auto* it = reader.raw("inner"))
        object_reader(*it, "settings.inner", errors).finish();
    reader.finish();
    require_remedy_in_each(errors);
}

/// Validates the value as each kind of resource.
void check_resources(const web::json::value& value)
{
    using enum mustardwick::coordination::resource_kind;
    for (const auto kind : {queue, team, key, host, failure_domain})
    {
        std::vector<std::string> errors;
        check_desired(kind, value, errors);
        require_remedy_in_each(errors);
        // Every daemon applies an accepted value, so this must not fail.
        mustardwick::coordination::configuration config;
        if (errors.empty())
            apply_change(config, {1, kind, "a", false, value.serialize()});
    }
}

/// Aborts unless parsing returns either settings or errors.
void check_settings(std::string_view text)
{
    std::vector<std::string> errors;
    const auto out = mustardwick::coordination::parse_settings(text, errors);
    if (out.has_value() != errors.empty())
        std::abort();
}

/// Aborts if an accepted job changes when its stored row is read back.
void check_submission(std::string_view text)
{
    std::vector<std::string> errors;
    const auto job = mustardwick::caller::parse_submission(text, errors);
    if (job.has_value() != errors.empty())
        std::abort();
    if (!job)
        return;
    const auto row = to_row(*job);
    const auto again = mustardwick::coordination::parse_job(row);
    if (!again || to_row(*again) != row)
        std::abort();
}

void check_all(std::string_view text)
{
    check_settings(text);
    check_submission(text);
    const auto value = parse_json(text);
    if (!value)
        return;
    check_object(*value);
    check_resources(*value);
    // An accepted document must also parse after it was stored.
    if (!parse_json(value->serialize(), 1U << 24U))
        std::abort();
}

/// Valid documents to mutate, because random text rarely has a known field.
constexpr std::array<std::string_view, 5> documents = {
    R"({"name":"e","failure_domain":"n","table":"10.0.0.5:7300","http":)"
    R"({"listen":"10.0.0.1:7400","allow_plain":true,"max_body_bytes":4096},)"
    R"("inner":{"listen":"[::1]:7401","secret":"0123456789abcdef"},)"
    R"("operator_key":{"id":"a","salt":"s","hash":"h"},"log_level":"debug",)"
    R"("timing":{"worker_lease_ms":15000,"worker_renewal_ms":4000}})",
    R"({"id":"j-1","queue":"q","kind":"gang","priority":"urgent","tasks":3,)"
    R"("millicpus":500,"memory_mb":256,"accelerators":1,"run_ms":100,)"
    R"("payload":"x"})",
    R"({"address":"10.0.0.1:9","worker":"w","failure_domain":"n","rack":"r",)"
    R"("millicpus":8000,"slots":8,"connections":64,"in_service":false})",
    R"({"team":"t","salt":"s","hash":"h","withdrawn":true})",
    R"({"share":2,"limit_millicpus":-1,"limit_requests":100})"};

/// Input bytes that select the document, the offset and the length of the edit.
constexpr std::size_t edit_bytes = 4;

/// Returns a valid document with one part replaced by the rest of the input.
std::string edited_document(std::string_view input)
{
    const auto byte = [input](std::size_t n)
    {
        return static_cast<std::size_t>(static_cast<unsigned char>(input[n]));
    };
    std::string out(documents.at(byte(0) % documents.size()));
    const auto place = (byte(1) * 256 + byte(2)) % out.size();
    out.replace(place, byte(3) % 16, input.substr(edit_bytes));
    return out;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    check_all(text);
    if (size > edit_bytes)
        check_all(edited_document(text));
    return 0;
}
