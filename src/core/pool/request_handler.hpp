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
    /// Callers wait 3 s for an answer; a slow store answers in 0.4 s.
    common::duration call_timeout = std::chrono::milliseconds(1500);
    /// Of each read of a job or its final state: up to two of them, and a call
    /// with one of the other limits, follow one another for one answer.
    common::duration read_timeout = std::chrono::milliseconds(1000);
    /// Of the read that may be old, which is only the cheaper way.
    common::duration old_read_timeout = std::chrono::milliseconds(600);
    /// Of all calls for one answer about a job together; the last of them may
    /// need a new connection beyond that.
    common::duration answer_limit = std::chrono::milliseconds(2200);
    /// What the last of them has in any case.
    common::duration least_timeout = std::chrono::milliseconds(200);
    /// A store that has not answered anything for this long is taken for away,
    /// and what needs it is refused at once.
    common::duration store_unavailable_after = std::chrono::milliseconds(2000);
    /// After two failed calls in a row this much silence is enough. Longer than
    /// the answers of a store that is merely slow.
    common::duration failing_after = std::chrono::milliseconds(600);
    /// When to come back after a refusal: the store's short outages end within
    /// seconds, and another instance may reach it now.
    common::duration retry_after = std::chrono::milliseconds(500);
    /// What operators set may be in force after this long: by an older state
    /// no job is taken and no queue is said to be absent.
    common::duration configuration_age_limit = std::chrono::milliseconds(1950);
    /// A count that may leave out jobs accepted longer ago is not told.
    common::duration count_age_limit = std::chrono::milliseconds(4000);
    /// Final states remembered, so that repeated questions need no call.
    std::size_t max_final_states = 4096;
};

/// Answers submitters. Any instance does: what was accepted lies in the store
/// before the answer goes out, and its owner learns of it there.
class request_handler
{
public:
    request_handler(request_handler_settings settings,
                    operator_follower const& rules,
                    outbox& out,
                    revision_times& times);

    void on_request(common::time_point now,
                    pool_request const& request,
                    owner const* owned);
    /// Requests without an answer.
    std::size_t open() const noexcept;
    bool store_unavailable(common::time_point now) const noexcept;
    /// Whether what operators set was last heard too long ago to take jobs.
    bool configuration_is_old(common::time_point now) const noexcept;

private:
    /// Where a count comes from.
    struct count_source
    {
        char const* from = "";
        std::uint64_t store = 0; ///< The store's revision when it was read.
        /// Every job that was accepted longer ago is in it; empty: not known.
        std::optional<common::duration> age;
    };

    /// What a caller wants to know of a job, or wants to be cancelled.
    struct job_question
    {
        std::uint64_t caller = 0;
        std::string id;
        common::time_point until{}; ///< It is answered by then.
    };
    job_question ask_about(common::time_point now,
                           std::uint64_t caller,
                           std::string const& id) const;
    /// What is left for a call, at most `limit`.
    common::duration time_for(common::time_point now,
                              job_question const& asked,
                              common::duration limit) const;

    void submit(common::time_point now,
                std::uint64_t caller,
                job what,
                queue const& into,
                std::string id);
    void answer_malformed_id(std::uint64_t caller, bool submits);
    void query(common::time_point now,
               job_question const& asked,
               owner const* owned);
    void query_old_final(common::time_point now, job_question const& asked);
    void query_job(common::time_point now, job_question const& asked);
    void answer_final(job_question const& asked, ports::kv_item const& item);
    void query_final(common::time_point now, job_question const& asked);
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
                        backlog const& known,
                        count_source const& source);

    // front_cancel.cpp
    void cancel(common::time_point now, job_question const& asked);
    void cancel_ended(common::time_point now, job_question const& asked);
    void cancel_unknown(common::time_point now, job_question const& asked);
    void cancel_known(common::time_point now,
                      job_question const& asked,
                      std::uint64_t revision);

    common::duration store_silence(common::time_point now) const noexcept;
    void refuse_by_old_configuration(common::time_point now,
                                     pool_request const& request);
    void note(ports::kv_reply const& reply);
    void answer(std::uint64_t caller, ports::job_answer what);
    void refuse(std::uint64_t caller, std::string why);
    void unknown(std::uint64_t caller, std::string why);
    void remember(std::string const& id, ports::job_state state);

    request_handler_settings settings_;
    operator_follower const& rules_;
    outbox& out_;
    revision_times& times_;
    lifetime_token life_ = std::make_shared<char>();
    std::size_t open_ = 0;
    std::uint32_t failures_ = 0; ///< Failed commits in a row.
    std::unordered_map<std::string, ports::job_state> finals_;
    std::deque<std::string> final_order_;
};

} // namespace fuchsia::core::pool
