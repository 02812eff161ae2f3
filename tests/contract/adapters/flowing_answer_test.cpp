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

// A large response over a slow link: data keeps arriving, but most of the
// response is missing when the call times out.
using namespace fuchsia;
using namespace std::chrono_literals;
using ports::exchange_status;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t chunk_bytes = 32 * 1024;
constexpr auto chunk_interval = 20ms;
constexpr auto timeout = 200ms;
// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;

class slow_response : public testing::Test
{
protected:
    void start_call(core::common::duration late_read_limit)
    {
        core::common::failure reason;
        auto const bound = acceptor_.listen({"127.0.0.1", 0}, reason);
        ASSERT_TRUE(bound) << to_string(reason);
        acceptor_.accept_next(
            [this](tcp::socket socket)
            {
                peer_.emplace(std::move(socket));
            });
        server_endpoint_ = *bound;
        client_.emplace(io_, adapters::http::client_settings{});
        call(timeout,
             late_read_limit,
             [this](exchange_status status,
                    adapters::http::response const& answer)
             {
                 final_status = status;
                 body_bytes = answer.body.size();
                 if (on_end)
                 {
                     on_end();
                 }
             });
    }

    void call(core::common::duration limit,
              core::common::duration late_read_limit,
              adapters::http::client::handler handle)
    {
        adapters::http::client_call request;
        request.remote_endpoint = server_endpoint_;
        request.message = {"GET", "/x", {}, "", {}};
        request.timeout = limit;
        request.late_read_limit = late_read_limit;
        client_->send(std::move(request), std::move(handle));
    }

    // Reads the request and sends the response header with the body length.
    void start_response(std::size_t length)
    {
        run_until(
            [this]
            {
                return peer_.has_value();
            });
        std::string received;
        bool request_received = false;
        asio::async_read_until(*peer_,
                               asio::dynamic_buffer(received),
                               "\r\n\r\n",
                               [&request_received](auto error, auto)
                               {
                                   request_received = !error;
                               });
        run_until(
            [&request_received]
            {
                return request_received;
            });
        send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
             "\r\n\r\n");
    }

    // Sends data, polls once and sleeps. The next chunk has thus arrived before
    // the client's timers are checked again, so that a stall of this process
    // does not look like a stall of the server.
    void send_chunk(std::size_t bytes)
    {
        send(std::string(bytes, 'x'));
        io_.poll();
        std::this_thread::sleep_for(chunk_interval);
    }

    // Runs the client's timers while no data arrives.
    void run_without_data(core::common::duration length)
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
                return final_status.has_value();
            });
    }

    std::optional<exchange_status> final_status;
    std::function<void()> on_end;
    std::size_t body_bytes = 0;

private:
    void run_until(std::function<bool()> const& done)
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            io_.run_one_for(1ms);
        }
        ASSERT_TRUE(done());
    }

    asio::io_context io_;
    ports::endpoint server_endpoint_;
    adapters::runtime::acceptor acceptor_{io_};
    std::optional<tcp::socket> peer_;
    std::optional<adapters::http::client> client_;
};

} // namespace

// A page that took longer than its timeout was discarded and requested again
// in an endless loop, which saturated the link while the instance never
// received the page.
TEST_F(slow_response, completes_after_the_timeout_if_data_keeps_arriving)
{
    constexpr std::size_t chunk_count = 100;
    start_call(test_timeout);
    start_response(chunk_count * chunk_bytes);
    for (std::size_t sent_chunks = 0; sent_chunks < chunk_count; ++sent_chunks)
    {
        send_chunk(chunk_bytes);
    }
    wait_for_end();
    EXPECT_EQ(final_status, exchange_status::answered);
    EXPECT_EQ(body_bytes, chunk_count * chunk_bytes);
}

// A response that stops arriving must time out, however large the late read
// limit is.
TEST_F(slow_response, times_out_when_data_stops_arriving)
{
    start_call(1h);
    start_response(100 * chunk_bytes);
    for (std::size_t sent_chunks = 0; sent_chunks < 20; ++sent_chunks)
    {
        send_chunk(chunk_bytes);
    }
    EXPECT_FALSE(final_status.has_value());
    wait_for_end();
    EXPECT_EQ(final_status, exchange_status::timed_out);
}

// A single lost packet, retransmitted after 200 ms, made the client abort a
// page and request it from the start.
TEST_F(slow_response, continues_after_a_retransmission)
{
    constexpr std::size_t chunk_count = 40;
    constexpr auto retransmission = 250ms;
    start_call(test_timeout);
    start_response(chunk_count * chunk_bytes);
    for (std::size_t sent_chunks = 0; sent_chunks < chunk_count; ++sent_chunks)
    {
        send_chunk(chunk_bytes);
        if (sent_chunks == chunk_count - 5)
        {
            run_without_data(retransmission);
        }
    }
    wait_for_end();
    EXPECT_EQ(final_status, exchange_status::answered);
}

// A response that had been received completely was discarded because this
// process was stalled when the late read limit passed.
TEST_F(slow_response, is_read_if_it_completed_during_a_stall)
{
    constexpr auto late_read_limit = 300ms;
    constexpr std::size_t chunk_count = 20;
    start_call(late_read_limit);
    start_response((chunk_count + 1) * chunk_bytes);
    for (std::size_t sent_chunks = 0; sent_chunks < chunk_count; ++sent_chunks)
    {
        send_chunk(chunk_bytes);
    }
    ASSERT_FALSE(final_status.has_value());
    send_chunk(chunk_bytes);
    std::this_thread::sleep_for(2 * late_read_limit);
    wait_for_end();
    EXPECT_EQ(final_status, exchange_status::answered);
}

// After a stall, the deadline of a completed call ended the next call on the
// same connection.
TEST_F(slow_response, earlier_deadline_does_not_end_the_next_call_after_a_stall)
{
    start_call(test_timeout);
    start_response(2);
    send("ok");
    std::this_thread::sleep_for(2 * timeout);
    std::optional<exchange_status> next_status;
    on_end = [this, &next_status]
    {
        call(1h,
             1h,
             [&next_status](exchange_status status, auto const&)
             {
                 next_status = status;
             });
    };
    wait_for_end();
    EXPECT_EQ(final_status, exchange_status::answered);
    run_without_data(50ms);
    EXPECT_FALSE(next_status.has_value());
}

// A server must not keep a call open indefinitely by sending a few bytes from
// time to time.
TEST_F(slow_response, times_out_at_the_late_read_limit)
{
    constexpr auto late_read_limit = 300ms;
    start_call(late_read_limit);
    start_response(100 * chunk_bytes);
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (!final_status && std::chrono::steady_clock::now() < end)
    {
        send_chunk(1);
    }
    EXPECT_EQ(final_status, exchange_status::timed_out);
}
