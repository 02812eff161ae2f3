#include "adapters/http/client.hpp"
#include "adapters/runtime/acceptor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <vector>

using namespace fuchsia;
using namespace std::chrono_literals;
using ports::exchange_status;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Time limit of `exchange`, far longer than any test needs. It is reached only
// if a test hangs.
constexpr auto test_timeout = 20s;
constexpr std::size_t call_count = 6;

// HTTP server that answers on every connection until `stop_answering` is
// called. After that call it answers only on connections opened later.
class server
{
public:
    explicit server(asio::io_context& io) : acceptor_(io)
    {
        core::common::failure reason;
        auto const bound = acceptor_.listen({"127.0.0.1", 0}, reason);
        EXPECT_TRUE(bound) << to_string(reason);
        remote_endpoint = bound.value_or(ports::endpoint{});
        accept();
    }

    void stop_answering()
    {
        ++generation_;
    }

    ports::endpoint remote_endpoint;

private:
    struct connection
    {
        tcp::socket socket;
        std::string input;
        std::size_t generation = 0;
    };

    void accept()
    {
        acceptor_.accept_next(
            [this](tcp::socket socket)
            {
                connections_.push_back(std::make_unique<connection>(
                    connection{std::move(socket), "", generation_}));
                read(*connections_.back());
                accept();
            });
    }

    void read(connection& conn)
    {
        asio::async_read_until(
            conn.socket,
            asio::dynamic_buffer(conn.input),
            "\r\n\r\n",
            [this, &conn](boost::system::error_code error, std::size_t)
            {
                if (error || conn.generation != generation_)
                {
                    return;
                }
                conn.input.clear();
                static std::string const answer =
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                asio::async_write(
                    conn.socket,
                    asio::buffer(answer),
                    [this, &conn](boost::system::error_code failed, std::size_t)
                    {
                        if (!failed)
                        {
                            read(conn);
                        }
                    });
            });
    }

    adapters::runtime::acceptor acceptor_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::size_t generation_ = 0;
};

// Sends `count` concurrent calls, waits until all have ended and returns their
// statuses in the order of their ends.
std::vector<exchange_status> exchange(asio::io_context& io,
                                      adapters::http::client& http_client,
                                      ports::endpoint const& remote_endpoint,
                                      std::size_t count)
{
    std::vector<exchange_status> statuses;
    for (std::size_t number = 0; number < count; ++number)
    {
        adapters::http::client_call call;
        call.remote_endpoint = remote_endpoint;
        call.message = {"GET", "/x", {}, "", {}};
        call.timeout = 100ms;
        http_client.send(
            std::move(call),
            [&statuses](exchange_status status, adapters::http::response const&)
            {
                statuses.push_back(status);
            });
    }
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (statuses.size() < count && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    return statuses;
}

} // namespace

// When all persistent connections become unresponsive together, one timed-out
// call must close the idle ones. Otherwise each of them fails one more call.
TEST(silent_connections, one_timed_out_call_closes_all_idle_connections)
{
    asio::io_context io;
    server test_server(io);
    adapters::http::client_settings settings;
    settings.close_idle_on_timeout = true;
    adapters::http::client http_client(io, settings);
    auto const before =
        exchange(io, http_client, test_server.remote_endpoint, call_count);
    ASSERT_EQ(
        before,
        std::vector<exchange_status>(call_count, exchange_status::answered));
    test_server.stop_answering();
    std::size_t failed_calls = 0;
    while (failed_calls <= call_count &&
           exchange(io, http_client, test_server.remote_endpoint, 1).front() !=
               exchange_status::answered)
    {
        ++failed_calls;
    }
    EXPECT_EQ(failed_calls, 1U);
}
