#include "adapters/http/client.hpp"
#include "standins/links/link_server.hpp"
#include "standins/platform/platform_server.hpp"
#include "standins/settings.hpp"
#include "standins/upstreams/upstream_server.hpp"
#include "standins/workers/worker_server.hpp"

#include <gtest/gtest.h>

namespace fuchsia::standins
{

namespace
{

using namespace std::chrono_literals;
using adapters::http::client;
using adapters::http::client_call;
using adapters::http::response;
using ports::exchange_status;

constexpr ports::exchange_status still_open{255};

class standin_servers : public testing::Test
{
protected:
    struct exchange
    {
        exchange_status status = still_open;
        response answer;
    };

    std::shared_ptr<exchange> send(ports::endpoint const& address,
                                   std::string method,
                                   std::string target,
                                   std::string body = {},
                                   std::vector<ports::header> headers = {})
    {
        client_call call;
        call.remote_endpoint = address;
        call.message = {std::move(method),
                        std::move(target),
                        std::move(headers),
                        std::move(body),
                        {}};
        call.timeout = 20s;
        auto result = std::make_shared<exchange>();
        caller.send(std::move(call),
                    [result](exchange_status status, response answer)
                    {
                        result->status = status;
                        result->answer = std::move(answer);
                    });
        return result;
    }

    void wait_for(std::function<bool()> const& condition)
    {
        auto const end = std::chrono::steady_clock::now() + 30s;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            io.run_for(1ms);
        }
        ASSERT_TRUE(condition());
    }

    std::shared_ptr<exchange>
    send_and_wait(ports::endpoint const& address,
                  std::string method,
                  std::string target,
                  std::string body = {},
                  std::vector<ports::header> headers = {})
    {
        auto result = send(address,
                           std::move(method),
                           std::move(target),
                           std::move(body),
                           std::move(headers));
        wait_for(
            [&]
            {
                return result->status != still_open;
            });
        return result;
    }

    static ports::endpoint any_port()
    {
        return {"127.0.0.1", 0};
    }

    boost::asio::io_context io;
    core::common::failure reason;
    client caller{io, {}};
};

} // namespace

TEST_F(standin_servers, a_change_completes_a_blocking_query)
{
    platform::platform_settings settings;
    settings.listen = any_port();
    platform::platform_server server(io, settings);
    auto const address = server.listen(reason);
    ASSERT_TRUE(address) << to_string(reason);
    send_and_wait(*address, "PUT", "/v1/kv/config/index", "1");
    auto const watch =
        send(*address, "GET", "/v1/kv/config/?recurse&index=2&wait=60s");
    send_and_wait(*address, "PUT", "/v1/kv/other", "1");
    EXPECT_EQ(watch->status, still_open);
    send_and_wait(*address, "PUT", "/v1/kv/config/index", "2");
    wait_for(
        [&]
        {
            return watch->status != still_open;
        });
    EXPECT_EQ(watch->answer.status, 200);
    EXPECT_EQ(watch->answer.header("X-Consul-Index"), "4");
}

TEST_F(standin_servers,
       a_platform_that_is_down_closes_connections_without_response)
{
    // While the store is down, every call and every waiting watch loses its
    // connection without a response, and no change is made.
    platform::platform_settings settings;
    settings.listen = any_port();
    platform::platform_server server(io, settings);
    auto const address = server.listen(reason);
    ASSERT_TRUE(address) << to_string(reason);
    auto const watch = send(*address, "GET", "/v1/kv/k?index=1&wait=60s");
    auto const counts = [&]
    {
        return send_and_wait(*address, "GET", "/control/counts")->answer.body;
    };
    wait_for(
        [&]
        {
            return counts().find("\"watches\":1") != std::string::npos;
        });
    send_and_wait(*address, "POST", "/control/faults", R"({"down":true})");
    wait_for(
        [&]
        {
            return watch->status != still_open;
        });
    EXPECT_EQ(watch->status, exchange_status::lost);
    EXPECT_EQ(send_and_wait(*address, "PUT", "/v1/kv/k", "v")->status,
              exchange_status::lost);
    send_and_wait(*address, "POST", "/control/faults", R"({"down":false})");
    EXPECT_EQ(send_and_wait(*address, "GET", "/v1/kv/k")->answer.status, 404);
}

TEST_F(standin_servers, a_slow_platform_responds_after_the_delay)
{
    platform::platform_settings settings;
    settings.listen = any_port();
    platform::platform_server server(io, settings);
    auto const address = server.listen(reason);
    ASSERT_TRUE(address) << to_string(reason);
    send_and_wait(*address, "POST", "/control/faults", R"({"slow_ms":20})");
    EXPECT_EQ(send_and_wait(*address, "PUT", "/v1/kv/k", "v")->answer.body,
              "true");
    auto const watch = send(*address, "GET", "/v1/kv/k?index=2&wait=60s");
    send_and_wait(*address, "PUT", "/v1/kv/k", "w");
    wait_for(
        [&]
        {
            return watch->status != still_open;
        });
    EXPECT_EQ(watch->answer.status, 200);
}

TEST_F(standin_servers, executors_register_and_return_the_load_token)
{
    platform::platform_settings platform_settings;
    platform_settings.listen = any_port();
    platform::platform_server platform(io, platform_settings);
    auto const catalog_address = platform.listen(reason);
    ASSERT_TRUE(catalog_address) << to_string(reason);
    upstreams::upstream_server_settings settings;
    settings.control = any_port();
    settings.first_port = 0;
    settings.platform = catalog_address;
    settings.register_interval = 50ms;
    settings.pool.count = 3;
    settings.pool.data_centres = {"kochi-a"};
    upstreams::upstream_server server(io, settings);
    ASSERT_TRUE(server.listen(reason)) << to_string(reason);
    std::string listed;
    wait_for(
        [&]
        {
            listed = send_and_wait(*catalog_address,
                                   "GET",
                                   "/v1/catalog/service/upstream")
                         ->answer.body;
            return listed.find("upstream-3") != std::string::npos;
        });
    EXPECT_NE(listed.find(R"("slots":"8")"), std::string::npos);
    auto const received = send_and_wait(server.executors()[1],
                                        "POST",
                                        "/lots/1",
                                        "bid",
                                        {{"Fuchsia-Load-Token", "T-17"}});
    EXPECT_EQ(received->answer.status, 200);
    EXPECT_EQ(received->answer.header("Upstream-Id"), "upstream-2");
    EXPECT_TRUE(received->answer.body.starts_with("T-17\n"));
    EXPECT_TRUE(received->answer.body.ends_with("\nT-17"));
    server.stop();
    platform.stop();
}

TEST_F(standin_servers, executors_fail_according_to_the_injected_faults)
{
    struct row
    {
        std::string faults;
        exchange_status status;
        std::uint16_t http_status;
    };
    std::vector<row> const rows{
        {R"("refuse_permille":1000)", exchange_status::answered, 503},
        {R"("refuse_permille":0,"fail_permille":1000)",
         exchange_status::answered,
         500},
        {R"("fail_permille":0,"partial_permille":1000)",
         exchange_status::lost,
         0},
        {R"("partial_permille":0)", exchange_status::answered, 200},
    };
    upstreams::upstream_server_settings settings;
    settings.control = any_port();
    settings.first_port = 0;
    settings.pool.count = 1;
    upstreams::upstream_server server(io, settings);
    auto const control = server.listen(reason);
    ASSERT_TRUE(control) << to_string(reason);
    for (auto const& row : rows)
    {
        send_and_wait(*control,
                      "POST",
                      "/control/faults",
                      R"({"upstream":"*",)" + row.faults + "}");
        auto const received =
            send_and_wait(server.executors()[0], "GET", "/lots");
        EXPECT_EQ(received->status, row.status) << row.faults;
        if (received->status == exchange_status::answered)
        {
            EXPECT_EQ(received->answer.status, row.http_status) << row.faults;
        }
    }
    auto const malformed = send_and_wait(
        *control, "POST", "/control/faults", R"({"upstream":"*","x":1})");
    EXPECT_EQ(malformed->answer.status, 400);
}

TEST_F(standin_servers, an_unfrozen_executor_resumes_pending_requests)
{
    // The executor's process is stopped for a while. Its connections stay open
    // without progress, and the late responses follow when it resumes.
    upstreams::upstream_server_settings settings;
    settings.control = any_port();
    settings.first_port = 0;
    settings.pool.count = 2;
    upstreams::upstream_server server(io, settings);
    auto const control = server.listen(reason);
    ASSERT_TRUE(control) << to_string(reason);
    send_and_wait(*control,
                  "POST",
                  "/control/faults",
                  R"({"upstream":"upstream-1","freeze":true})");
    auto const pending = send(server.executors()[0], "GET", "/lots");
    send_and_wait(server.executors()[1], "GET", "/lots");
    EXPECT_EQ(pending->status, still_open);
    send_and_wait(*control,
                  "POST",
                  "/control/faults",
                  R"({"upstream":"upstream-1","freeze":false})");
    wait_for(
        [&]
        {
            return pending->status != still_open;
        });
    EXPECT_EQ(pending->answer.status, 200);
}

TEST_F(standin_servers, workers_respond_to_calls_and_count_them)
{
    workers::worker_server_settings settings;
    settings.listen = any_port();
    settings.pool.count = 2;
    settings.pool.data_centres = {"kochi-a"};
    workers::worker_server server(io, settings);
    auto const address = server.listen(reason);
    ASSERT_TRUE(address) << to_string(reason);
    std::string const start =
        R"({"task":"t","attempt":1,"millicores":100,"memory_mb":10,)"
        R"("accelerators":0,"class":"valuation","service":false,)"
        R"("work_ms":60000,"checkpoint":"","start_before_ms":9000000000,)"
        R"("lease_until_ms":9000000000})";
    struct row
    {
        std::string target;
        std::string body;
        std::uint16_t status;
        std::string_view expected_part;
    };
    std::vector<row> const rows{
        {"/v1/workers/worker-1/start", start, 200, "{"},
        {"/v1/workers/worker-9/start", start, 409, "no such worker"},
        {"/v1/workers/worker-1/start", "{", 400, "1004"},
        {"/v1/workers/worker-1/dance", "{}", 400, "1014"},
        {"/v1/workers/worker-1/throttle",
         R"({"task":"t","attempt":1,"permille":0})",
         400,
         "1009"},
        {"/v1/workers/worker-1/checkpoint",
         R"({"task":"t","attempt":1})",
         200,
         "checkpoint-1"},
        {"/v1/workers/worker-1/renew",
         R"({"attempts":[{"task":"u","attempt":1}],"lease_until_ms":1})",
         200,
         R"("gone":[{"task":"u","attempt":1}])"},
        {"/v1/workers/worker-1/stop", R"({"task":"t","attempt":1})", 200, "{"},
        {"/control/data-centres/kochi-a", R"({"state":"gone"})", 400, "state"},
    };
    for (auto const& row : rows)
    {
        auto const received =
            send_and_wait(*address, "POST", row.target, row.body);
        EXPECT_EQ(received->answer.status, row.status)
            << row.target << row.body;
        EXPECT_NE(received->answer.body.find(row.expected_part),
                  std::string::npos)
            << received->answer.body;
    }
    auto const counters =
        send_and_wait(*address, "GET", "/control/counts")->answer.body;
    EXPECT_NE(counters.find(R"("starts":1)"), std::string::npos);
    EXPECT_NE(counters.find(R"("stopped":1)"), std::string::npos);
}

TEST_F(standin_servers,
       a_worker_refuses_a_start_delayed_past_its_deadline_by_a_freeze)
{
    // A start call waits in the buffers of a paused worker. When the worker
    // resumes, the task already runs elsewhere. The worker refuses the start
    // because its own clock is past the deadline of the call.
    workers::worker_server_settings settings;
    settings.listen = any_port();
    settings.pool.count = 1;
    workers::worker_server server(io, settings);
    auto const address = server.listen(reason);
    ASSERT_TRUE(address) << to_string(reason);
    send_and_wait(*address,
                  "POST",
                  "/control/faults",
                  R"({"worker":"worker-1","freeze":true})");
    auto const pending =
        send(*address,
             "POST",
             "/v1/workers/worker-1/start",
             R"({"task":"t","attempt":1,"millicores":1,"memory_mb":1,)"
             R"("accelerators":0,"class":"c","start_before_ms":0,)"
             R"("lease_until_ms":9000000000})");
    send_and_wait(*address, "GET", "/v1/workers");
    EXPECT_EQ(pending->status, still_open);
    send_and_wait(*address,
                  "POST",
                  "/control/faults",
                  R"({"worker":"worker-1","freeze":false})");
    wait_for(
        [&]
        {
            return pending->status != still_open;
        });
    EXPECT_EQ(pending->answer.status, 409);
}

TEST_F(standin_servers, a_cut_link_delays_bytes_until_it_is_restored_or_reset)
{
    // The path between two machines fails in one or both directions.
    // Connections stay open without an error, and the bytes arrive late once
    // the path is restored.
    struct row
    {
        std::string cut;
        std::string restore;
        exchange_status expected_status;
    };
    std::vector<row> const rows{
        {"both", R"({"cut":"none"})", exchange_status::answered},
        {"forward", R"({"cut":"none"})", exchange_status::answered},
        {"backward", R"({"cut":"none"})", exchange_status::answered},
        {"both", R"({"cut":"none","reset":true})", exchange_status::lost},
    };
    workers::worker_server_settings target_settings;
    target_settings.listen = any_port();
    workers::worker_server target(io, target_settings);
    auto const target_address = target.listen(reason);
    ASSERT_TRUE(target_address) << to_string(reason);
    links::link_server_settings settings;
    settings.control = any_port();
    settings.links.push_back({"a-b", any_port(), *target_address, 1ms});
    links::link_server server(io, settings);
    auto const control = server.listen(reason);
    ASSERT_TRUE(control) << to_string(reason);
    auto const link = server.endpoints().at(0);
    for (auto const& row : rows)
    {
        EXPECT_EQ(send_and_wait(link, "GET", "/v1/workers")->answer.status,
                  200);
        send_and_wait(*control,
                      "POST",
                      "/control/links/a-b",
                      R"({"cut":")" + row.cut + R"("})");
        auto const pending = send(link, "GET", "/control/counts");
        send_and_wait(*target_address, "GET", "/v1/workers");
        EXPECT_EQ(pending->status, still_open) << row.cut;
        send_and_wait(*control, "POST", "/control/links/a-b", row.restore);
        wait_for(
            [&]
            {
                return pending->status != still_open;
            });
        EXPECT_EQ(pending->status, row.expected_status)
            << row.cut << row.restore;
    }
    server.stop();
    target.stop();
}

TEST(standin_settings, an_error_names_its_file_and_line)
{
    struct row
    {
        std::string_view text;
        std::string_view expected_place;
        core::common::result_code expected_code;
    };
    using core::common::result_code;
    std::vector<row> const rows{
        {"listen = \"127.0.0.1:1\"\n[store]\nwrites = 3\n",
         "f.toml:3",
         result_code::unknown_key},
        {"listen = \"127.0.0.1:1\"\n[store]\nwrites_per_second = 0\n",
         "f.toml:3",
         result_code::out_of_range},
        {"listen = \"nowhere\"\n", "f.toml:1", result_code::out_of_range},
        {"\n[store]\n", "f.toml", result_code::missing_key},
        {"listen = \"127.0.0.1:1\"\n[[probe]]\nid = 7\n",
         "f.toml:3",
         result_code::wrong_type},
    };
    for (auto const& row : rows)
    {
        core::common::failure reason;
        auto const file =
            adapters::settings::toml_file::parse(row.text, "f.toml", reason);
        ASSERT_TRUE(file) << to_string(reason);
        auto root = file->root();
        read_platform_settings(root);
        EXPECT_FALSE(file->ok()) << row.text;
        EXPECT_EQ(file->reason().code, row.expected_code)
            << to_string(file->reason());
        EXPECT_TRUE(file->reason().where.starts_with(row.expected_place))
            << to_string(file->reason());
    }
}

TEST(standin_settings, the_example_files_are_valid)
{
    auto const check = [](std::string const& name, auto const& read)
    {
        core::common::failure reason;
        auto const file = adapters::settings::toml_file::open(
            FUCHSIA_SOURCE_DIR "/examples/standin-" + name + ".toml", reason);
        ASSERT_TRUE(file) << to_string(reason);
        auto root = file->root();
        read_log_level(root);
        read(root);
        EXPECT_TRUE(file->ok()) << to_string(file->reason());
    };
    check("platform", read_platform_settings);
    check("upstreams", read_upstream_settings);
    check("workers", read_worker_settings);
    check("links", read_link_settings);
}

} // namespace fuchsia::standins
