#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/policy/types.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::coordination
{

/// @brief Row of a daemon: `member/<name>`.
struct member_record
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t renewal = 0;
    std::string failure_domain;
    wire::endpoint tcp;
    wire::endpoint udp;
    bool leaving = false;
    /// Set by a daemon that takes over hosts of this member. The member must
    /// register again with a new incarnation before it acts.
    bool fenced = false;
};

/// @brief Row of the planner leadership: `duty/planner`.
struct leadership_record
{
    std::string owner;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
};

/// @brief Row of the daemon that may hold a worker's lease: `holder/<host>`.
struct holder_record
{
    std::string daemon;
    std::uint64_t incarnation = 0;
};

enum class job_state
{
    queued,
    running,
    done,
    failed,
    canceled,
    rejected
};

/// @brief Row of a submitted job: `job/<id>`.
struct job_record
{
    policy::job specification;
    std::string payload;
    job_state state = job_state::queued;
    std::string reason;
    int finished = 0;
};

enum class task_state
{
    placed,
    running,
    stopping,
    finished,
    failed
};

/// @brief Row of a task that has or had an attempt: `task/<job>/<index>`.
struct task_record
{
    policy::task_id id;
    std::string attempt;
    std::string host;
    task_state state = task_state::placed;
    int failures = 0;
};

enum class claim_state
{
    claimed,
    done,
    not_run
};

/// @brief Row of the claim on a non-idempotent request:
/// `claim/<team>/<request>`.
struct claim_record
{
    claim_state state = claim_state::claimed;
    std::string daemon;
    std::string attempt;
    std::string host;
    std::string lease;
    int status = 0;
    std::string body;
};

/// @brief Row of a team's request limit and the parts of it that daemons hold:
/// `escrow/<team>`.
struct escrow_record
{
    std::int64_t limit = 0;
    std::map<std::string, std::int64_t> parts;
};

std::string_view name_of(job_state state);
std::string_view name_of(task_state state);
std::string_view name_of(claim_state state);
bool is_final(job_state state);

std::string member_key(std::string_view name);
std::string holder_key(std::string_view host);
std::string job_key(std::string_view id);
std::string inbox_key(std::string_view job, std::string_view operation);
std::string task_key(const policy::task_id& id);
std::string task_prefix(std::string_view job);
std::string claim_key(std::string_view team, std::string_view request);
std::string escrow_key(std::string_view team);

inline constexpr std::string_view planner_key = "duty/planner";
inline constexpr std::string_view member_prefix = "member/";
inline constexpr std::string_view job_prefix = "job/";
inline constexpr std::string_view all_tasks_prefix = "task/";
inline constexpr std::string_view inbox_prefix = "inbox/";
inline constexpr std::string_view holder_prefix = "holder/";

/// @brief Returns the value of a row, one JSON object per record.
std::string to_row(const member_record& value);
std::string to_row(const leadership_record& value);
std::string to_row(const holder_record& value);
std::string to_row(const job_record& value);
std::string to_row(const task_record& value);
std::string to_row(const claim_record& value);
std::string to_row(const escrow_record& value);

/// @brief Parses the value of a row; empty, with last_error(), when it is not
/// valid.
std::optional<member_record> parse_member(std::string_view text);
std::optional<leadership_record> parse_leadership(std::string_view text);
std::optional<holder_record> parse_holder(std::string_view text);
std::optional<job_record> parse_job(std::string_view text);
std::optional<task_record> parse_task(std::string_view text);
std::optional<claim_record> parse_claim(std::string_view text);
std::optional<escrow_record> parse_escrow(std::string_view text);

} // namespace mustardwick::coordination
