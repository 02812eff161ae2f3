#include "tools/load/book.hpp"

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

void enter(tally& into, ended_request const& request)
{
    ++into.requests;
    into.attempts += request.attempts;
    ++into.results[static_cast<std::size_t>(request.how)];
    if (request.how == result::answered)
    {
        bool const failed = request.status >= first_error_status;
        into.failed += failed ? 1 : 0;
        into.late += request.late && !failed ? 1 : 0;
        into.latency.record(request.took.count());
    }
    if (request.how == result::refused)
    {
        into.refusal_latency.record(request.took.count());
    }
}

} // namespace

std::string_view name_of(result value) noexcept
{
    constexpr std::array<std::string_view, result_count> names{
        "answered", "refused", "unknown", "lost", "mixed"};
    return names[static_cast<std::size_t>(value)];
}

result judge(adapters::http::response const& answer,
             std::string_view token,
             bool direct)
{
    if (direct && answer.status == unavailable &&
        answer.header("Upstream-Outcome") == "not-run")
    {
        return result::refused;
    }
    auto const said = core::common::outcome_from(
        answer.header("Fuchsia-Outcome").value_or(""));
    if (!direct && !said)
    {
        return result::lost;
    }
    switch (said.value_or(core::common::outcome::ran))
    {
    case core::common::outcome::not_run:
        return result::refused;
    case core::common::outcome::unknown:
        return result::unknown;
    default:
        return is_framed(answer.body, token) ? result::answered : result::mixed;
    }
}

std::uint64_t tally::of(result value) const noexcept
{
    return results[static_cast<std::size_t>(value)];
}

std::uint64_t tally::good() const noexcept
{
    return of(result::answered) - late - failed;
}

void tally::add(tally const& other)
{
    requests += other.requests;
    attempts += other.attempts;
    for (std::size_t index = 0; index < result_count; ++index)
    {
        results[index] += other.results[index];
    }
    late += other.late;
    failed += other.failed;
    latency.add(other.latency);
    refusal_latency.add(other.refusal_latency);
}

void book::record(std::size_t second, ended_request const& request)
{
    enter(total_, request);
    enter(by_class_[std::string(ports::name_of(request.kind))], request);
    enter(by_label_[request.label], request);
    if (!request.phase.empty())
    {
        enter(by_phase_[request.phase + " " + request.label], request);
    }
    if (second >= max_seconds)
    {
        return;
    }
    if (by_second_.size() <= second)
    {
        by_second_.resize(second + 1);
    }
    enter(by_second_[second], request);
}

void book::record_unsent()
{
    ++unsent_;
}

void book::note_code(std::string_view code)
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

tally const& book::total() const noexcept
{
    return total_;
}

std::uint64_t book::unsent() const noexcept
{
    return unsent_;
}

std::map<std::string, tally, std::less<>> const& book::by_class() const
{
    return by_class_;
}

std::map<std::string, tally, std::less<>> const& book::by_label() const
{
    return by_label_;
}

std::map<std::string, tally, std::less<>> const& book::by_phase() const
{
    return by_phase_;
}

std::map<std::string, std::uint64_t, std::less<>> const& book::codes() const
{
    return codes_;
}

std::vector<tally> const& book::by_second() const noexcept
{
    return by_second_;
}

} // namespace fuchsia::tools::load
