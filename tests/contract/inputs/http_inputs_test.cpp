#include "contract/inputs/input_mutator.hpp"

#include "adapters/callers/caller_headers.hpp"
#include "adapters/http/server.hpp"
#include "platform/kv_client.hpp"
#include "platform/submission_codec.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

// Mutated HTTP messages, sent in chunks over real connections.
namespace fuchsia::tests::contract::inputs
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using tcp = asio::ip::tcp;

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;
constexpr std::uint64_t cases = 400;
constexpr std::size_t batch_size = 20;
constexpr std::size_t max_body_bytes = 10'000;

// A connection that sends its bytes in chunks, shuts down sending, and reads
// until the server closes the connection.
struct sender : std::enable_shared_from_this<sender>
{
    sender(asio::io_context& io, ports::endpoint const& where, std::string data)
        : socket(io), bytes(std::move(data))
    {
        socket.connect({asio::ip::make_address(where.address), where.port});
        socket.set_option(tcp::no_delay(true));
    }

    void send(std::size_t from)
    {
        if (from >= bytes.size())
        {
            boost::system::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        auto const length = std::min(chunk_bytes, bytes.size() - from);
        asio::async_write(socket,
                          asio::buffer(bytes.data() + from, length),
                          [self = shared_from_this(), next = from + length](
                              boost::system::error_code error, std::size_t)
                          {
                              if (!error)
                              {
                                  self->send(next);
                              }
                          });
    }

    void read()
    {
        asio::async_read(
            socket,
            asio::dynamic_buffer(answer),
            [self = shared_from_this()](boost::system::error_code, std::size_t)
            {
                self->closed = true;
            });
    }

    tcp::socket socket;
    std::string bytes;
    std::string answer;
    std::size_t chunk_bytes = 1;
    bool closed = false;
};

std::vector<std::string> request_samples()
{
    std::string const body = R"({"taskSpec":"x","steps":[{"count":4}]})";
    return {"POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: nony24.example\r\n"
            "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
            "GET /q/ HTTP/1.1\r\nHost: a:80\r\n\r\nDELETE /q/1 HTTP/1.1\r\n"
            "Host: a\r\nFuchsialanding-Deadline-Ms: 3000\r\n\r\n",
            "POST /q/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            "\r\n5\r\n{\"ste\r\n3;x=y\r\nps\"\r\n0\r\nA: b\r\n\r\n",
            "GET / HTTP/1.0\r\n\r\n"};
}

// Returns how a request passed to the handler violates the guarantees of the
// server; empty if it is complete and within the limits.
std::string find_violation(adapters::http::request const& request)
{
    if (request.method.empty() || request.target.empty())
    {
        return "request without method or target";
    }
    return request.body.size() > max_body_bytes ? "body larger than its bound"
                                                : "";
}

} // namespace

// A client that sends arbitrary bytes in chunks of any size must neither leave
// a connection open nor crash the server.
TEST(http_inputs, mutated_requests_are_answered_or_closed)
{
    asio::io_context io;
    std::string violation;
    adapters::http::server_limits limits;
    limits.body_bytes = max_body_bytes;
    adapters::http::server http_server(
        io,
        limits,
        [&violation](adapters::http::request const& request, auto respond)
        {
            violation = violation.empty() ? find_violation(request) : violation;
            adapters::http::response answer;
            auto const result = platform::decode_submission(request, answer);
            respond(result ? adapters::http::json_response(200, "{}") : answer);
        });
    core::common::failure reason;
    auto const where = http_server.listen({"127.0.0.1", 0}, reason);
    ASSERT_TRUE(where) << to_string(reason);
    auto const samples = request_samples();
    std::vector<std::shared_ptr<sender>> connections;
    auto const all_connections_closed = [&connections]
    {
        return std::all_of(connections.begin(),
                           connections.end(),
                           [](auto const& connection)
                           {
                               return connection->closed;
                           });
    };
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        input_mutator mutator(seed);
        auto const connection = std::make_shared<sender>(
            io, *where, mutator.mutated(samples[seed % samples.size()]));
        // The chunk size ranges from one byte to the complete message.
        connection->chunk_bytes = seed % 5 == 0 ? 1 : 1 + seed * seed % 4000;
        connection->chunk_bytes = connection->bytes.size() > 1000
                                      ? connection->chunk_bytes + 1000
                                      : connection->chunk_bytes;
        connection->read();
        connection->send(0);
        connections.push_back(connection);
        if (connections.size() < batch_size && seed != cases)
        {
            continue;
        }
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!all_connections_closed() &&
               std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
        ASSERT_TRUE(all_connections_closed()) << "seed " << seed;
        ASSERT_EQ(violation, "") << "seed " << seed;
        connections.clear();
    }
    EXPECT_EQ(http_server.waiting(), 0U);
}

// Whatever bytes a response contains, the call ends exactly once, and no bytes
// of the response reach the next call.
TEST(http_inputs, mutated_responses_end_each_call_once)
{
    std::string const body = R"({"items":[],"hasMore":false,"atRevision":3})";
    std::vector<std::string> const samples{
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body,
        "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
        "0\r\n\r\n",
        "HTTP/1.1 503 No\r\nConnection: close\r\n\r\n"};
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    ports::endpoint const where{"127.0.0.1", acceptor.local_endpoint().port()};
    std::size_t completed_calls = 0;
    platform::kv_client kv(io,
                           where,
                           [&completed_calls](ports::kv_reply const&)
                           {
                               ++completed_calls;
                           });
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        input_mutator mutator(seed);
        auto const answer = mutator.mutated(samples[seed % samples.size()]);
        std::string request;
        tcp::socket socket(io);
        acceptor.async_accept(
            socket,
            [&](boost::system::error_code)
            {
                asio::async_read_until(
                    socket,
                    asio::dynamic_buffer(request),
                    "\r\n\r\n",
                    [&](boost::system::error_code, std::size_t)
                    {
                        boost::system::error_code ignored;
                        asio::write(socket, asio::buffer(answer), ignored);
                        socket.close(ignored);
                    });
            });
        io.restart();
        kv.send({seed, ports::kv_range{"pool/", ""}, 10s});
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (completed_calls < seed && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
        ASSERT_EQ(completed_calls, seed)
            << testing::PrintToString(answer.substr(0, 300));
        boost::system::error_code ignored;
        acceptor.cancel(ignored);
        socket.close(ignored);
        io.poll();
        ASSERT_EQ(completed_calls, seed);
    }
}

// The headers of a caller are either accepted within their limits or refused
// with the name of the header.
TEST(http_inputs, mutated_caller_headers_are_refused_by_name)
{
    std::vector<ports::header> const valid_headers{
        {"Fuchsia-Customer", "c"},
        {"Fuchsia-Class", "batch"},
        {"Fuchsia-Deadline-Ms", "3000"},
        {"Idempotency-Key", "k-1"},
        {"Fuchsia-Attempt", "2"}};
    for (std::uint64_t seed = 1; seed <= 10 * cases; ++seed)
    {
        input_mutator mutator(seed);
        auto headers = valid_headers;
        auto& chosen = headers[seed % headers.size()];
        chosen.value = mutator.mutated(chosen.value);
        adapters::http::request message{"POST", "/x", headers, "", ""};
        core::common::failure reason;
        auto const result =
            adapters::callers::parse_caller_request(message, reason);
        if (!result)
        {
            ASSERT_FALSE(reason.where.empty()) << seed;
            continue;
        }
        ASSERT_TRUE(result->deadline >= 1ms && result->deadline <= 1h) << seed;
        ASSERT_TRUE(result->attempt >= 1 && result->attempt <= 1'000'000)
            << seed;
        ASSERT_FALSE(result->customer.empty()) << seed;
    }
}

} // namespace fuchsia::tests::contract::inputs
