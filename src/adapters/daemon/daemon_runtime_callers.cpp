#include "adapters/daemon/daemon_runtime.hpp"

#include <utility>

// Callers over HTTP: taken in, answered, waited for at the end.
namespace fuchsia::adapters::daemon
{

using core::common::clock;
using core::common::result_code;

namespace
{

constexpr core::common::duration finish_poll = std::chrono::milliseconds(10);
constexpr core::common::duration finish_patience = std::chrono::seconds(10);
constexpr core::common::duration queue_full_retry =
    std::chrono::milliseconds(250);

http::response queue_full()
{
    auto answer = http::failure_response(
        {result_code::queue_full, "", "too many requests wait here"});
    answer.headers.push_back({"Retry-After", "1"});
    answer.headers.push_back(
        {"Fuchsia-Retry-After-Ms",
         std::to_string(core::common::to_milliseconds(queue_full_retry))});
    return answer;
}

} // namespace

void daemon_runtime::answer(std::uint64_t request, http::response response)
{
    // Never full: each waiting request holds one place, and no more wait than
    // the ring has places.
    answers_.try_push(answer_out{request, std::move(response)});
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
    if (events_.pre_check)
    {
        if (auto final_answer = events_.pre_check(request))
        {
            respond(std::move(*final_answer));
            return;
        }
    }
    if (waiting_.size() >= options_.max_waiting_requests)
    {
        respond(queue_full());
        return;
    }
    auto const id = ++next_request_;
    request_in in{id, std::move(request)};
    if (!requests_.try_push(in))
    {
        respond(queue_full());
        return;
    }
    waiting_.emplace(id, std::move(respond));
}

// On the HTTP thread.
void daemon_runtime::respond(answer_out& out)
{
    auto const found = waiting_.find(out.id);
    if (found == waiting_.end())
    {
        return;
    }
    auto const respond = std::move(found->second);
    waiting_.erase(found);
    respond(std::move(out.message));
}

// The engine is done, but its last answers may still be on their way out: the
// process ends when each has been written.
void daemon_runtime::finish()
{
    auto const now = clock::now();
    if (!finishing_)
    {
        finishing_ = true;
        finish_until_ = now + finish_patience;
        server_->drain();
    }
    // A caller that does not read its answer must not hold the process for
    // ever.
    if (server_->waiting() == 0 || now >= finish_until_)
    {
        main_.io().stop();
        return;
    }
    finisher_.expires_after(finish_poll);
    finisher_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                finish();
            }
        });
}

} // namespace fuchsia::adapters::daemon
