#include "adapters/http/client.hpp"
#include "adapters/http/server.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <optional>

using namespace fuchsia;
using namespace std::chrono_literals;
using adapters::http::client;
using adapters::http::server;
using ports::exchange_status;

namespace
{

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;

void run_until(boost::asio::io_context& io, std::function<bool()> const& done)
{
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (!done() && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    ASSERT_TRUE(done());
}

struct exchange_result
{
    std::vector<exchange_status> statuses;
    adapters::http::response last;
};

class http_exchange : public testing::Test
{
protected:
    ports::endpoint start_server(adapters::http::request_handler handle,
                                 adapters::http::server_limits limits = {})
    {
        http_server.emplace(io, limits, std::move(handle));
        core::common::failure reason;
        auto const remote_endpoint =
            http_server->listen({"127.0.0.1", 0}, reason);
        EXPECT_TRUE(remote_endpoint) << to_string(reason);
        return remote_endpoint.value_or(ports::endpoint{});
    }

    exchange_result& send(client& http_client,
                          ports::endpoint remote_endpoint,
                          std::string body,
                          core::common::duration timeout = 10s,
                          bool drain = false)
    {
        auto& result = results.emplace_back();
        adapters::http::client_call call;
        call.remote_endpoint = std::move(remote_endpoint);
        call.message = {"POST", "/x", {}, std::move(body), {}};
        call.timeout = timeout;
        call.drain = drain;
        http_client.send(
            std::move(call),
            [&result](exchange_status status, adapters::http::response answer)
            {
                result.statuses.push_back(status);
                result.last = std::move(answer);
            });
        return result;
    }

    boost::asio::io_context io;
    std::optional<server> http_server;
    std::list<exchange_result> results;
};

} // namespace

TEST_F(http_exchange, persistent_connection_carries_consecutive_responses)
{
    auto const remote_endpoint = start_server(
        [](adapters::http::request const& request, auto respond)
        {
            respond(adapters::http::json_response(200, request.body));
        });
    client http_client(io, {});
    auto& first = send(http_client, remote_endpoint, "one");
    run_until(io,
              [&]
              {
                  return !first.statuses.empty();
              });
    auto& second = send(http_client, remote_endpoint, "two");
    run_until(io,
              [&]
              {
                  return !second.statuses.empty();
              });
    EXPECT_EQ(first.last.body, "one");
    EXPECT_EQ(second.last.body, "two");
}

// An upstream responds after the deadline of its caller on a persistent
// connection. If the late response stayed in the connection, the next caller
// would receive the bid of another caller.
TEST_F(http_exchange,
       late_response_is_drained_and_not_returned_to_the_next_call)
{
    adapters::http::responder delayed_response;
    auto const remote_endpoint = start_server(
        [&](adapters::http::request const& request, auto respond)
        {
            if (request.body == "slow")
            {
                delayed_response = respond;
                return;
            }
            respond(adapters::http::json_response(200, request.body));
        });
    client http_client(io, {});
    auto& slow = send(http_client, remote_endpoint, "slow", 30ms, true);
    run_until(io,
              [&]
              {
                  return slow.statuses.size() == 1;
              });
    EXPECT_EQ(slow.statuses[0], exchange_status::timed_out);

    auto& other = send(http_client, remote_endpoint, "other");
    run_until(io,
              [&]
              {
                  return !other.statuses.empty();
              });
    EXPECT_EQ(other.last.body, "other");

    delayed_response(adapters::http::json_response(200, "late"));
    run_until(io,
              [&]
              {
                  return slow.statuses.size() == 2;
              });
    EXPECT_EQ(slow.statuses[1], exchange_status::drained);

    auto& next = send(http_client, remote_endpoint, "next");
    run_until(io,
              [&]
              {
                  return !next.statuses.empty();
              });
    EXPECT_EQ(next.last.body, "next");
}

// No process listens on the port, so the request provably never ran and the
// caller may be told so.
TEST_F(http_exchange, refused_connection_reports_not_sent)
{
    auto const remote_endpoint = start_server([](auto, auto) {});
    http_server.reset();
    client http_client(io, {});
    auto& result = send(http_client, remote_endpoint, "x");
    run_until(io,
              [&]
              {
                  return !result.statuses.empty();
              });
    EXPECT_EQ(result.statuses[0], exchange_status::not_sent);
}

// The upstream fails after receiving the request. The request may have run, so
// the client must not send it again.
TEST_F(http_exchange, connection_closed_before_the_response_reports_lost)
{
    int received = 0;
    auto const remote_endpoint = start_server(
        [&](auto, auto)
        {
            ++received;
            http_server->close();
        });
    client http_client(io, {});
    auto& result = send(http_client, remote_endpoint, "x");
    run_until(io,
              [&]
              {
                  return !result.statuses.empty();
              });
    EXPECT_EQ(result.statuses[0], exchange_status::lost);
    EXPECT_EQ(received, 1);
}

TEST_F(http_exchange,
       malformed_messages_get_a_numbered_error_and_the_server_continues)
{
    struct malformed_message
    {
        std::string name;
        std::string message;
        std::string status;
        std::string code;
    };
    std::vector<malformed_message> const cases{
        {"no HTTP", "hello\r\n\r\n", "400", "1001 malformed_http"},
        {"oversize header",
         "GET / HTTP/1.1\r\nA: " + std::string(5000, 'a') + "\r\n\r\n",
         "431",
         "1006 headers_too_large"},
        {"oversize body",
         "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
         "413",
         "1005 body_too_large"},
    };
    adapters::http::server_limits limits;
    limits.header_bytes = 1000;
    limits.body_bytes = 1000;
    auto const remote_endpoint = start_server(
        [](auto, auto respond)
        {
            respond({200, {}, "fine"});
        },
        limits);
    for (auto const& test_case : cases)
    {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address(remote_endpoint.address),
                        remote_endpoint.port});
        boost::asio::write(socket, boost::asio::buffer(test_case.message));
        std::string answer;
        bool done = false;
        boost::asio::async_read_until(socket,
                                      boost::asio::dynamic_buffer(answer),
                                      "\r\n\r\n",
                                      [&](auto, auto)
                                      {
                                          done = true;
                                      });
        run_until(io,
                  [&]
                  {
                      return done;
                  });
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + test_case.status))
            << test_case.name << ": " << answer;
        EXPECT_NE(answer.find("Fuchsia-Code: " + test_case.code),
                  std::string::npos)
            << test_case.name << ": " << answer;
    }
    client http_client(io, {});
    auto& result = send(http_client, remote_endpoint, "x");
    run_until(io,
              [&]
              {
                  return !result.statuses.empty();
              });
    EXPECT_EQ(result.last.body, "fine");
}

TEST(http_endpoint, accepts_only_ip_addresses_with_a_port)
{
    using adapters::http::parse_endpoint;
    EXPECT_EQ(parse_endpoint("127.0.0.1:80"),
              (ports::endpoint{"127.0.0.1", 80}));
    EXPECT_EQ(parse_endpoint("[::1]:80"), (ports::endpoint{"::1", 80}));
    for (auto const* text :
         {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ""})
    {
        EXPECT_FALSE(parse_endpoint(text)) << text;
    }
}

TEST(http_token, comparison_checks_every_character)
{
    using adapters::http::equal_in_constant_time;
    EXPECT_TRUE(equal_in_constant_time("secret", "secret"));
    EXPECT_FALSE(equal_in_constant_time("secret", "secres"));
    EXPECT_FALSE(equal_in_constant_time("secret", "secretsecret"));
    EXPECT_FALSE(equal_in_constant_time("", "secret"));
    EXPECT_FALSE(equal_in_constant_time("secret", ""));
}
