#include "standins/workers/worker_server.hpp"
#include "tools/load/service_sampler.hpp"

#include <gtest/gtest.h>

namespace fuchsia::tools::load
{

TEST(service_sampler, samples_the_tails_of_running_services_by_phase)
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
    auto const where = workers.listen(reason);
    ASSERT_TRUE(where) << to_string(reason);
    adapters::http::client caller(io, {});
    for (auto const* const body :
         {R"({"task":"s","attempt":1,"millicores":100,"memory_mb":1,)"
          R"("accelerators":0,"class":"bidding","service":true,)"
          R"("start_before_ms":9000000000,"lease_until_ms":9000000000})",
          R"({"task":"b","attempt":1,"millicores":100,"memory_mb":1,)"
          R"("accelerators":0,"class":"valuation","work_ms":900000,)"
          R"("start_before_ms":9000000000,"lease_until_ms":9000000000})"})
    {
        adapters::http::client_call call;
        call.remote_endpoint = *where;
        call.message.method = "POST";
        call.message.target = "/v1/workers/worker-1/start";
        call.message.body = body;
        caller.send(
            std::move(call),
            [](ports::exchange_status, adapters::http::response const&) {});
    }
    service_sampler sampler(io,
                            *where,
                            []
                            {
                                return "calm";
                            });
    sampler.start();
    auto const sampled = [&]
    {
        auto const calm = sampler.by_phase().find("calm");
        return calm != sampler.by_phase().end() && calm->second.count() > 1;
    };
    auto const end = std::chrono::steady_clock::now() + 30s;
    while (!sampled() && std::chrono::steady_clock::now() < end)
    {
        io.run_for(1ms);
    }
    ASSERT_TRUE(sampled());
    // The batch task has no tail, and the service has a quiet neighbour.
    auto const& tails = sampler.by_phase().at("calm");
    EXPECT_GE(tails.quantile(0.5), 7'000);
    EXPECT_LT(tails.largest(), 8'000);
}

} // namespace fuchsia::tools::load
