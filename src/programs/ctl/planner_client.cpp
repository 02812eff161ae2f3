#include "programs/ctl/planner_client.hpp"

#include "core/common/json.hpp"

#include <optional>
#include <utility>

namespace fuchsia::programs::ctl
{

namespace
{

using core::common::failure;
using core::common::result_code;
using ports::exchange_status;

constexpr std::uint16_t service_unavailable = 503;
constexpr std::uint64_t max_answer_bytes = std::uint64_t{64} << 20U;

bool is_success(std::uint16_t status) noexcept
{
    return status >= 200 && status < 300;
}

/// Outcome of a call with an unsuccessful answer: according to the header of
/// the answer, else according to its code; unknown if it has neither.
call_end end_of(adapters::http::response const& response,
                std::optional<result_code> code) noexcept
{
    auto const header = response.header("Fuchsia-Outcome");
    auto reported_outcome = core::common::outcome::unknown;
    if (header)
    {
        reported_outcome =
            core::common::outcome_from(*header).value_or(reported_outcome);
    }
    else if (code)
    {
        reported_outcome = core::common::row_of(*code).request_outcome;
    }
    return reported_outcome == core::common::outcome::not_run
               ? call_end::refused
               : call_end::unknown;
}

/// Converts a planner's answer to a result.
call_result read_answer(adapters::http::response const& response)
{
    call_result result;
    failure malformed;
    auto body =
        core::common::parse_json_object(response.body, "answer", malformed);
    if (is_success(response.status))
    {
        result.end = body ? call_end::done : call_end::unknown;
        result.reason = body ? failure{} : malformed;
        result.body = std::move(body).value_or(boost::json::object{});
        return result;
    }
    if (!body)
    {
        result.reason = {malformed.code,
                         "answer",
                         "HTTP status " + std::to_string(response.status)};
        result.end = end_of(response, std::nullopt);
        return result;
    }
    core::common::json_reader reader(*body, "answer");
    result.reason.code =
        static_cast<result_code>(reader.integer_or("code", 0, 0, 65535));
    result.end = end_of(response, result.reason.code);
    result.reason.where = reader.text_or("where", "");
    result.reason.why = reader.text_or("why", "");
    result.newest_revision = static_cast<std::uint64_t>(
        reader.integer_or("revision", 0, 0, INT64_MAX));
    result.body = std::move(*body);
    return result;
}

call_result unreachable(std::string const& server_name)
{
    return {call_end::refused,
            {},
            {result_code::owner_unreachable,
             {},
             "no " + server_name + " can be reached; nothing was changed"},
            0};
}

} // namespace

planner_client::planner_client(ctl_settings settings, std::string server_name)
    : settings_(std::move(settings)), server_name_(std::move(server_name)),
      client_(io_,
              []
              {
                  adapters::http::client_settings bounds;
                  bounds.body_bytes = max_answer_bytes;
                  return bounds;
              }())
{
}

call_result planner_client::call(std::string const& method,
                                 std::string const& target,
                                 std::string const& body,
                                 repeat repeat_policy)
{
    auto const count = settings_.planners.size();
    call_result last = unreachable(server_name_);
    bool may_be_done = false;
    for (std::size_t attempts = 0; attempts < count; ++attempts)
    {
        auto const at = (first_ + attempts) % count;
        auto const& where = settings_.planners[at];
        auto const [status, response] = send(where, method, target, body);
        if (status == exchange_status::not_sent)
        {
            last.reason.where = adapters::http::to_string(where);
            continue;
        }
        if (status == exchange_status::answered)
        {
            last = read_answer(response);
            if (last.end == call_end::refused &&
                response.status == service_unavailable)
            {
                continue;
            }
            first_ = at;
            break;
        }
        last.end = repeat_policy == repeat::read ? call_end::refused
                                                 : call_end::unknown;
        last.body = {};
        last.reason = {result_code::owner_lost,
                       adapters::http::to_string(where),
                       "the " + server_name_ + "'s answer was lost"};
        may_be_done = repeat_policy != repeat::read;
        if (repeat_policy == repeat::never)
        {
            break;
        }
    }
    if (repeat_policy == repeat::read && last.end == call_end::unknown)
    {
        last.end = call_end::refused;
    }
    // The refusal of a later planner doesn't exclude that an earlier one
    // executed the call.
    if (may_be_done && last.end == call_end::refused)
    {
        last.end = call_end::unknown;
    }
    return last;
}

planner_client::attempt planner_client::send(ports::endpoint const& where,
                                             std::string const& method,
                                             std::string const& target,
                                             std::string const& body)
{
    adapters::http::client_call call;
    call.remote_endpoint = where;
    call.timeout = settings_.timeout;
    call.message.method = method;
    call.message.target = target;
    call.message.body = body;
    call.message.headers.push_back(
        {"Authorization", "Bearer " + settings_.token});
    if (!body.empty())
    {
        call.message.headers.push_back({"Content-Type", "application/json"});
    }
    attempt result;
    bool done = false;
    client_.send(std::move(call),
                 [&](exchange_status status, adapters::http::response response)
                 {
                     result = {status, std::move(response)};
                     done = true;
                 });
    io_.restart();
    while (!done && io_.run_one() != 0)
    {
    }
    return result;
}

} // namespace fuchsia::programs::ctl
