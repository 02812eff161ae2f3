#include "platform/order_client.hpp"

#include "adapters/http/server.hpp"
#include "adapters/logging/logger.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <string>

using namespace fuchsia;
using namespace std::chrono_literals;

namespace
{

// Much longer than any test needs; only a hang reaches this limit.
constexpr auto test_timeout = 20s;
constexpr std::size_t polls = 20;

/// Polls a worker that gives the same answer to each poll and returns what is
/// logged meanwhile.
std::string log_of_polls(std::string const& body)
{
    testing::internal::CaptureStdout();
    adapters::logging::initialize("test", ports::severity::info);
    boost::asio::io_context io;
    adapters::http::server worker(
        io,
        {},
        [&body](adapters::http::request const&, auto respond)
        {
            respond(adapters::http::json_response(200, body));
        });
    core::common::failure reason;
    auto const endpoint = worker.listen({"127.0.0.1", 0}, reason);
    EXPECT_TRUE(endpoint) << to_string(reason);
    std::size_t answers = 0;
    platform::order_client client(io,
                                  [&answers](ports::order_reply const&)
                                  {
                                      ++answers;
                                  });
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    for (std::size_t sent = 1; sent <= polls; ++sent)
    {
        ports::pool_order order;
        order.id = sent;
        order.worker = "i-1";
        order.remote_endpoint = endpoint.value_or(ports::endpoint{});
        order.operation = ports::poll_order{};
        order.timeout = 10s;
        client.send(std::move(order));
        while (answers < sent && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
    }
    EXPECT_EQ(answers, polls);
    return testing::internal::GetCapturedStdout();
}

std::size_t count_of(std::string const& text, std::string const& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

} // namespace

// Guards against a line for each poll of a worker whose answers have a row that
// can't be read, as long as the worker runs.
TEST(platform_order_client, unreadable_answers_are_logged_once_for_each_cause)
{
    std::string const event = "worker_answer_unreadable";
    EXPECT_EQ(count_of(log_of_polls(R"({"running":[7],"ended":[]})"), event),
              1U);
    EXPECT_EQ(count_of(log_of_polls(R"({"clockMs":-1})"), event), 1U);
    EXPECT_EQ(count_of(log_of_polls(R"({"running":[],"ended":[]})"), event),
              0U);
}
