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

// Results of the requests of a run.
namespace fuchsia::tools::load
{

/// Result of one attempt; the result of a request is that of its last attempt.
enum class request_result : std::uint8_t
{
    answered, ///< Complete answer to this request.
    refused,  ///< Outcome "not-run".
    unknown,  ///< Outcome "unknown": the request may have run.
    lost,     ///< No answer, or one without a valid outcome.
    mixed,    ///< Truncated answer, or the answer to another request.
};

constexpr std::size_t request_result_count = 5;
std::string_view name_of(request_result value) noexcept;

/// Classifies the answer to a request with this load token. An upstream called
/// directly reports itself that it did not run the request.
request_result judge(adapters::http::response const& answer,
                     std::string_view token,
                     bool direct);

/// Counters and latencies of a set of requests.
struct tally
{
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0; ///< Attempts, retries included.
    std::array<std::uint64_t, request_result_count> results{};
    std::uint64_t late = 0;   ///< Successful answers after the deadline.
    std::uint64_t failed = 0; ///< Answers with status 400 or above.
    histogram latency; ///< Latency of answered requests from their due time.
    histogram refusal_latency; ///< Latency of refused requests.

    std::uint64_t count(request_result value) const noexcept;
    /// Number of requests answered within the deadline and without an error.
    std::uint64_t good() const noexcept;
    void add(tally const& other);
};

/// Record of a request that has ended.
struct ended_request
{
    std::string label;
    std::string phase; ///< Phase of the due time; empty if there is only one.
    ports::request_class kind = ports::request_class::latency_critical;
    request_result result = request_result::lost;
    std::uint16_t status = 0;
    std::uint32_t attempts = 1;
    core::common::duration took{}; ///< Time since the request was due.
    bool late = false;             ///< Whether it ended after the deadline.
};

class request_statistics
{
public:
    void record(std::size_t second, ended_request const& request);
    /// Counts a due request that was not sent because too many were in flight.
    void record_unsent();
    void record_code(std::string_view code);

    tally const& total() const noexcept;
    std::uint64_t unsent() const noexcept;
    std::map<std::string, tally, std::less<>> const& by_class() const;
    std::map<std::string, tally, std::less<>> const& by_label() const;
    /// Returns the tallies by "phase label"; empty if the run has one phase.
    std::map<std::string, tally, std::less<>> const& by_phase() const;
    std::map<std::string, std::uint64_t, std::less<>> const& codes() const;
    /// Returns the tallies by the second in which the request ended.
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
