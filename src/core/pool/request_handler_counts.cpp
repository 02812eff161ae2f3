#include "core/pool/keys.hpp"
#include "core/pool/request_handler.hpp"

#include <utility>

// Queries for the number of waiting jobs of a queue. A count is reported only
// if it is recent enough.
namespace fuchsia::core::pool
{

using common::result_code;
using ports::kv_reply;
using ports::kv_status;
using ports::severity;

void request_handler::query_queue(common::time_point now,
                                  std::uint64_t caller,
                                  std::string const& name,
                                  owner const* owned)
{
    if (owned != nullptr && owned->loaded())
    {
        report_waiting(caller,
                       name,
                       owned->waiting_jobs(),
                       {"memory", 0, now - owned->synced_until()});
        return;
    }
    if (store_unavailable(now))
    {
        refuse(caller, "the store is unavailable");
        return;
    }
    out_.store(
        life_,
        ports::kv_read{std::string(keys::backlog)},
        settings_.call_timeout,
        [this, caller, name, now](common::time_point at, kv_reply const& reply)
        {
            revision_times_.note(now, reply.revision);
            on_backlog(at, caller, name, reply);
        });
}

// A missing record counts as empty and synced up to no revision.
void request_handler::on_backlog(common::time_point now,
                                 std::uint64_t caller,
                                 std::string const& name,
                                 kv_reply const& reply)
{
    if (reply.status != kv_status::done && reply.status != kv_status::missing)
    {
        refuse(caller, "the store did not answer");
        return;
    }
    common::failure reason;
    auto const counts = reply.items.empty()
                            ? std::optional(backlog{})
                            : parse_backlog(reply.items.front().value, reason);
    if (!counts)
    {
        out_.log(severity::error,
                 "backlog_unreadable",
                 {{"why", common::to_string(reason)}});
        refuse(caller, "the backlog record can't be parsed");
        return;
    }
    auto const complete =
        revision_times_.complete_until(counts->synced_revision);
    auto const age = complete ? std::optional(now - *complete) : std::nullopt;
    report_waiting(caller, name, *counts, {"store", reply.revision, age});
}

// The record of an owner that has failed or is far behind may contain a count
// that is far too low. The age of the count is measured with this instance's
// clock only.
void request_handler::report_waiting(std::uint64_t caller,
                                     std::string const& name,
                                     backlog const& counts,
                                     count_source const& source)
{
    auto const found = counts.waiting.find(name);
    auto const jobs = found == counts.waiting.end() ? 0 : found->second;
    std::vector<ports::header> fields{
        {"queue", name},
        {"jobs", std::to_string(jobs)},
        {"from", source.origin},
        {"heard", std::to_string(counts.synced_revision)},
        {"store", std::to_string(source.store_revision)},
        {"age_ms",
         source.age ? std::to_string(common::to_milliseconds(*source.age))
                    : "unknown"}};
    if (source.age && *source.age <= settings_.count_age_limit)
    {
        out_.log(severity::info, "backlog_told", std::move(fields));
        answer(caller, ports::queue_status{jobs});
        return;
    }
    out_.log(severity::warning, "backlog_unknown", std::move(fields));
    answer(caller,
           ports::job_refused{{result_code::backlog_unknown,
                               name,
                               "the count of waiting jobs is out of date"},
                              settings_.retry_after});
}

} // namespace fuchsia::core::pool
