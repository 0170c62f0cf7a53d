#include <cstddef>
#include <cstdint>
#include <string_view>

#include "mustardwick/jobs/job.hpp"
#include "platform/decode.hpp"

/// Decodes arbitrary bytes as messages of the platform, its workers and its
/// clients. Every decoder must return a value or an error for any input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    using namespace mustardwick;
    const std::string_view text(reinterpret_cast<const char*>(data), n);
    platform::decode_configuration(text);
    platform::decode_worker("w", text);
    platform::decode_report(text);
    platform::decode_job(text);
    platform::decode_advice(text);
    platform::decode_order_reply(409, text);
    jobs::parse_task_key(text);
    return 0;
}
