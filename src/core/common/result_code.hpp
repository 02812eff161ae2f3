#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::common
{

/// All results of requests, changes and parsing, with their numbers.
/// docs/ERRORS.md contains the same table for operators; a test compares the
/// two.
enum class result_code : std::uint16_t
{
    ok = 0,

    malformed_http = 1001,
    malformed_frame = 1002,
    malformed_toml = 1003,
    malformed_json = 1004,
    body_too_large = 1005,
    headers_too_large = 1006,
    unknown_key = 1007,
    missing_key = 1008,
    out_of_range = 1009,
    inconsistent = 1010,
    malformed_contract = 1011,
    malformed_job = 1012,
    bad_header = 1013,
    unknown_path = 1014,
    bad_method = 1015,
    file_unreadable = 1016,
    wrong_type = 1017,

    unknown_customer = 2001,
    contract_withdrawn = 2002,
    over_contract_in_flight = 2003,
    over_contract_rate = 2004,
    no_free_slot = 2005,
    deadline_unreachable = 2006,
    deadline_passed = 2007,
    queue_full = 2008,
    no_proof = 2009,
    draining = 2010,
    owner_unreachable = 2011,
    data_centre_out = 2012,
    retry_budget_spent = 2013,
    over_contract_resources = 2014,
    upstream_refused = 2015,

    upstream_lost = 3001,
    upstream_partial = 3002,
    deadline_after_send = 3003,
    key_memory_lost = 3004,
    owner_lost = 3005,
    answer_too_large = 3006,

    store_unavailable = 4001,
    store_unclear = 4002,
    conflict = 4003,
    not_found = 4004,
    already_exists = 4005,
    store_over_budget = 4006,

    not_a_member = 5001,
    wrong_incarnation = 5002,
    bad_token = 5003,
    address_not_allowed = 5004,

    job_never_fits = 6001,
    job_failed_everywhere = 6002,
    job_cancelled = 6003,
    worker_refused = 6004,
    worker_unreachable = 6005,
    backlog_unknown = 6006,
};

/// Information in an answer on whether the caller's request has run.
enum class outcome : std::uint8_t
{
    ran,     ///< The complete answer of the upstream follows.
    not_run, ///< The request reached no upstream and never will.
    unknown, ///< The request may have run, at most once.
};

/// Description of one result code.
struct result_code_row
{
    result_code code;
    std::string_view name;
    std::uint16_t http_status;
    outcome request_outcome;
    std::string_view meaning;
};

/// Table of all result codes, in the order of their numbers.
extern const std::array<result_code_row, 55> result_code_table;

/// Returns the row of `code`; every code has one.
result_code_row const& row_of(result_code code) noexcept;

/// Returns the name as written in answers, logs and metrics.
std::string_view name_of(result_code code) noexcept;
std::string_view name_of(outcome result) noexcept;
/// Returns the outcome with this name; empty if there is none.
std::optional<outcome> outcome_from(std::string_view name) noexcept;

/// Reason for an error, reported with each empty `std::optional`: the code, the
/// place (file and line, header, or path in a document) and the explanation.
struct failure
{
    result_code code = result_code::ok;
    std::string where;
    std::string why;

    bool operator==(failure const&) const = default;
};

/// Returns text such as "1009 out_of_range at settings.toml:7: hold must be
/// below bury".
std::string to_string(failure const& reason);

} // namespace fuchsia::core::common
