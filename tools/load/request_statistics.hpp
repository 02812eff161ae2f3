#pragma once

#include "adapters/http/message.hpp"
#include "ports/requests.hpp"
#include "tools/load/histogram.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// What became of every request.
namespace fuchsia::tools::load
{

/// The end of one sending, and of a request by its last sending.
enum class request_result : std::uint8_t
{
    answered, ///< Whole answer of its own.
    refused,  ///< "not-run".
    unknown,  ///< "unknown": may have run.
    lost,     ///< No answer, or one that says nothing.
    mixed,    ///< A part, or another request's answer.
};

constexpr std::size_t request_result_count = 5;
std::string_view name_of(request_result value) noexcept;

/// Judges an answer to a request with this load token. Upstreams that were
/// called directly say themselves that they did not run it.
request_result judge(adapters::http::response const& answer,
                     std::string_view token,
                     bool direct);

struct tally
{
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0; ///< Sendings; more than requests by retries.
    std::array<std::uint64_t, request_result_count> results{};
    std::uint64_t late = 0;   ///< Answered after the deadline.
    std::uint64_t failed = 0; ///< Answered with a status of 400 or above.
    histogram latency;        ///< Of what was answered, from when it was due.
    histogram refusal_latency;

    std::uint64_t count(request_result value) const noexcept;
    /// Answered in time and without an error.
    std::uint64_t good() const noexcept;
    void add(tally const& other);
};

/// One request that has ended.
struct ended_request
{
    std::string label;
    std::string phase; ///< In which it was due; empty: there is but one.
    ports::request_class kind = ports::request_class::latency_critical;
    request_result result = request_result::lost;
    std::uint16_t status = 0;
    std::uint32_t attempts = 1;
    core::common::duration took{}; ///< From when it was due.
    bool late = false;
};

class request_statistics
{
public:
    void record(std::size_t second, ended_request const& request);
    /// A request that was due but not sent, since too many were in flight.
    void record_unsent();
    void record_code(std::string_view code);

    tally const& total() const noexcept;
    std::uint64_t unsent() const noexcept;
    std::map<std::string, tally, std::less<>> const& by_class() const;
    std::map<std::string, tally, std::less<>> const& by_label() const;
    /// By "phase label"; empty where the run has one phase.
    std::map<std::string, tally, std::less<>> const& by_phase() const;
    std::map<std::string, std::uint64_t, std::less<>> const& codes() const;
    /// By the second in which the request ended.
    std::vector<tally> const& by_second() const noexcept;

private:
    tally total_;
    std::uint64_t unsent_ = 0;
    std::map<std::string, tally, std::less<>> by_class_;
    std::map<std::string, tally, std::less<>> by_label_;
    std::map<std::string, tally, std::less<>> by_phase_;
    std::map<std::string, std::uint64_t, std::less<>> codes_;
    std::vector<tally> by_second_;
};

} // namespace fuchsia::tools::load
