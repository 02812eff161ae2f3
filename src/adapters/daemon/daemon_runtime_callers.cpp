#include "adapters/daemon/daemon_runtime.hpp"

#include <utility>

// Receives callers' HTTP requests, sends the responses and, at the stop, waits
// until all responses have been written.
namespace fuchsia::adapters::daemon
{

using core::common::clock;
using core::common::result_code;

namespace
{

constexpr core::common::duration finish_poll_interval =
    std::chrono::milliseconds(10);
constexpr core::common::duration finish_timeout = std::chrono::seconds(10);
constexpr core::common::duration queue_full_retry_after =
    std::chrono::milliseconds(250);

http::response queue_full()
{
    auto answer = http::failure_response(
        {result_code::queue_full, "", "too many requests wait here"});
    answer.headers.push_back({"Retry-After", "1"});
    answer.headers.push_back({"Fuchsia-Retry-After-Ms",
                              std::to_string(core::common::to_milliseconds(
                                  queue_full_retry_after))});
    return answer;
}

} // namespace

void daemon_runtime::answer(std::uint64_t request, http::response response)
{
    // The ring is never full: it has one place for each pending request, and
    // `handle_http` limits their number.
    answers_.try_push(outgoing_answer{request, std::move(response)});
}

void daemon_runtime::handle_http(http::request request, http::responder respond)
{
    if (request.target == "/healthz")
    {
        respond({200, {}, "ok\n"});
        return;
    }
    if (request.target == "/readyz")
    {
        bool const ready = ready_;
        respond({static_cast<std::uint16_t>(ready ? 200 : 503),
                 {},
                 ready ? "ready\n" : "not ready\n"});
        return;
    }
    if (request.target == "/metrics")
    {
        respond({200,
                 {{"Content-Type", "text/plain; version=0.0.4"}},
                 metrics_.text()});
        return;
    }
    if (handlers_.pre_check)
    {
        if (auto final_answer = handlers_.pre_check(request))
        {
            respond(std::move(*final_answer));
            return;
        }
    }
    if (pending_responders_.size() >= options_.max_waiting_requests)
    {
        respond(queue_full());
        return;
    }
    auto const id = ++next_request_;
    incoming_request item{id, std::move(request)};
    if (!requests_.try_push(item))
    {
        respond(queue_full());
        return;
    }
    pending_responders_.emplace(id, std::move(respond));
}

// Runs on the HTTP thread.
void daemon_runtime::respond(outgoing_answer& item)
{
    auto const found = pending_responders_.find(item.id);
    if (found == pending_responders_.end())
    {
        return;
    }
    auto const respond = std::move(found->second);
    pending_responders_.erase(found);
    respond(std::move(item.message));
}

// Runs on the HTTP thread.
void daemon_runtime::on_shed(http::shed_reason reason,
                             std::string const& address,
                             std::uint64_t bytes)
{
    auto const name = std::string(http::name_of(reason));
    metrics_
        .counter("fuchsia_connections_shed_total",
                 "connections or requests given up for the others' sake",
                 {{"reason", name}})
        .Increment();
    http_log_.write(clock::now(),
                    {ports::severity::warning,
                     "connection_shed",
                     {{"reason", name},
                      {"address", address},
                      {"bytes", std::to_string(bytes)}}});
}

// Stops the process when all responses have been written. The engine has
// stopped already, but its last responses may still be in transit.
void daemon_runtime::finish()
{
    auto const now = clock::now();
    if (!finishing_)
    {
        finishing_ = true;
        finish_deadline_ = now + finish_timeout;
        server_->drain();
    }
    // The deadline is for callers that do not read their response; they must
    // not keep the process running for ever.
    if (server_->waiting() == 0 || now >= finish_deadline_)
    {
        main_.io().stop();
        return;
    }
    finish_timer_.expires_after(finish_poll_interval);
    finish_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                finish();
            }
        });
}

} // namespace fuchsia::adapters::daemon
