#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

namespace mustardwick::base
{

/// @brief A hash map split into shards, each with its own mutex.
///
/// Functions passed in run under the lock of a shard and must not access the
/// map.
template <typename Value, std::size_t Shards = 16>
class sharded_map
{
public:
    /// @brief Calls the function with the value of a key, which is inserted
    /// when absent, and returns its result.
    template <typename Function>
    decltype(auto) update(const std::string& key, Function&& function)
    {
        auto& part = shard_of(key);
        const std::scoped_lock lock(part.mutex);
        return std::forward<Function>(function)(part.entries[key]);
    }

    /// @brief Inserts a value unless the key exists. Returns whether it was
    /// inserted.
    bool insert(const std::string& key, Value value)
    {
        auto& part = shard_of(key);
        const std::scoped_lock lock(part.mutex);
        return part.entries.emplace(key, std::move(value)).second;
    }

    /// @brief Calls the function with the value of a key. Returns false when
    /// the key does not exist.
    template <typename Function>
    bool visit(const std::string& key, Function&& function)
    {
        auto& part = shard_of(key);
        const std::scoped_lock lock(part.mutex);
        const auto it = part.entries.find(key);
        if (it == part.entries.end())
            return false;
        std::forward<Function>(function)(it->second);
        return true;
    }

    bool erase(const std::string& key)
    {
        auto& part = shard_of(key);
        const std::scoped_lock lock(part.mutex);
        return part.entries.erase(key) > 0;
    }

    /// @brief Erases the entries that match the predicate. Returns their
    /// number.
    template <typename Predicate>
    std::size_t erase_if(Predicate&& predicate)
    {
        std::size_t n = 0;
        for (auto& part : shards_)
        {
            const std::scoped_lock lock(part.mutex);
            n += std::erase_if(part.entries, predicate);
        }
        return n;
    }

    /// @brief Calls the function with every key and value, one shard at a time.
    template <typename Function>
    void for_each(Function&& function)
    {
        for (auto& part : shards_)
        {
            const std::scoped_lock lock(part.mutex);
            for (auto& [key, value] : part.entries)
                function(key, value);
        }
    }

private:
    struct shard
    {
        std::mutex mutex;
        std::unordered_map<std::string, Value> entries;
    };

    shard& shard_of(const std::string& key)
    {
        return shards_[std::hash<std::string>{}(key) % Shards];
    }

    std::array<shard, Shards> shards_;
};

} // namespace mustardwick::base
