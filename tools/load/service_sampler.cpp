#include "tools/load/service_sampler.hpp"

#include "adapters/platform/worker_client.hpp"

#include <utility>

namespace fuchsia::tools::load
{

namespace
{
constexpr core::common::duration sample_interval = std::chrono::seconds(1);
constexpr std::uint64_t max_response_bytes = 64 * 1024 * 1024;

adapters::http::client_settings connection_settings()
{
    adapters::http::client_settings settings;
    settings.body_bytes = max_response_bytes;
    return settings;
}

} // namespace

service_sampler::service_sampler(boost::asio::io_context& io,
                                 ports::endpoint workers,
                                 std::function<std::string()> phase)
    : workers_(std::move(workers)), phase_(std::move(phase)),
      client_(io, connection_settings()), timer_(io)
{
}

void service_sampler::start()
{
    adapters::http::client_call call;
    call.remote_endpoint = workers_;
    call.message.method = "GET";
    call.message.target = "/v1/reports";
    client_.send(std::move(call),
                 [this](ports::exchange_status status,
                        adapters::http::response const& answer)
                 {
                     if (status == ports::exchange_status::answered)
                     {
                         record_reports(answer);
                     }
                 });
    timer_.expires_after(sample_interval);
    timer_.async_wait(
        [this](auto error)
        {
            if (!error)
            {
                start();
            }
        });
}

void service_sampler::record_reports(adapters::http::response const& answer)
{
    core::common::failure ignored; // A report that is missing is no sample.
    auto const reports =
        adapters::platform::parse_reports(answer.body, ignored);
    if (!reports)
    {
        return;
    }
    auto& tail = by_phase_[phase_()];
    for (auto const& report : *reports)
    {
        for (auto const& attempt : report.attempts)
        {
            bool const running = attempt.state == ports::attempt_state::running;
            if (running && attempt.latency_p99_us > 0)
            {
                tail.record(static_cast<std::int64_t>(attempt.latency_p99_us));
            }
        }
    }
}

service_sampler::tail_latencies const&
service_sampler::by_phase() const noexcept
{
    return by_phase_;
}

} // namespace fuchsia::tools::load
