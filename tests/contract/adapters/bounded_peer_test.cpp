#include "adapters/peer/transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <optional>

// Peers that don't keep to the format, or that neither write nor read.
using namespace fuchsia;
using namespace std::chrono_literals;
using adapters::peer::encode;
using adapters::peer::transport;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;
constexpr auto* valid_token = "a token of some length";
constexpr std::uint32_t max_connections = 4;

class peer_bounds : public testing::Test
{
protected:
    void start(adapters::peer::transport_settings settings = {})
    {
        settings.self = self;
        settings.token = valid_token;
        settings.allowed = {"127.0.0.0/8"};
        settings.connections = max_connections;
        local.emplace(io,
                      std::move(settings),
                      [this](ports::peer_receive const&)
                      {
                          ++received;
                          return true;
                      });
        core::common::failure reason;
        auto const bound = local->listen({"127.0.0.1", 0}, reason);
        ASSERT_TRUE(bound) << to_string(reason);
        local_endpoint = *bound;
    }

    // Opens a connection to the transport, sends `bytes` on it and leaves it
    // open.
    void connect_raw(std::vector<std::uint8_t> const& bytes)
    {
        auto& socket = sockets.emplace_back(io);
        socket.connect({asio::ip::make_address(local_endpoint.address),
                        local_endpoint.port});
        asio::write(socket, asio::buffer(bytes));
    }

    std::vector<std::uint8_t> first_frame() const
    {
        return encode({{"raw", 7}, self, valid_token, std::nullopt});
    }

    void run_until(std::function<bool()> const& done)
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
        EXPECT_TRUE(done());
    }

    // Expects that another member can still send to the transport.
    void expect_sound_peer_served()
    {
        auto const before = received;
        adapters::peer::transport_settings settings;
        settings.self = {"sound", 9};
        settings.token = valid_token;
        transport sound(io,
                        settings,
                        [](ports::peer_receive const&)
                        {
                            return true;
                        });
        // A refused connection drops its messages, so the message is sent
        // until one arrives.
        run_until(
            [&]
            {
                sound.send({self, local_endpoint, ports::config_request{1}});
                return received > before;
            });
    }

    ports::member_identity const self{"self", 2};
    asio::io_context io;
    std::optional<transport> local;
    ports::endpoint local_endpoint;
    std::size_t received = 0;
    std::list<tcp::socket> sockets;
};

} // namespace

// Guards against memory that is taken for a frame whose sender is unknown: four
// bytes made the receiver reserve four megabytes.
TEST_F(peer_bounds, long_first_frame_is_refused_by_its_length)
{
    start();
    connect_raw({0, 0, 0x40, 0});
    run_until(
        [&]
        {
            return local->counts().refused == 1;
        });
    expect_sound_peer_served();
}

// Guards against a queue without a bound for a peer that never reads.
TEST_F(peer_bounds, peer_that_never_reads_is_sent_a_bounded_queue)
{
    constexpr std::size_t message_bytes = 256 * 1024;
    constexpr std::size_t message_count = 256;
    // The queue of the transport and the buffers of both sockets.
    constexpr std::size_t max_accepted_bytes = std::size_t{24} << 20U;
    start();
    tcp::acceptor silent(io, {asio::ip::make_address("127.0.0.1"), 0});
    silent.async_accept(
        [this](boost::system::error_code, tcp::socket socket)
        {
            sockets.push_back(std::move(socket));
        });
    ports::endpoint const remote{"127.0.0.1", silent.local_endpoint().port()};
    for (std::size_t count = 0; count < message_count; ++count)
    {
        local->send({{"silent", 1},
                     remote,
                     ports::config_offer{1, std::string(message_bytes, 'd')}});
        io.poll();
    }
    auto const accepted = message_count - local->counts().dropped;
    EXPECT_LT(accepted * message_bytes, max_accepted_bytes);
    EXPECT_GT(accepted, 0U);
    expect_sound_peer_served();
}
