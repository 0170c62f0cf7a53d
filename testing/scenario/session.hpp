#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "testing/scenario/caller_driver.hpp"
#include "testing/scenario/cell.hpp"
#include "testing/scenario/daemon_client.hpp"
#include "testing/scenario/load.hpp"
#include "testing/scenario/operator_driver.hpp"
#include "testing/scenario/recorder.hpp"

namespace mustardwick::testing
{

/// @brief State shared by the statements of one scenario.
struct session
{
    session(const cell_paths& paths, const base::clock& clock)
        : directory(paths.directory), records(clock), cluster(paths, records),
          operators(cluster, records), callers(cluster, operators, records)
    {
    }

    std::string directory;
    recorder records;
    cell cluster;
    operator_driver operators;
    caller_driver callers;
    daemon_client client;
    std::map<std::string, std::unique_ptr<load>> loads;
    std::map<std::string, load_summary> summaries;
    /// Number of jobs created by each submit statement, by its name.
    std::map<std::string, std::int64_t> copies;
};

/// @brief Runs one statement; returns false and sets last_error() on failure.
using verb = bool (*)(session&, const statement&);

using verb_table = std::map<std::string_view, verb>;

const verb_table& cell_verbs();
const verb_table& fault_verbs();
const verb_table& operator_verbs();
const verb_table& caller_verbs();
const verb_table& expectation_verbs();

/// @brief Sets last_error() for a failed statement and returns false.
bool fail_statement(const std::string& message);

} // namespace mustardwick::testing
