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

// Bytes that are hardly HTTP, in pieces, on real connections.
namespace fuchsia::tests::contract::inputs
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using tcp = asio::ip::tcp;

// Far beyond what any test needs; only a hang reaches it.
constexpr auto patience = 20s;
constexpr std::uint64_t cases = 400;
constexpr std::size_t at_once = 20;
constexpr std::size_t most_of_a_body = 10'000;

// One connection: sends its bytes piece by piece, then nothing more, and reads
// until the server closes.
struct sender : std::enable_shared_from_this<sender>
{
    sender(asio::io_context& io, ports::endpoint const& where, std::string what)
        : socket(io), bytes(std::move(what))
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
        auto const length = std::min(piece, bytes.size() - from);
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
    std::size_t piece = 1;
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

// A request that reached the handler is whole and within the bounds.
std::string fault_of(adapters::http::request const& taken)
{
    if (taken.method.empty() || taken.target.empty())
    {
        return "a request without method or target";
    }
    return taken.body.size() > most_of_a_body ? "a body beyond its bound" : "";
}

} // namespace

// A client that sends anything at all, in pieces of any size, keeps no
// connection waiting and ends no process.
TEST(http_inputs, odd_bytes_are_answered_or_closed)
{
    asio::io_context io;
    std::string fault;
    adapters::http::server_limits limits;
    limits.body_bytes = most_of_a_body;
    adapters::http::server served(
        io,
        limits,
        [&fault](adapters::http::request const& taken, auto respond)
        {
            fault = fault.empty() ? fault_of(taken) : fault;
            adapters::http::response answer;
            auto const made = platform::decode_submission(taken, answer);
            respond(made ? adapters::http::json_response(200, "{}") : answer);
        });
    core::common::failure reason;
    auto const where = served.listen({"127.0.0.1", 0}, reason);
    ASSERT_TRUE(where) << to_string(reason);
    auto const samples = request_samples();
    std::vector<std::shared_ptr<sender>> open;
    auto const all_closed = [&open]
    {
        return std::all_of(open.begin(),
                           open.end(),
                           [](auto const& each)
                           {
                               return each->closed;
                           });
    };
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        input_mutator mutator(seed);
        auto const made = std::make_shared<sender>(
            io, *where, mutator.mutated(samples[seed % samples.size()]));
        // From one byte to all at once.
        made->piece = seed % 5 == 0 ? 1 : 1 + seed * seed % 4000;
        made->piece =
            made->bytes.size() > 1000 ? made->piece + 1000 : made->piece;
        made->read();
        made->send(0);
        open.push_back(made);
        if (open.size() < at_once && seed != cases)
        {
            continue;
        }
        auto const end = std::chrono::steady_clock::now() + patience;
        while (!all_closed() && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
        ASSERT_TRUE(all_closed()) << "by seed " << seed;
        ASSERT_EQ(fault, "") << "by seed " << seed;
        open.clear();
    }
    EXPECT_EQ(served.waiting(), 0U);
}

// Whatever an answer is, the call ends once, and its connection brings nothing
// of it to the next one.
TEST(http_inputs, odd_answers_end_each_call_once)
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
    tcp::acceptor accepting(io, {asio::ip::make_address("127.0.0.1"), 0});
    ports::endpoint const where{"127.0.0.1", accepting.local_endpoint().port()};
    std::size_t ended = 0;
    platform::kv_client asked(io,
                              where,
                              [&ended](ports::kv_reply const&)
                              {
                                  ++ended;
                              });
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        input_mutator mutator(seed);
        auto const answer = mutator.mutated(samples[seed % samples.size()]);
        std::string taken;
        tcp::socket socket(io);
        accepting.async_accept(
            socket,
            [&](boost::system::error_code)
            {
                asio::async_read_until(
                    socket,
                    asio::dynamic_buffer(taken),
                    "\r\n\r\n",
                    [&](boost::system::error_code, std::size_t)
                    {
                        boost::system::error_code ignored;
                        asio::write(socket, asio::buffer(answer), ignored);
                        socket.close(ignored);
                    });
            });
        io.restart();
        asked.send({seed, ports::kv_range{"pool/", ""}, 10s});
        auto const end = std::chrono::steady_clock::now() + patience;
        while (ended < seed && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
        ASSERT_EQ(ended, seed) << testing::PrintToString(answer.substr(0, 300));
        boost::system::error_code ignored;
        accepting.cancel(ignored);
        socket.close(ignored);
        io.poll();
        ASSERT_EQ(ended, seed);
    }
}

// A caller's headers are taken within their bounds or refused by name.
TEST(http_inputs, odd_headers_of_callers_are_refused_by_name)
{
    std::vector<ports::header> const good{{"Fuchsia-Customer", "c"},
                                          {"Fuchsia-Class", "batch"},
                                          {"Fuchsia-Deadline-Ms", "3000"},
                                          {"Idempotency-Key", "k-1"},
                                          {"Fuchsia-Attempt", "2"}};
    for (std::uint64_t seed = 1; seed <= 10 * cases; ++seed)
    {
        input_mutator mutator(seed);
        auto headers = good;
        auto& chosen = headers[seed % headers.size()];
        chosen.value = mutator.mutated(chosen.value);
        adapters::http::request message{"POST", "/x", headers, "", ""};
        core::common::failure reason;
        auto const made =
            adapters::callers::parse_caller_request(message, reason);
        if (!made)
        {
            ASSERT_FALSE(reason.where.empty()) << seed;
            continue;
        }
        ASSERT_TRUE(made->deadline >= 1ms && made->deadline <= 1h) << seed;
        ASSERT_TRUE(made->attempt >= 1 && made->attempt <= 1'000'000) << seed;
        ASSERT_FALSE(made->customer.empty()) << seed;
    }
}

} // namespace fuchsia::tests::contract::inputs
