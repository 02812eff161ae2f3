#include "adapters/http/client.hpp"
#include "adapters/runtime/acceptor.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

// Answers of a server that doesn't keep to HTTP, or to any size.
using namespace fuchsia;
using namespace std::chrono_literals;
using ports::exchange_status;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;
constexpr auto call_timeout = 10s;

constexpr std::uint64_t body_limit = 256 * 1024;
constexpr std::size_t header_limit = 16 * 1024;
// Size at which the server stops sending.
constexpr std::size_t max_sent_bytes = std::size_t{64} << 20U;
// Maximum number of bytes that the client may take: its limits and what the
// buffers of both sockets hold beside them.
constexpr std::size_t max_taken_bytes = std::size_t{16} << 20U;
constexpr int send_buffer_bytes = 64 * 1024;
constexpr std::size_t write_bytes = 16 * 1024;

struct answer_script
{
    std::string head;
    std::string block; ///< Sent again and again behind `head`, unless empty.
};

std::string const sound_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
std::string const chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Server that answers the requests with the scripts in their order, and each
// request after the last script with `sound_answer`.
class raw_server
{
public:
    raw_server(asio::io_context& io, std::deque<answer_script> scripts)
        : acceptor_(io), scripts_(std::move(scripts))
    {
        core::common::failure reason;
        auto const bound = acceptor_.listen({"127.0.0.1", 0}, reason);
        EXPECT_TRUE(bound) << to_string(reason);
        remote_endpoint = bound.value_or(ports::endpoint{});
        accept();
    }

    // Sends `bytes` on the first connection.
    void send_on_first(std::string bytes)
    {
        auto& conn = connections_.front();
        conn.block.clear();
        conn.output = std::move(bytes);
        write(conn);
    }

    ports::endpoint remote_endpoint;
    /// Whether requests on the first connection are answered by scripts only.
    bool first_is_silent = false;
    std::size_t sent_bytes = 0;
    std::size_t connections = 0;
    std::size_t closed_connections = 0;

private:
    struct connection
    {
        explicit connection(tcp::socket accepted) : socket(std::move(accepted))
        {
        }

        tcp::socket socket;
        std::string input;
        std::string output;
        std::string block;
        bool closed = false;
    };

    void accept()
    {
        acceptor_.accept_next(
            [this](tcp::socket socket)
            {
                boost::system::error_code ignored;
                socket.set_option(
                    asio::socket_base::send_buffer_size(send_buffer_bytes),
                    ignored);
                ++connections;
                connections_.emplace_back(std::move(socket));
                read(connections_.back());
                accept();
            });
    }

    void read(connection& conn)
    {
        asio::async_read_until(
            conn.socket,
            asio::dynamic_buffer(conn.input),
            "\r\n\r\n",
            [this, &conn](boost::system::error_code error, std::size_t size)
            {
                if (error)
                {
                    note_close(conn);
                    return;
                }
                conn.input.erase(0, size);
                start_answer(conn);
                read(conn);
            });
    }

    void start_answer(connection& conn)
    {
        answer_script script{sound_answer, ""};
        if (scripts_.empty() && first_is_silent &&
            &conn == &connections_.front())
        {
            return;
        }
        if (!scripts_.empty())
        {
            script = std::move(scripts_.front());
            scripts_.pop_front();
        }
        conn.block.clear();
        while (!script.block.empty() && conn.block.size() < write_bytes)
        {
            conn.block += script.block;
        }
        conn.output = script.head.empty() ? conn.block : script.head;
        write(conn);
    }

    void write(connection& conn)
    {
        asio::async_write(
            conn.socket,
            asio::buffer(conn.output),
            [this, &conn](boost::system::error_code error, std::size_t size)
            {
                sent_bytes += size;
                if (error)
                {
                    note_close(conn);
                    return;
                }
                if (!conn.block.empty() && sent_bytes < max_sent_bytes)
                {
                    conn.output = conn.block;
                    write(conn);
                }
            });
    }

    void note_close(connection& conn)
    {
        closed_connections += conn.closed ? 0 : 1;
        conn.closed = true;
    }

    adapters::runtime::acceptor acceptor_;
    std::deque<answer_script> scripts_;
    std::list<connection> connections_;
};

struct call_end
{
    exchange_status status = exchange_status::not_sent;
    adapters::http::response answer;
};

class answer_reader : public testing::Test
{
protected:
    void start(std::deque<answer_script> scripts,
               adapters::http::client_settings settings = {},
               std::uint32_t connections = 1)
    {
        // With one connection, the next call fails if the last one isn't
        // closed.
        settings.connections_per_endpoint = connections;
        settings.idle_timeout = 1h;
        settings.body_bytes = body_limit;
        settings.header_bytes = header_limit;
        server = &servers.emplace_back(io, std::move(scripts));
        http_client.emplace(io, settings);
    }

    std::optional<call_end> call(std::string const& method = "GET")
    {
        std::optional<call_end> result;
        send(result, method);
        run_until(
            [&result]
            {
                return result.has_value();
            });
        return result;
    }

    void send(std::optional<call_end>& result, std::string const& method)
    {
        adapters::http::client_call request;
        request.remote_endpoint = server->remote_endpoint;
        request.message = {method, "/x", {}, "", {}};
        request.timeout = call_timeout;
        http_client->send(
            std::move(request),
            [&result](exchange_status status, adapters::http::response answer)
            {
                result = {status, std::move(answer)};
            });
    }

    void run_until(std::function<bool()> const& done)
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
        EXPECT_TRUE(done());
    }

    // Expects that the connection of the last call is closed and that the next
    // call is answered.
    void expect_closed_and_next_answered()
    {
        run_until(
            [this]
            {
                return server->closed_connections == 1;
            });
        EXPECT_LT(server->sent_bytes, max_taken_bytes);
        auto const next = call();
        ASSERT_TRUE(next);
        EXPECT_EQ(next->status, exchange_status::answered);
        EXPECT_EQ(next->answer.body, "ok");
    }

    asio::io_context io;
    // A server lives to the end of the test: operations of its connections may
    // be pending.
    std::list<raw_server> servers;
    raw_server* server = nullptr;
    std::optional<adapters::http::client> http_client;
};

struct endless_answer
{
    std::string name;
    answer_script script;
    exchange_status status = exchange_status::too_large;
};

std::ostream& operator<<(std::ostream& out, endless_answer const& value)
{
    return out << value.name;
}

class endless_answers : public answer_reader,
                        public testing::WithParamInterface<endless_answer>
{
};

std::string chunk_of(std::size_t size, std::string const& extension = "")
{
    std::string hex;
    for (auto rest = size; rest != 0; rest /= 16)
    {
        hex.insert(hex.begin(), "0123456789abcdef"[rest % 16]);
    }
    return hex + extension + "\r\n" + std::string(size, 'b') + "\r\n";
}

std::vector<endless_answer> endless_answer_table()
{
    using enum exchange_status;
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    return {
        {"trailer_fields", {chunked_head + "2\r\nok\r\n0\r\n", "A: b\r\n"}},
        {"trailer_field", {chunked_head + "2\r\nok\r\n0\r\nA: ", "b"}},
        {"chunk_extension", {chunked_head + "2;", "a"}},
        {"last_chunk_extension", {chunked_head + "0;", "a"}},
        {"chunk_size_zeros", {chunked_head, "0"}},
        {"header_fields", {ok, "A: b\r\n"}},
        {"header_field", {ok + "A: ", "b"}},
        {"reason_phrase", {"HTTP/1.1 200 ", "b"}},
        {"announced_body", {ok + "Content-Length: 99999999999\r\n\r\n", "b"}},
        {"chunked_body", {chunked_head, chunk_of(4096)}},
        {"announced_chunk", {chunked_head + "fffffffff\r\n", "b"}},
        {"body_until_close", {ok + "\r\n", "b"}},
        {"interim_answers", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
        {"garbage", {"", "x"}, lost},
        {"bytes_after_the_answer", {sound_answer, "b"}, answered},
    };
}

} // namespace

// Guards against an answer without end that the client keeps in memory.
TEST_P(endless_answers, are_read_up_to_a_limit)
{
    start({GetParam().script});
    auto const end = call();
    ASSERT_TRUE(end);
    EXPECT_EQ(end->status, GetParam().status);
    expect_closed_and_next_answered();
}

INSTANTIATE_TEST_SUITE_P(http_client,
                         endless_answers,
                         testing::ValuesIn(endless_answer_table()),
                         [](auto const& info)
                         {
                             return info.param.name;
                         });

// Guards against a limit that sound answers meet.
TEST_F(answer_reader, sound_answers_stay_below_the_limits)
{
    auto const length = static_cast<std::size_t>(body_limit);
    std::string const long_field = std::string(15 * 1024, 'v');
    std::string const body(length, 'b');
    std::string single_byte_chunks = chunked_head;
    for (std::size_t count = 0; count < length; ++count)
    {
        single_byte_chunks += "1\r\nb\r\n";
    }
    std::string many_trailers;
    for (std::size_t count = 0; count < 100; ++count)
    {
        many_trailers +=
            "T" + std::to_string(count) + ": " + std::string(100, 't') + "\r\n";
    }
    auto const with_length = "Content-Length: " + std::to_string(length) +
                             "\r\nA: " + long_field + "\r\n\r\n" + body;
    std::vector<std::string> const answers{
        "HTTP/1.1 200 OK\r\n" + with_length,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: " + long_field +
            "\r\n\r\n" + chunk_of(length) + "0\r\n" + many_trailers + "\r\n",
        single_byte_chunks + "0\r\n\r\n",
        chunked_head + chunk_of(length, ";a=" + std::string(1000, 'e')) +
            "0;a=" + std::string(1000, 'e') + "\r\n" + many_trailers + "\r\n",
    };
    for (std::size_t const read_bytes : {512, 32 * 1024})
    {
        adapters::http::client_settings settings;
        settings.read_bytes = read_bytes;
        std::deque<answer_script> scripts;
        for (auto const& answer : answers)
        {
            scripts.push_back({answer, ""});
        }
        http_client.reset();
        start(std::move(scripts), settings);
        for (std::size_t index = 0; index < answers.size(); ++index)
        {
            auto const end = call();
            ASSERT_TRUE(end);
            EXPECT_EQ(end->status, exchange_status::answered) << index;
            EXPECT_EQ(end->answer.body.size(), length) << index;
        }
        EXPECT_EQ(server->connections, 1U);
    }
}

// Guards against an interim answer that is taken for the final one.
TEST_F(answer_reader, interim_answers_precede_the_final_answer)
{
    start({{"HTTP/1.1 100 Continue\r\n\r\n"
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                sound_answer,
            ""}});
    for (std::size_t count = 0; count < 2; ++count)
    {
        auto const end = call();
        ASSERT_TRUE(end);
        EXPECT_EQ(end->status, exchange_status::answered);
        EXPECT_EQ(end->answer.status, 200);
        EXPECT_EQ(end->answer.body, "ok");
        EXPECT_FALSE(end->answer.header("Link"));
    }
    EXPECT_EQ(server->connections, 1U);
}

// Guards against a caller who is given the answer to the call before: that call
// had ended with its interim answer, and its connection was used again.
TEST_F(answer_reader, answer_behind_an_interim_one_reaches_its_own_call)
{
    start({{"HTTP/1.1 100 Continue\r\n\r\n", ""}}, {}, 2);
    server->first_is_silent = true;
    std::optional<call_end> first;
    send(first, "GET");
    run_until(
        [this]
        {
            return server->sent_bytes != 0;
        });
    // Enough for the client to read it; if not, the test can only pass.
    io.run_for(100ms);
    std::optional<call_end> second;
    send(second, "GET");
    io.run_for(100ms);
    server->send_on_first("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    run_until(
        [&]
        {
            return first && second;
        });
    ASSERT_TRUE(first && second);
    EXPECT_EQ(first->answer.body, "first");
    EXPECT_EQ(second->answer.body, "ok");
}

// Guards against a switch of protocols that was never asked for: what follows
// is no answer in HTTP.
TEST_F(answer_reader, switch_of_protocols_loses_the_answer)
{
    start({{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", ""}});
    auto const end = call();
    ASSERT_TRUE(end);
    EXPECT_EQ(end->status, exchange_status::lost);
    expect_closed_and_next_answered();
}

// Guards against a wait for the body of an answer to HEAD. Its length is that
// of the answer to GET.
TEST_F(answer_reader, answer_to_head_has_no_body)
{
    start({{"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", ""}});
    auto const end = call("HEAD");
    ASSERT_TRUE(end);
    EXPECT_EQ(end->status, exchange_status::answered);
    EXPECT_EQ(end->answer.status, 200);
}

// Guards against a connection that is used again although a body may follow
// where none belongs, or although the answer has two lengths. The bytes in
// doubt would be read as the answer to the next call.
TEST_F(answer_reader, answers_of_doubtful_length_end_their_connection)
{
    std::string const length = "Content-Length: 2\r\n";
    std::string const chunked = "Transfer-Encoding: chunked\r\n";
    // To HEAD, some servers send the body.
    std::string const head = "HEAD";
    std::string const get = "GET";
    std::vector<std::tuple<std::string, std::string, exchange_status>> const
        answers{
            {head,
             "HTTP/1.1 200 OK\r\n" + length + "\r\n",
             exchange_status::answered},
            {head,
             "HTTP/1.1 200 OK\r\n" + chunked + "\r\n",
             exchange_status::answered},
            {get,
             "HTTP/1.1 204 No Content\r\n" + length + "\r\n",
             exchange_status::answered},
            {get,
             "HTTP/1.1 204 No Content\r\n" + chunked + "\r\n",
             exchange_status::answered},
            {get,
             "HTTP/1.1 204 No Content\r\n\r\nok",
             exchange_status::answered},
            {get,
             "HTTP/1.1 200 OK\r\n" + length + chunked + "\r\n0\r\n\r\n",
             exchange_status::lost},
            {get,
             "HTTP/1.1 200 OK\r\n" + chunked + length + "\r\n0\r\n\r\n",
             exchange_status::lost},
            {get,
             "HTTP/1.1 200 OK\r\n" + length + "Content-Length: 3\r\n\r\nok",
             exchange_status::lost},
        };
    for (auto const& [method, answer, status] : answers)
    {
        SCOPED_TRACE(method);
        SCOPED_TRACE(answer);
        http_client.reset();
        start({{answer, ""}});
        auto const end = call(method);
        ASSERT_TRUE(end);
        EXPECT_EQ(end->status, status);
        expect_closed_and_next_answered();
    }
}
