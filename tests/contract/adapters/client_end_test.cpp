#include "adapters/http/client.hpp"
#include "adapters/http/server.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <vector>

namespace fuchsia::adapters::http
{

namespace
{

using namespace std::chrono_literals;
using ports::exchange_status;

class client_end : public testing::Test
{
protected:
    // A server that gets requests and never answers.
    ports::endpoint silent_server()
    {
        core::common::failure reason;
        return server_.listen({"127.0.0.1", 0}, reason).value();
    }

    void send_and_wait(client& caller)
    {
        client_call call;
        call.remote_endpoint = silent_server();
        call.message.method = "GET";
        call.message.target = "/";
        call.timeout = 60s;
        caller.send(std::move(call),
                    [this](exchange_status status, response const&)
                    {
                        ended = status;
                    });
        auto const end = std::chrono::steady_clock::now() + 30s;
        while (kept.empty() && std::chrono::steady_clock::now() < end)
        {
            io.run_for(1ms);
        }
        ASSERT_FALSE(kept.empty());
    }

    boost::asio::io_context io;
    std::vector<responder> kept;
    std::optional<exchange_status> ended;

private:
    server server_{io,
                   server_limits(),
                   [this](request const&, responder const& answer)
                   {
                       kept.push_back(answer);
                   }};
};

} // namespace

TEST_F(client_end, a_destroyed_client_calls_no_handler)
{
    // A daemon stops while the store owes it an answer. Its client goes with
    // it; a handler that was called then would touch parts of the daemon that
    // are destroyed, and the process would end in a crash instead of status 0.
    auto caller = std::make_unique<client>(io, client_settings());
    send_and_wait(*caller);
    caller.reset();
    io.run_for(1ms);
    EXPECT_FALSE(ended);
}

TEST_F(client_end, a_closed_client_tells_its_handlers)
{
    client caller(io, client_settings());
    send_and_wait(caller);
    caller.close();
    EXPECT_EQ(ended, exchange_status::lost);
}

} // namespace fuchsia::adapters::http
