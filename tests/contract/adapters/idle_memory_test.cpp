#include "adapters/http/client.hpp"
#include "adapters/runtime/acceptor.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <string>
#include <unistd.h>

// Memory of a client whose calls have ended.
using namespace fuchsia;
using namespace std::chrono_literals;
using ports::exchange_status;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;
constexpr std::size_t call_count = 32;
constexpr std::size_t request_bytes = std::size_t{2} << 20U;

// Server that answers its connections, each of which carries one request with a
// body of `request_bytes`, when it has read the last one.
class body_reader
{
public:
    explicit body_reader(asio::io_context& io) : acceptor_(io)
    {
        core::common::failure reason;
        auto const bound = acceptor_.listen({"127.0.0.1", 0}, reason);
        EXPECT_TRUE(bound) << to_string(reason);
        remote_endpoint = bound.value_or(ports::endpoint{});
        accept();
    }

    ports::endpoint remote_endpoint;
    std::size_t closed_connections = 0;

private:
    struct connection
    {
        explicit connection(tcp::socket accepted) : socket(std::move(accepted))
        {
        }

        tcp::socket socket;
        std::array<char, 16 * 1024> input{};
        std::size_t received = 0;
    };

    void accept()
    {
        acceptor_.accept_next(
            [this](tcp::socket socket)
            {
                read(connections_.emplace_back(std::move(socket)));
                accept();
            });
    }

    void read(connection& conn)
    {
        conn.socket.async_read_some(
            asio::buffer(conn.input),
            [this, &conn](boost::system::error_code error, std::size_t size)
            {
                if (error)
                {
                    ++closed_connections;
                    return;
                }
                bool const was_complete = conn.received > request_bytes;
                conn.received += size;
                if (!was_complete && conn.received > request_bytes)
                {
                    on_complete();
                }
                read(conn);
            });
    }

    // The body is the end of the request, but its header isn't measured, so a
    // few bytes may still be missing. They are read behind the answer.
    void on_complete()
    {
        if (++complete_requests_ < call_count)
        {
            return;
        }
        for (auto& conn : connections_)
        {
            asio::async_write(conn.socket,
                              asio::buffer(answer_),
                              [](boost::system::error_code, std::size_t) {});
        }
    }

    adapters::runtime::acceptor acceptor_;
    std::string const answer_ = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::list<connection> connections_;
    std::size_t complete_requests_ = 0;
};

// Returns the resident memory of this process.
std::size_t resident_bytes()
{
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void run_until(asio::io_context& io, std::function<bool()> const& done)
{
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (!done() && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    EXPECT_TRUE(done());
}

} // namespace

// Guards against idle connections that each keep the body of their last
// request.
TEST(idle_connections, keep_no_request_bodies)
{
    constexpr std::size_t max_kept_bytes = call_count * request_bytes / 3;
    asio::io_context io;
    body_reader server(io);
    adapters::http::client_settings settings;
    settings.idle_timeout = 1h;
    adapters::http::client http_client(io, settings);
    auto const before = resident_bytes();
    std::size_t answered_calls = 0;
    for (std::size_t count = 0; count < call_count; ++count)
    {
        adapters::http::client_call call;
        call.remote_endpoint = server.remote_endpoint;
        call.message = {"POST", "/x", {}, std::string(request_bytes, 'b'), {}};
        call.timeout = 10s;
        http_client.send(std::move(call),
                         [&answered_calls](exchange_status status,
                                           adapters::http::response const&)
                         {
                             answered_calls +=
                                 status == exchange_status::answered ? 1 : 0;
                         });
    }
    run_until(io,
              [&answered_calls]
              {
                  return answered_calls == call_count;
              });
    EXPECT_EQ(server.closed_connections, 0U);
    EXPECT_LT(resident_bytes(), before + max_kept_bytes);
}
