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

// Far beyond what any test needs; only a hang reaches it.
constexpr auto patience = 20s;
// Longer than one read takes in.
constexpr std::size_t body_bytes = 20'000;
constexpr auto timeout = 200ms;

/// A client that stands still while its server, on an io_context of its own,
/// goes on.
class late_reader : public testing::Test
{
protected:
    late_reader()
    {
        core::common::failure reason;
        where_ = served_.listen({"127.0.0.1", 0}, reason).value();
    }

    void send(core::common::duration timeout)
    {
        adapters::http::client_call call;
        call.remote_endpoint = where_;
        call.message = {"GET", "/x", {}, "", {}};
        call.timeout = timeout;
        client_.send(std::move(call),
                     [this](exchange_status status,
                            adapters::http::response const& answer)
                     {
                         ended = status;
                         body = answer.body;
                     });
    }

    template<class Done>
    void run(boost::asio::io_context& io, Done const& done)
    {
        auto const end = std::chrono::steady_clock::now() + patience;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(1ms);
        }
        ASSERT_TRUE(done());
    }

    // Until the request lies with the server, which has not answered.
    void reach_server()
    {
        auto const end = std::chrono::steady_clock::now() + patience;
        while (!asked && std::chrono::steady_clock::now() < end)
        {
            io.run_for(1ms);
            server_io.run_for(1ms);
        }
        ASSERT_TRUE(asked.has_value());
    }

    void answer()
    {
        (*asked)({200, {}, std::string(body_bytes, 'x')});
        server_io.run_for(20ms);
    }

    boost::asio::io_context io;
    boost::asio::io_context server_io;
    std::optional<adapters::http::responder> asked;
    std::optional<exchange_status> ended;
    std::string body;

private:
    adapters::http::server served_{server_io,
                                   {},
                                   [this](adapters::http::request const&,
                                          adapters::http::responder const& to)
                                   {
                                       asked = to;
                                   }};
    ports::endpoint where_;
    adapters::http::client client_{io, {}};
};

} // namespace

// An instance that got no processor took answers that had come in time for
// silence, and ran elsewhere what its workers had ended.
TEST_F(late_reader, reads_what_came_while_it_stood_still)
{
    clock::pause();
    send(timeout);
    reach_server();
    answer();
    clock::resume();
    std::this_thread::sleep_for(2 * timeout);
    run(io,
        [this]
        {
            return ended.has_value();
        });
    EXPECT_EQ(ended, exchange_status::answered);
    EXPECT_EQ(body.size(), body_bytes);
}

// A server that is silent must not be waited for any longer.
TEST_F(late_reader, gives_a_silent_server_up_at_its_deadline)
{
    send(timeout);
    reach_server();
    run(io,
        [this]
        {
            return ended.has_value();
        });
    EXPECT_EQ(ended, exchange_status::timed_out);
}
