#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include <cpprest/json.h>

#include "testing/checker/evidence.hpp"

namespace mustardwick::testing
{

/// @brief Reads evidence from files with one JSON object per line.
///
/// A line is a worker's event (field "event"), a caller's call ("call") or a
/// fact about the run ("fact"). The lines of one worker must be in
/// chronological order.
class evidence_reader
{
public:
    /// @brief Reads all lines; `name` identifies the file in error messages.
    void read(std::istream& lines, const std::string& name);

    /// @brief Returns the evidence of all files; their order does not matter.
    evidence result() const;

private:
    void read_line(const web::json::value& line);
    void read_event(const web::json::value& line);
    void read_fact(const web::json::value& line);
    void read_call(const web::json::value& line);
    void read_limit(const web::json::value& line);
    void start_task(const web::json::value& line);
    void end_task(const web::json::value& line);
    void start_request(const web::json::value& line);
    void end_request(const web::json::value& line);
    void start_worker(const std::string& worker, event_time at);
    void end_all(const std::string& worker, event_time at);

    evidence evidence_;
    /// Workers that the run killed, with the time at which their work ended.
    std::vector<time_window> killed_;
    std::map<std::string, std::size_t> open_tasks_;
    std::map<std::string, std::size_t> open_requests_;
};

} // namespace mustardwick::testing
