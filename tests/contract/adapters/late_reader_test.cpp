#include "adapters/http/client.hpp"
#include "adapters/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <thread>

using namespace fuchsia;
using namespace std::chrono_literals;
using core::common::clock;
using ports::exchange_status;

namespace
{

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;
// Larger than a single read.
constexpr std::size_t body_bytes = 20'000;
constexpr auto timeout = 200ms;

/// A client that is stalled while its server continues on a separate
/// io_context.
class stalled_client : public testing::Test
{
protected:
    stalled_client()
    {
        core::common::failure reason;
        remote_endpoint_ = server_.listen({"127.0.0.1", 0}, reason).value();
    }

    void send(core::common::duration timeout)
    {
        adapters::http::client_call call;
        call.remote_endpoint = remote_endpoint_;
        call.message = {"GET", "/x", {}, "", {}};
        call.timeout = timeout;
        client_.send(std::move(call),
                     [this](exchange_status status,
                            adapters::http::response const& answer)
                     {
                         final_status = status;
                         body = answer.body;
                     });
    }

    template<class Done>
    void run(boost::asio::io_context& io, Done const& done)
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(1ms);
        }
        ASSERT_TRUE(done());
    }

    // Runs until the server has received the request, without a response.
    void wait_for_request()
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!respond && std::chrono::steady_clock::now() < end)
        {
            io.run_for(1ms);
            server_io.run_for(1ms);
        }
        ASSERT_TRUE(respond.has_value());
    }

    void answer()
    {
        (*respond)({200, {}, std::string(body_bytes, 'x')});
        server_io.run_for(20ms);
    }

    boost::asio::io_context io;
    boost::asio::io_context server_io;
    std::optional<adapters::http::responder> respond;
    std::optional<exchange_status> final_status;
    std::string body;

private:
    adapters::http::server server_{
        server_io,
        {},
        [this](adapters::http::request const&,
               adapters::http::responder const& responder)
        {
            respond = responder;
        }};
    ports::endpoint remote_endpoint_;
    adapters::http::client client_{io, {}};
};

} // namespace

// An instance that got no CPU time treated responses that had arrived in time
// as timeouts, and reran tasks elsewhere that its workers had finished.
TEST_F(stalled_client, reads_response_that_arrived_during_the_stall)
{
    clock::pause();
    send(timeout);
    wait_for_request();
    answer();
    clock::resume();
    std::this_thread::sleep_for(2 * timeout);
    run(io,
        [this]
        {
            return final_status.has_value();
        });
    EXPECT_EQ(final_status, exchange_status::answered);
    EXPECT_EQ(body.size(), body_bytes);
}

// The allowance for stalls must not extend the wait for an unresponsive server.
TEST_F(stalled_client, times_out_on_a_silent_server_at_the_deadline)
{
    send(timeout);
    wait_for_request();
    run(io,
        [this]
        {
            return final_status.has_value();
        });
    EXPECT_EQ(final_status, exchange_status::timed_out);
}
