#include "tools/load/submitter.hpp"

#include "adapters/runtime/timer.hpp"

#include <boost/json.hpp>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{
constexpr std::uint16_t ok = 200;
constexpr std::uint16_t first_server_error = 500;
constexpr std::uint16_t too_many_requests = 429;
constexpr std::uint32_t max_attempts = 20;
constexpr core::common::duration call_timeout = std::chrono::seconds(5);
constexpr core::common::duration retry_pause = std::chrono::milliseconds(500);
} // namespace

submitter::submitter(boost::asio::io_context& io,
                     experiment const& spec,
                     std::string run_id)
    : io_(io), experiment_(spec), run_id_(std::move(run_id)), client_(io, {})
{
}

void submitter::submit(std::size_t stream)
{
    auto const& job = experiment_.jobs[stream];
    auto body = boost::json::parse(job.body).as_object();
    body["id"] =
        job.label + "-" + run_id_ + "-" + std::to_string(++counts_.submitted);
    ++pending_jobs_;
    attempt(
        std::make_shared<pending>(pending{boost::json::serialize(body), 0}));
}

void submitter::attempt(std::shared_ptr<pending> const& job)
{
    ++job->attempts;
    planner_index_ = (planner_index_ + 1) % experiment_.targets.planners.size();
    adapters::http::client_call call;
    call.remote_endpoint = experiment_.targets.planners[planner_index_];
    call.timeout = call_timeout;
    call.message.method = "POST";
    call.message.target = "/v1/jobs";
    call.message.headers = {
        {"Authorization", "Bearer " + experiment_.targets.token}};
    call.message.body = job->body;
    client_.send(std::move(call),
                 [this, job](ports::exchange_status status,
                             adapters::http::response const& answer)
                 {
                     on_end(job, status, answer);
                 });
}

void submitter::on_end(std::shared_ptr<pending> const& job,
                       ports::exchange_status status,
                       adapters::http::response const& answer)
{
    bool const answered = status == ports::exchange_status::answered;
    bool const is_final = answered && answer.status < first_server_error &&
                          answer.status != too_many_requests;
    if (is_final || job->attempts >= max_attempts)
    {
        --pending_jobs_;
        bool const accepted = is_final && answer.status == ok;
        counts_.accepted += accepted ? 1 : 0;
        counts_.refused += is_final && !accepted ? 1 : 0;
        counts_.unanswered += is_final ? 0 : 1;
        last_reason_ = accepted ? last_reason_ : answer.body;
        return;
    }
    auto const retry_timer =
        std::make_shared<adapters::runtime::timer>(io_, retry_pause);
    retry_timer->async_wait(
        [this, retry_timer, job](auto error)
        {
            if (!error)
            {
                attempt(job);
            }
        });
}

job_counts const& submitter::counts() const noexcept
{
    return counts_;
}

std::size_t submitter::pending_jobs() const noexcept
{
    return pending_jobs_;
}

std::string const& submitter::last_reason() const noexcept
{
    return last_reason_;
}

void submitter::close()
{
    client_.close();
}

} // namespace fuchsia::tools::load
