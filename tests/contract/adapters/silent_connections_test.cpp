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

// Far beyond what any test needs; only a hang reaches it.
constexpr auto patience = 20s;
constexpr std::size_t at_once = 6;

// Answers on every connection until it falls silent on those it has; on newer
// ones it goes on answering.
class server
{
public:
    explicit server(asio::io_context& io) : acceptor_(io)
    {
        core::common::failure reason;
        auto const bound = acceptor_.listen({"127.0.0.1", 0}, reason);
        EXPECT_TRUE(bound) << to_string(reason);
        where = bound.value_or(ports::endpoint{});
        accept();
    }

    void fall_silent()
    {
        ++generation_;
    }

    ports::endpoint where;

private:
    struct connection
    {
        tcp::socket socket;
        std::string in;
        std::size_t generation = 0;
    };

    void accept()
    {
        acceptor_.accept_next(
            [this](tcp::socket socket)
            {
                open_.push_back(std::make_unique<connection>(
                    connection{std::move(socket), "", generation_}));
                read(*open_.back());
                accept();
            });
    }

    void read(connection& from)
    {
        asio::async_read_until(
            from.socket,
            asio::dynamic_buffer(from.in),
            "\r\n\r\n",
            [this, &from](boost::system::error_code error, std::size_t)
            {
                if (error || from.generation != generation_)
                {
                    return;
                }
                from.in.clear();
                static std::string const answer =
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                asio::async_write(
                    from.socket,
                    asio::buffer(answer),
                    [this, &from](boost::system::error_code failed, std::size_t)
                    {
                        if (!failed)
                        {
                            read(from);
                        }
                    });
            });
    }

    adapters::runtime::acceptor acceptor_;
    std::vector<std::unique_ptr<connection>> open_;
    std::size_t generation_ = 0;
};

// Sends `count` calls at once and waits for all of their ends.
std::vector<exchange_status> exchange(asio::io_context& io,
                                      adapters::http::client& from,
                                      ports::endpoint const& where,
                                      std::size_t count)
{
    std::vector<exchange_status> ends;
    for (std::size_t number = 0; number < count; ++number)
    {
        adapters::http::client_call call;
        call.remote_endpoint = where;
        call.message = {"GET", "/x", {}, "", {}};
        call.timeout = 100ms;
        from.send(
            std::move(call),
            [&ends](exchange_status status, adapters::http::response const&)
            {
                ends.push_back(status);
            });
    }
    auto const end = std::chrono::steady_clock::now() + patience;
    while (ends.size() < count && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    return ends;
}

} // namespace

// Kept connections fell silent together, and each of them cost one more call.
TEST(silent_connections, one_lost_call_is_enough_to_leave_them_all)
{
    asio::io_context io;
    server served(io);
    adapters::http::client_settings settings;
    settings.close_idle_on_timeout = true;
    adapters::http::client from(io, settings);
    auto const before = exchange(io, from, served.where, at_once);
    ASSERT_EQ(before,
              std::vector<exchange_status>(at_once, exchange_status::answered));
    served.fall_silent();
    std::size_t lost = 0;
    while (lost <= at_once && exchange(io, from, served.where, 1).front() !=
                                  exchange_status::answered)
    {
        ++lost;
    }
    EXPECT_EQ(lost, 1U);
}
