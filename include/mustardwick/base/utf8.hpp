#pragma once

#include <string_view>

namespace mustardwick::base
{

/// @brief Returns whether a text is well-formed UTF-8: no overlong encodings,
/// no surrogates and no code points above U+10FFFF.
bool is_utf8(std::string_view text);

} // namespace mustardwick::base
