#include "platform/kv_client.hpp"

#include "adapters/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <optional>

using namespace fuchsia;
using namespace std::chrono_literals;

namespace
{

// Much longer than any test needs; only a hang reaches this limit.
constexpr auto test_timeout = 20s;
constexpr std::size_t oversized_bytes = 5 * 1024 * 1024;

// Returns the status that the client reports for `operation` if the store
// answers with this body.
ports::kv_status status_of(ports::kv_operation operation, std::string body)
{
    boost::asio::io_context io;
    adapters::http::server store_server(
        io,
        {},
        [&body](adapters::http::request const&, auto respond)
        {
            respond(adapters::http::json_response(200, body));
        });
    core::common::failure reason;
    auto const store_endpoint = store_server.listen({"127.0.0.1", 0}, reason);
    EXPECT_TRUE(store_endpoint) << to_string(reason);
    std::optional<ports::kv_status> status;
    platform::kv_client client(io,
                               store_endpoint.value_or(ports::endpoint{}),
                               [&status](ports::kv_reply const& reply)
                               {
                                   status = reply.status;
                               });
    client.send({1, std::move(operation), 10s});
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (!status && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    return status.value_or(ports::kv_status::unclear);
}

} // namespace

// Guards against an endless loop: a watch whose answer exceeds the size limit
// was repeated from the same revision forever.
TEST(platform_store, a_watch_answer_over_the_size_limit_is_compacted)
{
    auto const events = R"({"atRevision":9,"events":[{"key":"pool/job/a",)"
                        R"("revision":9,"value":")" +
                        std::string(oversized_bytes, 'A') + R"("}]})";
    EXPECT_EQ(status_of(ports::kv_watch{"pool/", 1, 1s}, events),
              ports::kv_status::compacted);
}
