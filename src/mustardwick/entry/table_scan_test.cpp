#include "mustardwick/entry/table_scan.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;

namespace
{

/// A store with rows k000, k001, ... that returns at most the requested number
/// of rows, and fails the reads whose numbers are listed.
struct paged_store
{
    void read(const std::string& table, const std::string&,
              const std::string& from, int limit, std::chrono::milliseconds,
              const durable::store_callback& done)
    {
        durable::store_reply out;
        ++reads;
        if (std::count(failing.begin(), failing.end(), reads) > 0)
        {
            out.end = durable::store_outcome::refused;
            return done(out);
        }
        out.end = durable::store_outcome::done;
        out.version = reads;
        for (int it = 0; it < rows; ++it)
        {
            auto key = std::to_string(1000 + it);
            key[0] = 'k';
            if (key < from)
                continue;
            out.has_more = out.rows.size() == std::size_t(limit);
            if (out.has_more)
                break;
            out.rows.push_back({{table, "", key}, "v", 1, false});
        }
        done(out);
    }

    int rows = 0;
    std::vector<int> failing;
    int reads = 0;
};

struct scan_case
{
    const char* name;
    int rows;
    std::vector<int> failing;
    int reads;
    /// Version of the first page that was read.
    std::int64_t version;
};

} // namespace

// Guards against a registry of more than 500 workers of which the rest is taken
// as gone each time that the list is read whole.
Test(table_scan, reads_all_pages)
{
    const scan_case cases[] = {
        {"empty", 0, {}, 1, 1},
        {"one page", 500, {}, 1, 1},
        {"two pages", 799, {}, 2, 1},
        {"failed reads", 799, {1, 3}, 4, 2},
    };
    for (const auto& it : cases)
    {
        boost::asio::io_context io;
        paged_store store{it.rows, it.failing};
        std::vector<std::string> keys;
        std::int64_t version = 0;
        using scan = table_scan<paged_store>;
        std::make_shared<scan>(
            io, store, "servers", "",
            scan::events{[]
                         {
                             return false;
                         },
                         [&](const std::vector<durable::row>& rows)
                         {
                             for (const auto& row : rows)
                                 keys.push_back(row.address.key);
                         },
                         [&](std::int64_t seen)
                         {
                             version = seen;
                         }})
            ->start();
        io.run();
        cr_assert_eq(keys.size(), it.rows, "%s", it.name);
        cr_assert(std::is_sorted(keys.begin(), keys.end()), "%s", it.name);
        cr_assert_eq(store.reads, it.reads, "%s", it.name);
        cr_assert_eq(version, it.version, "%s", it.name);
    }
}
