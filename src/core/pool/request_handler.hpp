#pragma once

#include "core/pool/operator_follower.hpp"
#include "core/pool/outbox.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/request.hpp"
#include "core/pool/revision_times.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace fuchsia::core::pool
{

struct request_handler_settings
{
    /// Timeout of a commit and of the backlog read. Callers wait 3 s for an
    /// answer; a slow store answers in 0.4 s.
    common::duration call_timeout = std::chrono::milliseconds(1500);
    /// Timeout of each read of a job or its final state. One answer may need
    /// two such reads and one call with another timeout, one after the other.
    common::duration read_timeout = std::chrono::milliseconds(1000);
    /// Timeout of the stale read of a final state, which only saves a more
    /// expensive read.
    common::duration stale_read_timeout = std::chrono::milliseconds(600);
    /// Maximum total time of the store calls for one answer about a job. The
    /// last call may additionally need time for a new connection.
    common::duration answer_limit = std::chrono::milliseconds(2200);
    /// Minimum timeout of a call, even where `answer_limit` is almost used up.
    common::duration min_timeout = std::chrono::milliseconds(200);
    /// A store that has not answered any call for this long is considered
    /// unavailable, and requests that need it are refused at once.
    common::duration store_unavailable_after = std::chrono::milliseconds(2000);
    /// Time without an answer after which the store is considered unavailable
    /// if two commits in a row have failed. Longer than a store that is merely
    /// slow takes to answer.
    common::duration failing_after = std::chrono::milliseconds(600);
    /// Time after which a refused caller should retry. Short outages of the
    /// store end within seconds, and another instance may reach it now.
    common::duration retry_after = std::chrono::milliseconds(500);
    /// Maximum age of the operator configuration. A change may be in force
    /// after this time, so no job is accepted and no queue is reported as not
    /// found on the basis of an older configuration.
    common::duration configuration_age_limit = std::chrono::milliseconds(1950);
    /// Maximum age of a reported count of waiting jobs. A count that may omit
    /// jobs accepted longer ago is not reported.
    common::duration count_age_limit = std::chrono::milliseconds(4000);
    /// Maximum number of cached final states. Repeated queries of a cached
    /// state need no call to the store.
    std::size_t max_final_states = 4096;
};

/// Answers requests of submitters. Every instance can answer them: an accepted
/// job is in the store before the answer is sent, and the owner learns of the
/// job from the store.
class request_handler
{
public:
    request_handler(request_handler_settings settings,
                    operator_follower const& operators,
                    outbox& out,
                    revision_times& times);

    void on_request(common::time_point now,
                    pool_request const& request,
                    owner const* owned);
    /// Number of requests that have not been answered yet.
    std::size_t open() const noexcept;
    bool store_unavailable(common::time_point now) const noexcept;
    /// Whether the operator configuration was last confirmed too long ago to
    /// accept jobs.
    bool configuration_is_old(common::time_point now) const noexcept;

private:
    /// Source of a count of waiting jobs.
    struct count_source
    {
        char const* origin = "";
        /// Revision of the store when the count was read.
        std::uint64_t store_revision = 0;
        /// Every job that was accepted longer ago is in the count; empty if
        /// not known.
        std::optional<common::duration> age;
    };

    /// Request to query or cancel a job.
    struct job_request
    {
        std::uint64_t caller = 0;
        std::string id;
        common::time_point deadline{}; ///< Time by which it is answered.
    };
    job_request make_job_request(common::time_point now,
                                 std::uint64_t caller,
                                 std::string const& id) const;
    /// Timeout of the next store call for `request`, at most `limit`.
    common::duration timeout_for(common::time_point now,
                                 job_request const& request,
                                 common::duration limit) const;

    void submit(common::time_point now,
                std::uint64_t caller,
                job submitted,
                queue const& target_queue,
                std::string id);
    void answer_malformed_id(std::uint64_t caller, bool submits);
    void query(common::time_point now,
               job_request const& request,
               owner const* owned);
    void query_stale_final(common::time_point now, job_request const& request);
    void query_job(common::time_point now, job_request const& request);
    void answer_final(job_request const& request, ports::kv_item const& item);
    void query_final(common::time_point now, job_request const& request);
    void query_queue(common::time_point now,
                     std::uint64_t caller,
                     std::string const& name,
                     owner const* owned);
    void on_backlog(common::time_point now,
                    std::uint64_t caller,
                    std::string const& name,
                    ports::kv_reply const& reply);
    void report_waiting(std::uint64_t caller,
                        std::string const& name,
                        backlog const& counts,
                        count_source const& source);

    // request_handler_cancel.cpp
    void cancel(common::time_point now, job_request const& request);
    void cancel_if_ended(common::time_point now, job_request const& request);
    void cancel_ahead_of_submission(common::time_point now,
                                    job_request const& request);
    void cancel_existing(common::time_point now,
                         job_request const& request,
                         std::uint64_t revision);

    common::duration store_silence(common::time_point now) const noexcept;
    void refuse_for_old_configuration(common::time_point now,
                                      pool_request const& request);
    void count_failure(ports::kv_reply const& reply);
    void answer(std::uint64_t caller, ports::job_answer job_answer);
    void refuse(std::uint64_t caller, std::string reason);
    void answer_unknown_outcome(std::uint64_t caller, std::string reason);
    void cache_final_state(std::string const& id, ports::job_state state);

    request_handler_settings settings_;
    operator_follower const& operators_;
    outbox& out_;
    revision_times& revision_times_;
    lifetime_token life_ = std::make_shared<char>();
    std::size_t open_requests_ = 0;
    std::uint32_t failed_commits_ = 0; ///< Consecutive failed commits.
    std::unordered_map<std::string, ports::job_state> final_states_;
    std::deque<std::string> final_state_order_;
};

} // namespace fuchsia::core::pool
