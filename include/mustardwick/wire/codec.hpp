#pragma once

#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/wire/input_archive.hpp"

namespace mustardwick::wire
{

/// @brief Serializes a message in cereal's portable binary format.
template <typename Message>
std::string encode(const Message& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    return std::move(out).str();
}

/// @brief Deserializes a message.
///
/// Returns std::nullopt with last_error() of kind invalid_input when the bytes
/// are malformed or are not consumed completely.
template <typename Message>
std::optional<Message> decode(std::string_view bytes)
{
    try
    {
        Message out;
        input_archive archive(bytes);
        archive(out);
        if (archive.is_at_end())
            return out;
        throw cereal::Exception("trailing bytes after the message");
    }
    catch (const std::exception&)
    {
        return base::fail(base::error_kind::invalid_input,
                          "the message does not decode",
                          "run the same release on all entry hosts");
    }
}

} // namespace mustardwick::wire
