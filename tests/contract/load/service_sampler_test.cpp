#include "standins/workers/worker_server.hpp"
#include "tools/load/service_sampler.hpp"

#include <gtest/gtest.h>

namespace fuchsia::tools::load
{

TEST(service_sampler, records_tail_latencies_of_running_services_by_phase)
{
    using namespace std::chrono_literals;
    boost::asio::io_context io;
    standins::workers::worker_server_settings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.pool.count = 1;
    settings.pool.report_interval = 100ms;
    settings.pool.report_lag = 0ms;
    settings.pool.service_latency_us = 7'000;
    standins::workers::worker_server workers(io, settings);
    core::common::failure reason;
    auto const endpoint = workers.listen(reason);
    ASSERT_TRUE(endpoint) << to_string(reason);
    adapters::http::client client(io, {});
    for (auto const* const body :
         {R"({"task":"s","attempt":1,"millicores":100,"memory_mb":1,)"
          R"("accelerators":0,"class":"bidding","service":true,)"
          R"("start_before_ms":9000000000,"lease_until_ms":9000000000})",
          R"({"task":"b","attempt":1,"millicores":100,"memory_mb":1,)"
          R"("accelerators":0,"class":"valuation","work_ms":900000,)"
          R"("start_before_ms":9000000000,"lease_until_ms":9000000000})"})
    {
        adapters::http::client_call call;
        call.remote_endpoint = *endpoint;
        call.message.method = "POST";
        call.message.target = "/v1/workers/worker-1/start";
        call.message.body = body;
        client.send(
            std::move(call),
            [](ports::exchange_status, adapters::http::response const&) {});
    }
    service_sampler sampler(io,
                            *endpoint,
                            []
                            {
                                return "calm";
                            });
    sampler.start();
    auto const has_samples = [&]
    {
        auto const calm = sampler.by_phase().find("calm");
        return calm != sampler.by_phase().end() && calm->second.count() > 1;
    };
    auto const end = std::chrono::steady_clock::now() + 30s;
    while (!has_samples() && std::chrono::steady_clock::now() < end)
    {
        io.run_for(1ms);
    }
    ASSERT_TRUE(has_samples());
    // Only the service reports a tail latency, and its neighbour, the batch
    // task, disturbs it little.
    auto const& tails = sampler.by_phase().at("calm");
    EXPECT_GE(tails.quantile(0.5), 7'000);
    EXPECT_LT(tails.largest(), 8'000);
}

} // namespace fuchsia::tools::load
