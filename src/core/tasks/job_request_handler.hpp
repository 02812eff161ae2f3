#pragma once

#include "core/config/configuration.hpp"
#include "core/tasks/job_view.hpp"
#include "core/tasks/load_table.hpp"
#include "core/tasks/store_calls.hpp"
#include "core/tasks/worker_registry.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::tasks
{

struct job_request_handler_settings
{
    common::duration retry_interval = std::chrono::milliseconds(150);
    /// A request that the store kept from ending is answered after this.
    common::duration request_timeout = std::chrono::seconds(5);
    /// Requests under way; one more is refused.
    std::size_t max_requests = 512;
    /// Parcels that lie in inboxes; beyond it new jobs are refused.
    std::size_t max_inbox_messages = 4000;
};

/// An operator's request on a path below `/v1/jobs`, as the HTTP side got it.
struct job_request
{
    std::uint64_t caller = 0;
    std::string method;
    std::string target;
    std::string body;
};

/// What the desk looks at while it handles a request.
struct job_request_context
{
    common::time_point now;
    config::configuration const& config;
    worker_registry const& workers;
    load_table& loads;
    store_calls& calls;
    std::size_t inbox_message_count = 0;
    bool accepting = true; ///< False while the planner stops.
    ports::actions& out;
};

/// Takes jobs and cancellations in and lists jobs, for any cell. A job is
/// accepted when the store has it: first `jobs/<id>`, which makes its id
/// unique, then the inbox of the cell that was chosen for it.
class job_request_handler
{
public:
    job_request_handler(std::uint64_t incarnation,
                        job_request_handler_settings settings);

    /// Answers by a `caller_reply`, now or later.
    void on_request(job_request_context& with, job_request const& request);
    /// Has all cells stop a job that was found to be at fault.
    void publish_stop(job_request_context& with, job_stopped const& what);

    void tick(job_request_context& with);
    void on_store_reply(job_request_context& with,
                        call_tag const& tag,
                        ports::store_reply const& reply);

private:
    enum class step : std::uint8_t
    {
        registering,   ///< Writes `jobs/<id>`.
        reading_job,   ///< Reads it back, or finds out whose it is.
        listing_inbox, ///< Is a job with this id known anywhere?
        listing_tasks,
        delivering,      ///< Writes the parcel into the cell's inbox.
        publishing_stop, ///< Writes the stop notice.
    };
    enum class request_kind : std::uint8_t
    {
        submit,
        cancel,
        list,
        show,
        stop, ///< Of the planner itself; answers nobody.
    };
    struct pending_request
    {
        request_kind kind = request_kind::submit;
        step current_step = step::registering;
        std::uint64_t caller = 0;
        std::string id;
        std::string state; ///< Filter of a list.
        job submitted;
        std::string cell;
        std::string writer;
        stop_notice notice;
        std::vector<ports::store_entry> inboxes;
        common::time_point started_at{};
        common::time_point next_retry_at{};
        std::uint64_t call = 0;
        bool write_may_have_applied =
            false; ///< A write of this errand may have taken effect.
    };

    // job_desk.cpp: requests, and the calls that they need.
    void submit(job_request_context& with, job_request const& request);
    void begin(job_request_context& with, pending_request next);
    void send(job_request_context& with, pending_request& of);
    std::optional<common::failure> refusal(job_request_context& with,
                                           job const& wanted) const;
    static void answer(job_request_context& with,
                       pending_request const& of,
                       std::uint16_t status,
                       std::string body);

    // job_desk_replies.cpp: what the store answers.
    /// Each gives false where the errand is over.
    bool on_registered(pending_request& of, ports::store_reply const& reply);
    bool on_job_read(job_request_context& with,
                     pending_request& of,
                     ports::store_reply const& reply);
    bool on_listed(job_request_context& with,
                   pending_request& of,
                   ports::store_reply const& reply);
    bool on_delivered(job_request_context& with,
                      pending_request& of,
                      ports::store_reply const& reply);
    bool on_stop_published(job_request_context& with,
                           pending_request& of,
                           ports::store_reply const& reply);

    std::string writer_;
    job_request_handler_settings settings_;
    std::uint64_t last_request_number_ = 0;
    std::map<std::uint64_t, pending_request> pending_requests_;
};

/// An answer that refuses, with the code's number, name and HTTP status.
ports::caller_reply refuse(std::uint64_t caller, common::failure reason);

} // namespace fuchsia::core::tasks
