#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <vector>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace mustardwick::wire
{

/// @brief Reads the format of cereal::PortableBinaryOutputArchive.
///
/// cereal's input archive allocates memory for any length that the message
/// claims. This one rejects lengths beyond the remaining bytes and grows
/// vectors one element at a time, so that the size of the message bounds the
/// memory. Malformed input throws cereal::Exception.
class input_archive
    : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit input_archive(std::string_view bytes)
        : cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>(
              this),
          rest_(bytes)
    {
        std::uint8_t little = 0;
        read(&little, sizeof little);
        const bool native = std::endian::native == std::endian::little;
        if (little != static_cast<std::uint8_t>(native))
            throw cereal::Exception(
                "the byte order of the message is not supported");
    }

    void read(void* data, std::size_t n)
    {
        if (n > rest_.size())
            throw cereal::Exception("the message is truncated");
        // data may be null for an empty container.
        if (n > 0)
            std::memcpy(data, rest_.data(), n);
        rest_.remove_prefix(n);
    }

    void check_length(std::uint64_t n) const
    {
        if (n > rest_.size())
            throw cereal::Exception("a length field exceeds the message");
    }

    bool is_at_end() const
    {
        return rest_.empty();
    }

private:
    std::string_view rest_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, T& value)
{
    archive.read(&value, sizeof value);
}

/// Reads a byte and converts it, because storing a value other than 0 and 1 in
/// a bool is undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, bool& value)
{
    std::uint8_t byte = 0;
    archive.read(&byte, sizeof byte);
    value = byte != 0;
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(input_archive& archive,
                                    cereal::NameValuePair<T>& value)
{
    archive(value.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(input_archive& archive,
                                    cereal::SizeTag<T>& value)
{
    archive(value.size);
    archive.check_length(value.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive,
                               cereal::BinaryData<T>& value)
{
    archive.read(value.data, static_cast<std::size_t>(value.size));
}

} // namespace mustardwick::wire

namespace cereal
{

/// Replaces cereal's overload, which resizes the vector before reading.
template <typename T, typename Allocator>
void CEREAL_LOAD_FUNCTION_NAME(mustardwick::wire::input_archive& archive,
                               std::vector<T, Allocator>& value)
{
    size_type n = 0;
    archive(make_size_tag(n));
    value.clear();
    for (size_type it = 0; it < n; ++it)
        archive(value.emplace_back());
}

namespace traits::detail
{

template <>
struct get_output_from_input<mustardwick::wire::input_archive>
{
    using type = PortableBinaryOutputArchive;
};

} // namespace traits::detail

} // namespace cereal
