#include "platform/kv_client.hpp"

#include "adapters/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <optional>

using namespace fuchsia;
using namespace std::chrono_literals;

namespace
{

// Far beyond what any test needs; only a hang reaches it.
constexpr auto patience = 20s;
constexpr std::size_t too_much = 5 * 1024 * 1024;

// What the store is said to have answered to `operation` where its answer has
// this body.
ports::kv_status status_of(ports::kv_operation operation, std::string body)
{
    boost::asio::io_context io;
    adapters::http::server served(
        io,
        {},
        [&body](adapters::http::request const&, auto respond)
        {
            respond(adapters::http::json_response(200, body));
        });
    core::common::failure reason;
    auto const where = served.listen({"127.0.0.1", 0}, reason);
    EXPECT_TRUE(where) << to_string(reason);
    std::optional<ports::kv_status> told;
    platform::kv_client asked(io,
                              where.value_or(ports::endpoint{}),
                              [&told](ports::kv_reply const& reply)
                              {
                                  told = reply.status;
                              });
    asked.send({1, std::move(operation), 10s});
    auto const end = std::chrono::steady_clock::now() + patience;
    while (!told && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    return told.value_or(ports::kv_status::unclear);
}

} // namespace

// A watch with too large an answer was sent again from the same place for ever.
TEST(platform_store, more_events_than_fit_are_history_that_is_gone)
{
    auto const events = R"({"atRevision":9,"events":[{"key":"pool/job/a",)"
                        R"("revision":9,"value":")" +
                        std::string(too_much, 'A') + R"("}]})";
    EXPECT_EQ(status_of(ports::kv_watch{"pool/", 1, 1s}, events),
              ports::kv_status::compacted);
}
