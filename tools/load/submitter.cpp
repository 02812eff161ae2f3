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
constexpr std::uint16_t too_many = 429;
constexpr std::uint32_t max_tries = 20;
constexpr core::common::duration call_timeout = std::chrono::seconds(5);
constexpr core::common::duration pause = std::chrono::milliseconds(500);
} // namespace

submitter::submitter(boost::asio::io_context& io,
                     experiment const& what,
                     std::string run)
    : io_(io), what_(what), run_(std::move(run)), client_(io, {})
{
}

void submitter::submit(std::size_t stream)
{
    auto const& job = what_.jobs[stream];
    auto body = boost::json::parse(job.body).as_object();
    body["id"] =
        job.label + "-" + run_ + "-" + std::to_string(++counts_.submitted);
    ++open_;
    attempt(
        std::make_shared<pending>(pending{boost::json::serialize(body), 0}));
}

void submitter::attempt(std::shared_ptr<pending> const& job)
{
    ++job->tries;
    turn_ = (turn_ + 1) % what_.targets.planners.size();
    adapters::http::client_call call;
    call.remote_endpoint = what_.targets.planners[turn_];
    call.timeout = call_timeout;
    call.message.method = "POST";
    call.message.target = "/v1/jobs";
    call.message.headers = {{"Authorization", "Bearer " + what_.targets.token}};
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
    bool const final = answered && answer.status < first_server_error &&
                       answer.status != too_many;
    if (final || job->tries >= max_tries)
    {
        --open_;
        bool const accepted = final && answer.status == ok;
        counts_.accepted += accepted ? 1 : 0;
        counts_.refused += final && !accepted ? 1 : 0;
        counts_.unanswered += final ? 0 : 1;
        last_reason_ = accepted ? last_reason_ : answer.body;
        return;
    }
    auto const later = std::make_shared<adapters::runtime::timer>(io_, pause);
    later->async_wait(
        [this, later, job](auto error)
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
    return open_;
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
