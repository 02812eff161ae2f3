#include "adapters/http/server.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <optional>
#include <string>
#include <vector>

// A server and clients that send raw bytes.
namespace fuchsia::adapters::http
{

namespace
{

using namespace std::chrono_literals;
using core::common::clock;
using tcp = boost::asio::ip::tcp;

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;

struct raw_client
{
    explicit raw_client(boost::asio::io_context& io) : socket(io)
    {
    }

    tcp::socket socket;
    std::string sent;
    std::string received;
    bool closed = false; ///< Whether the server has closed the connection.
};

class server_limits_test : public testing::Test
{
protected:
    void start(server_limits limits)
    {
        http_server.emplace(
            io,
            limits,
            [this](request const& message, responder const& respond)
            {
                bodies.push_back(message.body);
                respond({200, {}, answer.empty() ? message.target : answer});
            });
        core::common::failure reason;
        where = http_server->listen({"127.0.0.1", 0}, reason).value();
    }

    raw_client& connect()
    {
        auto& result = clients.emplace_back(io);
        result.socket.connect(
            {boost::asio::ip::make_address(where.address), where.port});
        return result;
    }

    static void send(raw_client& from, std::string bytes)
    {
        from.sent = std::move(bytes);
        boost::asio::async_write(
            from.socket, boost::asio::buffer(from.sent), [](auto, auto) {});
    }

    static void read(raw_client& by)
    {
        boost::asio::async_read(by.socket,
                                boost::asio::dynamic_buffer(by.received),
                                [&by](auto, auto)
                                {
                                    by.closed = true;
                                });
    }

    raw_client& exchange(std::string bytes)
    {
        auto& result = connect();
        send(result, std::move(bytes));
        read(result);
        return result;
    }

    void run_until(std::function<bool()> const& done)
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
        ASSERT_TRUE(done());
    }

    void run_until_closed(raw_client& client)
    {
        run_until(
            [&client]
            {
                return client.closed;
            });
    }

    /// Moves the paused clock, and lets the timers see it.
    void advance(core::common::duration by)
    {
        clock::advance(by);
        bool seen = false;
        runtime::timer nudge(io);
        nudge.expires_after(0s);
        nudge.async_wait(
            [&seen](auto)
            {
                seen = true;
            });
        run_until(
            [&seen]
            {
                return seen;
            });
        io.poll();
    }

    boost::asio::io_context io;
    std::optional<server> http_server;
    ports::endpoint where;
    std::list<raw_client> clients;
    std::vector<std::string> bodies;
    std::string answer; ///< Body of each answer; the target if it is empty.
};

std::string chunked(std::string const& rest)
{
    return "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
           rest;
}

} // namespace

// Guards against a read buffer that grows with what stands between the chunks
// of a body or behind the last one.
TEST_F(server_limits_test,
       chunk_framing_and_trailers_are_bounded_as_headers_are)
{
    server_limits limits;
    limits.header_bytes = 1000;
    start(limits);
    std::string const filler(5000, '0');
    for (auto const& bytes : {chunked("0\r\na: " + filler),
                              chunked("1;a=" + filler),
                              chunked(filler)})
    {
        auto& client = exchange(bytes);
        run_until_closed(client);
        EXPECT_TRUE(client.received.starts_with("HTTP/1.1 431"))
            << client.received;
        EXPECT_NE(client.received.find("Fuchsia-Code: 1006 headers_too_large"),
                  std::string::npos)
            << client.received;
    }
    EXPECT_TRUE(bodies.empty());
}

// Guards against a bound that refuses chunked requests inside the limits.
TEST_F(server_limits_test, chunked_request_inside_the_limits_is_served)
{
    server_limits limits;
    limits.header_bytes = 1000;
    start(limits);
    std::string text = "POST /x HTTP/1.1\r\nConnection: close\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (int chunk = 0; chunk < 100; ++chunk)
    {
        text += "0064;name=value\r\n" + std::string(100, 'b') + "\r\n";
    }
    auto& client = exchange(text + "0\r\na: b\r\n\r\n");
    run_until_closed(client);
    EXPECT_TRUE(client.received.starts_with("HTTP/1.1 200"));
    ASSERT_EQ(bodies.size(), 1U);
    EXPECT_EQ(bodies[0], std::string(10'000, 'b'));
}

// Guards against requests whose end two readers would see at different places,
// and against other protocols that reach the handler.
TEST_F(server_limits_test, ambiguous_lengths_and_other_protocols_are_refused)
{
    start({});
    for (auto const* bytes :
         {"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
          "Content-Length: 3\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: "
          "4\r\n\r\nabcd",
          "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"})
    {
        auto& client = exchange(bytes);
        run_until_closed(client);
        EXPECT_TRUE(client.received.starts_with("HTTP/1.1 400"))
            << bytes << client.received;
    }
    EXPECT_TRUE(bodies.empty());
}

// Guards against an offer to upgrade, or requests sent before the answer to the
// first, that keep ordinary requests from being answered.
TEST_F(server_limits_test, upgrade_offers_and_pipelined_requests_are_answered)
{
    start({});
    auto& client = exchange("GET /1 HTTP/1.1\r\nConnection: Upgrade\r\n"
                            "Upgrade: h2c\r\n\r\n"
                            "GET /2 HTTP/1.1\r\n\r\n"
                            "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
    run_until_closed(client);
    EXPECT_EQ(bodies.size(), 3U);
    auto const second = client.received.find("/2");
    EXPECT_NE(second, std::string::npos) << client.received;
    EXPECT_LT(second, client.received.find("/3"));
}

// Guards against a body that is ignored because its client asked first.
TEST_F(server_limits_test, body_after_expect_continue_is_received)
{
    start({});
    auto& client = exchange("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                            "Connection: close\r\nContent-Length: 3\r\n\r\n");
    io.run_for(1ms);
    send(client, "abc");
    run_until_closed(client);
    EXPECT_EQ(bodies, std::vector<std::string>{"abc"});
}

// Guards against a client that keeps its connection for ever with a byte now
// and then: the limit holds for the whole request.
TEST_F(server_limits_test, slow_request_is_closed_after_the_idle_limit)
{
    clock::pause();
    start({});
    auto& client = exchange("GET /");
    for (int step = 0; step < 7 && !client.closed; ++step)
    {
        io.run_for(1ms);
        advance(13s);
        send(client, "a");
    }
    clock::resume();
    run_until_closed(client);
    EXPECT_TRUE(bodies.empty());
}

// Guards against a client that never reads its answer and so keeps it, and its
// connection, for ever.
TEST_F(server_limits_test, unread_answer_is_given_up_after_the_write_limit)
{
    clock::pause();
    answer = std::string(64 * 1024 * 1024, 'a');
    start({});
    auto& client = connect();
    send(client, "GET / HTTP/1.1\r\n\r\n");
    run_until(
        [this]
        {
            return http_server->waiting() == 1;
        });
    io.run_for(1ms);
    advance(29s);
    EXPECT_EQ(http_server->waiting(), 1U);
    advance(2s);
    clock::resume();
    run_until(
        [this]
        {
            return http_server->waiting() == 0;
        });
}

// Guards against input that the system holds for connections that the process
// hasn't read from or accepted: a thousand of them would fill a small machine.
TEST_F(server_limits_test, input_that_is_not_read_is_bounded)
{
    constexpr std::size_t max_unread_bytes = 64 * 1024;
    constexpr int send_buffer_bytes = 4 * 1024;
    constexpr int attempts = 2000;
    start({});
    auto& client = connect();
    client.socket.set_option(
        boost::asio::socket_base::send_buffer_size(send_buffer_bytes));
    client.socket.non_blocking(true);
    std::string const input(4096, 'a');
    std::size_t unread = 0;
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        boost::system::error_code error;
        unread += client.socket.write_some(boost::asio::buffer(input), error);
    }
    EXPECT_LE(unread, max_unread_bytes);
}

// Guards against an idle limit that ends while a request waits for its answer.
TEST_F(server_limits_test, request_that_is_handled_has_no_time_limit)
{
    clock::pause();
    responder respond;
    http_server.emplace(io,
                        server_limits(),
                        [&respond](request const&, responder const& given)
                        {
                            respond = given;
                        });
    core::common::failure reason;
    where = http_server->listen({"127.0.0.1", 0}, reason).value();
    auto& client = exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    run_until(
        [&respond]
        {
            return respond != nullptr;
        });
    advance(1h);
    respond({200, {}, "late"});
    run_until_closed(client);
    clock::resume();
    EXPECT_NE(client.received.find("late"), std::string::npos);
}

} // namespace fuchsia::adapters::http
