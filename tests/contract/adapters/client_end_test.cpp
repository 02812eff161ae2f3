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

class client_shutdown : public testing::Test
{
protected:
    // Starts a server that receives requests and never responds.
    ports::endpoint silent_server()
    {
        core::common::failure reason;
        return server_.listen({"127.0.0.1", 0}, reason).value();
    }

    void send_and_wait(client& http_client)
    {
        client_call call;
        call.remote_endpoint = silent_server();
        call.message.method = "GET";
        call.message.target = "/";
        call.timeout = 60s;
        http_client.send(std::move(call),
                         [this](exchange_status status, response const&)
                         {
                             final_status = status;
                         });
        auto const end = std::chrono::steady_clock::now() + 30s;
        while (responders.empty() && std::chrono::steady_clock::now() < end)
        {
            io.run_for(1ms);
        }
        ASSERT_FALSE(responders.empty());
    }

    boost::asio::io_context io;
    std::vector<responder> responders;
    std::optional<exchange_status> final_status;

private:
    server server_{io,
                   server_limits(),
                   [this](request const&, responder const& answer)
                   {
                       responders.push_back(answer);
                   }};
};

} // namespace

TEST_F(client_shutdown, destroyed_client_calls_no_handler)
{
    // A daemon stops and destroys its client while a store request is pending.
    // A handler called at that point would access destroyed parts of the
    // daemon, and the process would crash instead of exiting with status 0.
    auto http_client = std::make_unique<client>(io, client_settings());
    send_and_wait(*http_client);
    http_client.reset();
    io.run_for(1ms);
    EXPECT_FALSE(final_status);
}

TEST_F(client_shutdown, closed_client_reports_lost_to_its_handlers)
{
    client http_client(io, client_settings());
    send_and_wait(http_client);
    http_client.close();
    EXPECT_EQ(final_status, exchange_status::lost);
}

} // namespace fuchsia::adapters::http
