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

// Far beyond what any test needs; only a hang reaches it.
constexpr auto patience = 20s;

void run_until(boost::asio::io_context& io, std::function<bool()> const& done)
{
    auto const end = std::chrono::steady_clock::now() + patience;
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

class http_test : public testing::Test
{
protected:
    ports::endpoint serve(adapters::http::request_handler handle,
                          adapters::http::server_limits limits = {})
    {
        served.emplace(io, limits, std::move(handle));
        core::common::failure reason;
        auto const where = served->listen({"127.0.0.1", 0}, reason);
        EXPECT_TRUE(where) << to_string(reason);
        return where.value_or(ports::endpoint{});
    }

    exchange_result& send(client& from,
                          ports::endpoint where,
                          std::string body,
                          core::common::duration timeout = 10s,
                          bool drain = false)
    {
        auto& result = results.emplace_back();
        adapters::http::client_call call;
        call.remote_endpoint = std::move(where);
        call.message = {"POST", "/x", {}, std::move(body), {}};
        call.timeout = timeout;
        call.drain = drain;
        from.send(
            std::move(call),
            [&result](exchange_status status, adapters::http::response answer)
            {
                result.statuses.push_back(status);
                result.last = std::move(answer);
            });
        return result;
    }

    boost::asio::io_context io;
    std::optional<server> served;
    std::list<exchange_result> results;
};

} // namespace

TEST_F(http_test, kept_connection_carries_whole_answers_in_turn)
{
    auto const where = serve(
        [](adapters::http::request const& request, auto respond)
        {
            respond(adapters::http::json_response(200, request.body));
        });
    client from(io, {});
    auto& first = send(from, where, "one");
    run_until(io,
              [&]
              {
                  return !first.statuses.empty();
              });
    auto& second = send(from, where, "two");
    run_until(io,
              [&]
              {
                  return !second.statuses.empty();
              });
    EXPECT_EQ(first.last.body, "one");
    EXPECT_EQ(second.last.body, "two");
}

// An upstream answers after its caller's deadline, on a connection that is
// kept. If the late answer stayed in the connection, the next caller would be
// given somebody else's bid.
TEST_F(http_test, late_answer_is_drained_and_never_given_to_the_next_call)
{
    adapters::http::responder held;
    auto const where = serve(
        [&](adapters::http::request const& request, auto respond)
        {
            if (request.body == "slow")
            {
                held = respond;
                return;
            }
            respond(adapters::http::json_response(200, request.body));
        });
    client from(io, {});
    auto& slow = send(from, where, "slow", 30ms, true);
    run_until(io,
              [&]
              {
                  return slow.statuses.size() == 1;
              });
    EXPECT_EQ(slow.statuses[0], exchange_status::timed_out);

    auto& other = send(from, where, "other");
    run_until(io,
              [&]
              {
                  return !other.statuses.empty();
              });
    EXPECT_EQ(other.last.body, "other");

    held(adapters::http::json_response(200, "late"));
    run_until(io,
              [&]
              {
                  return slow.statuses.size() == 2;
              });
    EXPECT_EQ(slow.statuses[1], exchange_status::drained);

    auto& next = send(from, where, "next");
    run_until(io,
              [&]
              {
                  return !next.statuses.empty();
              });
    EXPECT_EQ(next.last.body, "next");
}

// Nobody listens: the request provably never ran, and the caller may be told
// so.
TEST_F(http_test, refused_connection_is_not_sent)
{
    auto const where = serve([](auto, auto) {});
    served.reset();
    client from(io, {});
    auto& result = send(from, where, "x");
    run_until(io,
              [&]
              {
                  return !result.statuses.empty();
              });
    EXPECT_EQ(result.statuses[0], exchange_status::not_sent);
}

// The upstream dies with the request in its hands: it may have run, and the
// client must not send it again.
TEST_F(http_test, connection_closed_before_the_answer_is_lost)
{
    int received = 0;
    auto const where = serve(
        [&](auto, auto)
        {
            ++received;
            served->close();
        });
    client from(io, {});
    auto& result = send(from, where, "x");
    run_until(io,
              [&]
              {
                  return !result.statuses.empty();
              });
    EXPECT_EQ(result.statuses[0], exchange_status::lost);
    EXPECT_EQ(received, 1);
}

TEST_F(http_test, bad_messages_get_a_numbered_answer_and_the_server_lives)
{
    struct fault_case
    {
        std::string name;
        std::string bytes;
        std::string status;
        std::string code;
    };
    std::vector<fault_case> const cases{
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
    auto const where = serve(
        [](auto, auto respond)
        {
            respond({200, {}, "fine"});
        },
        limits);
    for (auto const& fault : cases)
    {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect(
            {boost::asio::ip::make_address(where.address), where.port});
        boost::asio::write(socket, boost::asio::buffer(fault.bytes));
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
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + fault.status))
            << fault.name << ": " << answer;
        EXPECT_NE(answer.find("Fuchsia-Code: " + fault.code), std::string::npos)
            << fault.name << ": " << answer;
    }
    client from(io, {});
    auto& result = send(from, where, "x");
    run_until(io,
              [&]
              {
                  return !result.statuses.empty();
              });
    EXPECT_EQ(result.last.body, "fine");
}

TEST(http_endpoint, takes_ip_numbers_only)
{
    using adapters::http::parse_endpoint;
    EXPECT_EQ(parse_endpoint("127.0.0.1:80"),
              (ports::endpoint{"127.0.0.1", 80}));
    EXPECT_EQ(parse_endpoint("[::1]:80"), (ports::endpoint{"::1", 80}));
    for (auto const* wrong :
         {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ""})
    {
        EXPECT_FALSE(parse_endpoint(wrong)) << wrong;
    }
}

TEST(http_token, comparison_needs_every_character)
{
    using adapters::http::equal_in_constant_time;
    EXPECT_TRUE(equal_in_constant_time("secret", "secret"));
    EXPECT_FALSE(equal_in_constant_time("secret", "secres"));
    EXPECT_FALSE(equal_in_constant_time("secret", "secretsecret"));
    EXPECT_FALSE(equal_in_constant_time("", "secret"));
    EXPECT_FALSE(equal_in_constant_time("secret", ""));
}
