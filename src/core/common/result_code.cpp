#include "core/common/result_code.hpp"

#include <algorithm>

namespace fuchsia::core::common
{

using enum result_code;
using enum outcome;

const std::array<result_code_row, 55> result_code_table{{
    {ok, "ok", 200, ran, "done"},
    {malformed_http,
     "malformed_http",
     400,
     not_run,
     "the HTTP message can't be parsed"},
    {malformed_frame,
     "malformed_frame",
     400,
     not_run,
     "a peer's frame fails its checks"},
    {malformed_toml,
     "malformed_toml",
     400,
     not_run,
     "the settings file is no TOML"},
    {malformed_json, "malformed_json", 400, not_run, "the document is no JSON"},
    {body_too_large,
     "body_too_large",
     413,
     not_run,
     "the body exceeds its bound"},
    {headers_too_large,
     "headers_too_large",
     431,
     not_run,
     "the header exceeds its bound"},
    {unknown_key, "unknown_key", 400, not_run, "a key that nothing reads"},
    {missing_key,
     "missing_key",
     400,
     not_run,
     "a key that is needed is absent"},
    {out_of_range, "out_of_range", 400, not_run, "a value outside its range"},
    {inconsistent,
     "inconsistent",
     400,
     not_run,
     "two values contradict each other"},
    {malformed_contract,
     "malformed_contract",
     400,
     not_run,
     "the contract fails its checks"},
    {malformed_job, "malformed_job", 400, not_run, "the job fails its checks"},
    {bad_header,
     "bad_header",
     400,
     not_run,
     "a request header has no valid value"},
    {unknown_path, "unknown_path", 404, not_run, "no such path"},
    {bad_method,
     "bad_method",
     405,
     not_run,
     "the path does not take this method"},
    {file_unreadable, "file_unreadable", 400, not_run, "a file can't be read"},
    {wrong_type,
     "wrong_type",
     400,
     not_run,
     "a value of another type is expected"},
    {unknown_customer,
     "unknown_customer",
     403,
     not_run,
     "no contract names this customer"},
    {contract_withdrawn,
     "contract_withdrawn",
     403,
     not_run,
     "the customer's contract was withdrawn"},
    {over_contract_in_flight,
     "over_contract_in_flight",
     429,
     not_run,
     "the contract's requests in flight are used up"},
    {over_contract_rate,
     "over_contract_rate",
     429,
     not_run,
     "the contract's requests a second are used up"},
    {no_free_slot, "no_free_slot", 503, not_run, "no upstream has a free slot"},
    {deadline_unreachable,
     "deadline_unreachable",
     503,
     not_run,
     "the predicted wait exceeds the deadline"},
    {deadline_passed,
     "deadline_passed",
     504,
     not_run,
     "the deadline passed in the queue"},
    {queue_full, "queue_full", 503, not_run, "a bounded queue is full"},
    {no_proof,
     "no_proof",
     503,
     not_run,
     "this instance has no fresh proof of its membership"},
    {draining, "draining", 503, not_run, "this instance is stopping"},
    {owner_unreachable,
     "owner_unreachable",
     503,
     not_run,
     "the owner of the key can't be reached"},
    {data_centre_out,
     "data_centre_out",
     503,
     not_run,
     "the data centre is out of service"},
    {retry_budget_spent,
     "retry_budget_spent",
     503,
     not_run,
     "no upstream took it and the retry budget is spent"},
    {over_contract_resources,
     "over_contract_resources",
     429,
     not_run,
     "the contract's cores, memory or accelerators are used up"},
    {upstream_refused,
     "upstream_refused",
     503,
     not_run,
     "the upstream refused without running it"},
    {upstream_lost,
     "upstream_lost",
     502,
     unknown,
     "the upstream's connection ended before an answer"},
    {upstream_partial,
     "upstream_partial",
     502,
     unknown,
     "the upstream's answer ended early"},
    {deadline_after_send,
     "deadline_after_send",
     504,
     unknown,
     "the deadline passed while the request was at an upstream"},
    {key_memory_lost,
     "key_memory_lost",
     409,
     unknown,
     "an earlier attempt may have run before this owner's memory begins"},
    {owner_lost,
     "owner_lost",
     502,
     unknown,
     "the key's owner was lost with the request"},
    {answer_too_large,
     "answer_too_large",
     502,
     unknown,
     "the upstream's answer exceeds its bound"},
    {store_unavailable,
     "store_unavailable",
     503,
     not_run,
     "the platform's store does not answer"},
    {store_unclear,
     "store_unclear",
     504,
     unknown,
     "the store's answer was lost and reading back did not settle it"},
    {conflict, "conflict", 409, not_run, "somebody else changed it first"},
    {not_found, "not_found", 404, not_run, "no such thing"},
    {already_exists, "already_exists", 409, not_run, "it exists already"},
    {store_over_budget,
     "store_over_budget",
     429,
     not_run,
     "the store's bound on calls is used up"},
    {not_a_member, "not_a_member", 403, not_run, "the peer is no live member"},
    {wrong_incarnation,
     "wrong_incarnation",
     409,
     not_run,
     "the message is for another incarnation"},
    {bad_token,
     "bad_token",
     401,
     not_run,
     "the shared token is missing or wrong"},
    {address_not_allowed,
     "address_not_allowed",
     403,
     not_run,
     "the address is not on the list"},
    {job_never_fits,
     "job_never_fits",
     422,
     not_run,
     "no worker could ever hold the job"},
    {job_failed_everywhere,
     "job_failed_everywhere",
     422,
     unknown,
     "the job failed on several workers"},
    {job_cancelled, "job_cancelled", 409, unknown, "the job was cancelled"},
    {worker_refused,
     "worker_refused",
     409,
     not_run,
     "the worker refused the call"},
    {worker_unreachable,
     "worker_unreachable",
     503,
     unknown,
     "the worker does not answer"},
    {backlog_unknown,
     "backlog_unknown",
     503,
     not_run,
     "how many jobs wait is not known"},
}};

result_code_row const& row_of(result_code code) noexcept
{
    auto const found = std::find_if(result_code_table.begin(),
                                    result_code_table.end(),
                                    [code](result_code_row const& row)
                                    {
                                        return row.code == code;
                                    });
    return found == result_code_table.end() ? result_code_table.front()
                                            : *found;
}

std::string_view name_of(result_code code) noexcept
{
    return row_of(code).name;
}

std::string_view name_of(outcome result) noexcept
{
    constexpr std::array<std::string_view, 3> names{
        "ran", "not-run", "unknown"};
    return names[static_cast<std::size_t>(result)];
}

std::optional<outcome> outcome_from(std::string_view name) noexcept
{
    for (outcome result : {ran, not_run, unknown})
    {
        if (name_of(result) == name)
        {
            return result;
        }
    }
    return std::nullopt;
}

std::string to_string(failure const& reason)
{
    std::string text = std::to_string(static_cast<unsigned>(reason.code));
    text += ' ';
    text += name_of(reason.code);
    if (!reason.where.empty())
    {
        text += " at " + reason.where;
    }
    if (!reason.why.empty())
    {
        text += ": " + reason.why;
    }
    return text;
}

} // namespace fuchsia::core::common
