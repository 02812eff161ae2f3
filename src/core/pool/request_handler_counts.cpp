#include "core/pool/keys.hpp"
#include "core/pool/request_handler.hpp"

#include <utility>

// How many jobs of a queue wait, and whether that is known well enough to tell.
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
        refuse(caller, "the store is away");
        return;
    }
    out_.store(
        life_,
        ports::kv_read{std::string(keys::backlog)},
        settings_.call_timeout,
        [this, caller, name, now](common::time_point at, kv_reply const& reply)
        {
            times_.note(now, reply.revision);
            on_backlog(at, caller, name, reply);
        });
}

// A record that was never written has heard of nothing yet.
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
    auto const known = reply.items.empty()
                           ? std::optional(backlog{})
                           : parse_backlog(reply.items.front().value, reason);
    if (!known)
    {
        out_.log(severity::error,
                 "backlog_unreadable",
                 {{"why", common::to_string(reason)}});
        refuse(caller, "the backlog can't be read");
        return;
    }
    auto const complete = times_.complete_until(known->synced_revision);
    auto const age = complete ? std::optional(now - *complete) : std::nullopt;
    report_waiting(caller, name, *known, {"store", reply.revision, age});
}

// An owner that is gone or far behind leaves a count that may be far too low.
// Nobody's clock but this one's tells how old it is.
void request_handler::report_waiting(std::uint64_t caller,
                                     std::string const& name,
                                     backlog const& known,
                                     count_source const& source)
{
    auto const found = known.waiting.find(name);
    auto const jobs = found == known.waiting.end() ? 0 : found->second;
    std::vector<ports::header> fields{
        {"queue", name},
        {"jobs", std::to_string(jobs)},
        {"from", source.from},
        {"heard", std::to_string(known.synced_revision)},
        {"store", std::to_string(source.store)},
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
                               "what is known of waiting jobs is too old"},
                              settings_.retry_after});
}

} // namespace fuchsia::core::pool
