#include "mustardwick/base/utf8.hpp"

#include <boost/locale/utf.hpp>

namespace mustardwick::base
{

bool is_utf8(std::string_view text)
{
    namespace utf = boost::locale::utf;
    const auto* it = text.data();
    const auto* const end = it + text.size();
    while (it != end)
    {
        const auto point = utf::utf_traits<char>::decode(it, end);
        if (point == utf::illegal || point == utf::incomplete)
            return false;
    }
    return true;
}

} // namespace mustardwick::base
