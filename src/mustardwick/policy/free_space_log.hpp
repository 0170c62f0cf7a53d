#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace mustardwick::policy
{

/// @brief A bounded log of the hosts whose free space grew; each entry has a
/// version number.
class free_space_log
{
public:
    std::uint64_t version() const
    {
        return version_;
    }

    void record(int slot)
    {
        ++version_;
        slots_.push_back(slot);
        if (slots_.size() > max_entries)
            slots_.pop_front();
    }

    /// @brief Records that the free space of any host may have grown.
    void record_all()
    {
        ++version_;
        slots_.clear();
    }

    /// @brief Returns the slots whose free space grew after a version, or
    /// std::nullopt when the log no longer covers it.
    std::optional<std::vector<int>> since(std::uint64_t version) const
    {
        const auto n = version_ - version;
        if (n > slots_.size())
            return std::nullopt;
        std::vector<int> found(slots_.end() - std::ptrdiff_t(n), slots_.end());
        std::sort(found.begin(), found.end());
        found.erase(std::unique(found.begin(), found.end()), found.end());
        return found;
    }

private:
    static constexpr std::size_t max_entries = 256;

    std::uint64_t version_ = 0;
    std::deque<int> slots_;
};

} // namespace mustardwick::policy
