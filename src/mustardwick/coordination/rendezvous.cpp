#include "mustardwick/coordination/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "mustardwick/base/identity.hpp"

namespace mustardwick::coordination
{

namespace
{

std::uint64_t weight(std::string_view key, std::string_view member)
{
    // The separator distinguishes "a" + "bc" from "ab" + "c".
    std::string text(key);
    text += '\n';
    text += member;
    return base::stable_hash(text);
}

} // namespace

std::optional<std::string> assigned_member(std::string_view key,
                                           std::span<const std::string> live)
{
    const auto order = [&](const std::string& it)
    {
        return std::pair(weight(key, it), std::string_view(it));
    };
    const auto it = std::ranges::max_element(live, {}, order);
    if (it == live.end())
        return std::nullopt;
    return *it;
}

std::vector<std::string> assigned_keys(std::string_view member,
                                       std::span<const std::string> keys,
                                       std::span<const std::string> live)
{
    std::vector<std::string> out;
    std::ranges::copy_if(keys, std::back_inserter(out),
                         [&](const std::string& it)
                         {
                             return assigned_member(it, live) == member;
                         });
    return out;
}

} // namespace mustardwick::coordination
