#include "tools/load/request_statistics.hpp"

#include "core/common/result_code.hpp"

namespace fuchsia::tools::load
{

namespace
{

constexpr std::uint16_t first_error_status = 400;
constexpr std::uint16_t unavailable = 503;
constexpr std::size_t max_seconds = 3'600;
constexpr std::size_t max_codes = 200;

bool is_framed(std::string_view body, std::string_view token)
{
    std::string const head = std::string(token) + "\n";
    std::string const tail = "\n" + std::string(token);
    return body.size() >= head.size() + token.size() &&
           body.starts_with(head) && body.ends_with(tail);
}

void add_request(tally& row, ended_request const& request)
{
    ++row.requests;
    row.attempts += request.attempts;
    ++row.results[static_cast<std::size_t>(request.result)];
    if (request.result == request_result::answered)
    {
        bool const failed = request.status >= first_error_status;
        row.failed += failed ? 1 : 0;
        row.late += request.late && !failed ? 1 : 0;
        row.latency.record(request.took.count());
    }
    if (request.result == request_result::refused)
    {
        row.refusal_latency.record(request.took.count());
    }
}

} // namespace

std::string_view name_of(request_result value) noexcept
{
    constexpr std::array<std::string_view, request_result_count> names{
        "answered", "refused", "unknown", "lost", "mixed"};
    return names[static_cast<std::size_t>(value)];
}

request_result judge(adapters::http::response const& answer,
                     std::string_view token,
                     bool direct)
{
    if (direct && answer.status == unavailable &&
        answer.header("Upstream-Outcome") == "not-run")
    {
        return request_result::refused;
    }
    auto const reported_outcome = core::common::outcome_from(
        answer.header("Fuchsia-Outcome").value_or(""));
    if (!direct && !reported_outcome)
    {
        return request_result::lost;
    }
    switch (reported_outcome.value_or(core::common::outcome::ran))
    {
    case core::common::outcome::not_run:
        return request_result::refused;
    case core::common::outcome::unknown:
        return request_result::unknown;
    default:
        return is_framed(answer.body, token) ? request_result::answered
                                             : request_result::mixed;
    }
}

std::uint64_t tally::count(request_result value) const noexcept
{
    return results[static_cast<std::size_t>(value)];
}

std::uint64_t tally::good() const noexcept
{
    return count(request_result::answered) - late - failed;
}

void tally::add(tally const& other)
{
    requests += other.requests;
    attempts += other.attempts;
    for (std::size_t index = 0; index < request_result_count; ++index)
    {
        results[index] += other.results[index];
    }
    late += other.late;
    failed += other.failed;
    latency.add(other.latency);
    refusal_latency.add(other.refusal_latency);
}

void request_statistics::record(std::size_t second,
                                ended_request const& request)
{
    add_request(total_, request);
    add_request(by_class_[std::string(ports::name_of(request.kind))], request);
    add_request(by_label_[request.label], request);
    if (!request.phase.empty())
    {
        add_request(by_phase_[request.phase + " " + request.label], request);
    }
    if (second >= max_seconds)
    {
        return;
    }
    if (by_second_.size() <= second)
    {
        by_second_.resize(second + 1);
    }
    add_request(by_second_[second], request);
}

void request_statistics::record_unsent()
{
    ++unsent_;
}

void request_statistics::record_code(std::string_view code)
{
    auto const found = codes_.find(code);
    if (found != codes_.end())
    {
        ++found->second;
    }
    else if (codes_.size() < max_codes)
    {
        codes_.emplace(code, 1);
    }
}

tally const& request_statistics::total() const noexcept
{
    return total_;
}

std::uint64_t request_statistics::unsent() const noexcept
{
    return unsent_;
}

std::map<std::string, tally, std::less<>> const&
request_statistics::by_class() const
{
    return by_class_;
}

std::map<std::string, tally, std::less<>> const&
request_statistics::by_label() const
{
    return by_label_;
}

std::map<std::string, tally, std::less<>> const&
request_statistics::by_phase() const
{
    return by_phase_;
}

std::map<std::string, std::uint64_t, std::less<>> const&
request_statistics::codes() const
{
    return codes_;
}

std::vector<tally> const& request_statistics::by_second() const noexcept
{
    return by_second_;
}

} // namespace fuchsia::tools::load
