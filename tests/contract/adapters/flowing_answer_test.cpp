#include "adapters/http/client.hpp"
#include "adapters/runtime/listen.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <thread>

// A large answer over a thin link: it keeps coming, and is far from whole when
// the call's time limit passes.
using namespace fuchsia;
using namespace std::chrono_literals;
using ports::exchange_status;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t piece_bytes = 32 * 1024;
constexpr auto piece_interval = 20ms;
constexpr auto timeout = 200ms;
// Far beyond what any test needs; only a hang reaches it.
constexpr auto patience = 20s;

class flowing_answer : public testing::Test
{
protected:
    void ask(core::common::duration reading_limit)
    {
        core::common::failure reason;
        auto const where = acceptor_.listen({"127.0.0.1", 0}, reason);
        ASSERT_TRUE(where) << to_string(reason);
        acceptor_.next(
            [this](tcp::socket socket)
            {
                peer_.emplace(std::move(socket));
            });
        adapters::http::client_settings settings;
        settings.reading_limit = reading_limit;
        client_.emplace(io_, settings);
        adapters::http::client_call call;
        call.where = *where;
        call.message = {"GET", "/x", {}, "", {}};
        call.timeout = timeout;
        client_->send(std::move(call),
                      [this](exchange_status status,
                             adapters::http::response const& answer)
                      {
                          ended = status;
                          body_bytes = answer.body.size();
                      });
    }

    // Takes the request in and says how long its answer is.
    void begin_answer(std::size_t length)
    {
        run_until(
            [this]
            {
                return peer_.has_value();
            });
        std::string in;
        bool asked = false;
        asio::async_read_until(*peer_,
                               asio::dynamic_buffer(in),
                               "\r\n\r\n",
                               [&asked](auto error, auto)
                               {
                                   asked = !error;
                               });
        run_until(
            [&asked]
            {
                return asked;
            });
        send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
             "\r\n\r\n");
    }

    // The next piece has arrived before the client's timers are looked at, so
    // that no stall of this process looks like one of the server.
    void flow(std::size_t bytes)
    {
        send(std::string(bytes, 'x'));
        io_.poll();
        std::this_thread::sleep_for(piece_interval);
    }

    void wait_for_end()
    {
        run_until(
            [this]
            {
                return ended.has_value();
            });
    }

    std::optional<exchange_status> ended;
    std::size_t body_bytes = 0;

private:
    void run_until(std::function<bool()> const& done)
    {
        auto const end = std::chrono::steady_clock::now() + patience;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            io_.run_one_for(1ms);
        }
        ASSERT_TRUE(done());
    }

    void send(std::string const& bytes)
    {
        boost::system::error_code ignored;
        asio::write(*peer_, asio::buffer(bytes), ignored);
    }

    asio::io_context io_;
    adapters::runtime::acceptor acceptor_{io_};
    std::optional<tcp::socket> peer_;
    std::optional<adapters::http::client> client_;
};

} // namespace

// A page that took longer than its time limit was thrown away and asked for
// again without end, which filled the link and told the instance nothing.
TEST_F(flowing_answer, is_read_to_its_end_beyond_the_time_limit)
{
    constexpr std::size_t pieces = 100;
    ask(patience);
    begin_answer(pieces * piece_bytes);
    for (std::size_t sent = 0; sent < pieces; ++sent)
    {
        flow(piece_bytes);
    }
    wait_for_end();
    EXPECT_EQ(ended, exchange_status::answered);
    EXPECT_EQ(body_bytes, pieces * piece_bytes);
}

// One that falls silent on its way is given up, however long it might be read.
TEST_F(flowing_answer, is_given_up_once_it_falls_silent)
{
    ask(1h);
    begin_answer(100 * piece_bytes);
    for (std::size_t sent = 0; sent < 20; ++sent)
    {
        flow(piece_bytes);
    }
    EXPECT_FALSE(ended.has_value());
    wait_for_end();
    EXPECT_EQ(ended, exchange_status::timed_out);
}

// Nor may a server hold a call for ever by sending a little now and then.
TEST_F(flowing_answer, is_given_up_at_the_reading_limit)
{
    constexpr auto reading_limit = 300ms;
    ask(reading_limit);
    begin_answer(100 * piece_bytes);
    auto const end = std::chrono::steady_clock::now() + patience;
    while (!ended && std::chrono::steady_clock::now() < end)
    {
        flow(1);
    }
    EXPECT_EQ(ended, exchange_status::timed_out);
}
