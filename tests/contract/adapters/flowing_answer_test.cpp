#include "adapters/http/client.hpp"
#include "adapters/runtime/acceptor.hpp"

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
        acceptor_.accept_next(
            [this](tcp::socket socket)
            {
                peer_.emplace(std::move(socket));
            });
        where_ = *where;
        client_.emplace(io_, adapters::http::client_settings{});
        call(timeout,
             reading_limit,
             [this](exchange_status status,
                    adapters::http::response const& answer)
             {
                 ended = status;
                 body_bytes = answer.body.size();
                 if (on_end)
                 {
                     on_end();
                 }
             });
    }

    void call(core::common::duration limit,
              core::common::duration reading_limit,
              adapters::http::client::handler handle)
    {
        adapters::http::client_call made;
        made.remote_endpoint = where_;
        made.message = {"GET", "/x", {}, "", {}};
        made.timeout = limit;
        made.late_read_limit = reading_limit;
        client_->send(std::move(made), std::move(handle));
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

    // Nothing arrives, and timers run.
    void idle(core::common::duration length)
    {
        auto const end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end)
        {
            io_.run_one_for(1ms);
        }
    }

    void send(std::string const& bytes)
    {
        boost::system::error_code ignored;
        asio::write(*peer_, asio::buffer(bytes), ignored);
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
    std::function<void()> on_end;
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

    asio::io_context io_;
    ports::endpoint where_;
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

// One lost packet, sent again after 200 ms, made a page begin from its start.
TEST_F(flowing_answer, is_read_on_behind_a_retransmission)
{
    constexpr std::size_t pieces = 40;
    constexpr auto retransmission = 250ms;
    ask(patience);
    begin_answer(pieces * piece_bytes);
    for (std::size_t sent = 0; sent < pieces; ++sent)
    {
        flow(piece_bytes);
        if (sent == pieces - 5)
        {
            idle(retransmission);
        }
    }
    wait_for_end();
    EXPECT_EQ(ended, exchange_status::answered);
}

// An answer that lies here whole was given up as this process had stood still
// when the limit for reading it passed.
TEST_F(flowing_answer, that_came_whole_during_a_stall_is_read)
{
    constexpr auto reading_limit = 300ms;
    constexpr std::size_t pieces = 20;
    ask(reading_limit);
    begin_answer((pieces + 1) * piece_bytes);
    for (std::size_t sent = 0; sent < pieces; ++sent)
    {
        flow(piece_bytes);
    }
    ASSERT_FALSE(ended.has_value());
    flow(piece_bytes);
    std::this_thread::sleep_for(2 * reading_limit);
    wait_for_end();
    EXPECT_EQ(ended, exchange_status::answered);
}

// After a stall the deadline of a call that had its answer ended the next one.
TEST_F(flowing_answer, and_its_deadline_after_a_stall_spare_the_next_call)
{
    ask(patience);
    begin_answer(2);
    send("ok");
    std::this_thread::sleep_for(2 * timeout);
    std::optional<exchange_status> next;
    on_end = [this, &next]
    {
        call(1h,
             1h,
             [&next](exchange_status status, auto const&)
             {
                 next = status;
             });
    };
    wait_for_end();
    EXPECT_EQ(ended, exchange_status::answered);
    idle(50ms);
    EXPECT_FALSE(next.has_value());
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
