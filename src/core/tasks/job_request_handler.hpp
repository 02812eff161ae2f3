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
    /// Time after which a request that waits for the store is refused.
    common::duration request_timeout = std::chrono::seconds(5);
    /// Maximum number of pending requests; further ones are refused.
    std::size_t max_requests = 512;
    /// Maximum number of messages in inboxes; beyond it new jobs are refused.
    std::size_t max_inbox_messages = 4000;
};

/// Request of an operator on a path below `/v1/jobs`, as received over HTTP.
struct job_request
{
    std::uint64_t caller = 0;
    std::string method;
    std::string target;
    std::string body;
};

/// State that the handler uses while it handles a request.
struct job_request_context
{
    common::time_point now;
    config::configuration const& config;
    worker_registry const& workers;
    load_table& loads;
    store_calls& calls;
    std::size_t inbox_message_count = 0;
    bool accepting = true; ///< False while the planner is stopping.
    ports::actions& out;
};

/// Accepts jobs and cancellations and lists jobs, for all cells. A job is
/// accepted once it is stored: first below `jobs/<id>`, which makes its id
/// unique, then in the inbox of the cell that was chosen for it.
class job_request_handler
{
public:
    job_request_handler(std::uint64_t incarnation,
                        job_request_handler_settings settings);

    /// Answers with a `caller_reply`, at once or later.
    void on_request(job_request_context& context, job_request const& request);
    /// Publishes a notice on which all cells stop a faulty job.
    void publish_stop(job_request_context& context, job_stopped const& stopped);

    void tick(job_request_context& context);
    void on_store_reply(job_request_context& context,
                        call_tag const& tag,
                        ports::store_reply const& reply);

private:
    enum class step : std::uint8_t
    {
        registering,     ///< Writes `jobs/<id>`.
        reading_job,     ///< Reads `jobs/<id>`, to find the job or its writer.
        listing_inbox,   ///< Looks for the job in the inboxes.
        listing_tasks,   ///< Looks for the job in the cells.
        delivering,      ///< Writes the message into the cell's inbox.
        publishing_stop, ///< Writes the stop notice.
    };
    enum class request_kind : std::uint8_t
    {
        submit,
        cancel,
        list,
        show,
        stop, ///< Sent by the planner itself; gets no answer.
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
        /// Whether a write of this request may have taken effect.
        bool write_may_have_applied = false;
    };

    // job_request_handler.cpp: requests and their store calls.
    void submit(job_request_context& context, job_request const& request);
    void begin(job_request_context& context, pending_request next);
    void send(job_request_context& context, pending_request& pending);
    std::optional<common::failure> refusal(job_request_context& context,
                                           job const& definition) const;
    static void answer(job_request_context& context,
                       pending_request const& pending,
                       std::uint16_t status,
                       std::string body);

    // job_request_replies.cpp: replies of the store. Each of these functions
    // returns false if the request is complete.
    bool on_registered(pending_request& pending,
                       ports::store_reply const& reply);
    bool on_job_read(job_request_context& context,
                     pending_request& pending,
                     ports::store_reply const& reply);
    bool on_listed(job_request_context& context,
                   pending_request& pending,
                   ports::store_reply const& reply);
    bool on_delivered(job_request_context& context,
                      pending_request& pending,
                      ports::store_reply const& reply);
    bool on_stop_published(job_request_context& context,
                           pending_request& pending,
                           ports::store_reply const& reply);

    std::string writer_;
    job_request_handler_settings settings_;
    std::uint64_t last_request_number_ = 0;
    std::map<std::uint64_t, pending_request> pending_requests_;
};

/// Returns a refusal with the number, name and HTTP status of the code.
ports::caller_reply refuse(std::uint64_t caller, common::failure reason);

} // namespace fuchsia::core::tasks
