#include "adapters/peer/transport.hpp"
#include "adapters/runtime/timer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <optional>
#include <unistd.h>

// Peers that don't keep to the format, or that neither write nor read.
using namespace fuchsia;
using namespace std::chrono_literals;
using adapters::peer::encode;
using adapters::peer::transport;
using core::common::clock;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;
constexpr auto* valid_token = "a token of some length";
constexpr std::uint32_t max_connections = 4;
// The longest time that the transport waits for a first frame.
constexpr auto first_frame_timeout = 5s;

class peer_bounds : public testing::Test
{
protected:
    // Only `clock::advance` lets a time limit pass.
    peer_bounds()
    {
        clock::pause();
    }

    ~peer_bounds() override
    {
        clock::resume();
    }

    void start(std::uint32_t connections = max_connections)
    {
        adapters::peer::transport_settings settings;
        settings.self = self;
        settings.token = valid_token;
        settings.allowed = {"127.0.0.0/8"};
        settings.connections = connections;
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

    // Lets the time limit of a first frame pass. A new first timer makes the
    // `io_context` look at the clock again.
    void pass_time_limit()
    {
        clock::advance(first_frame_timeout);
        wake.expires_at(clock::now() - first_frame_timeout);
        wake.async_wait([](boost::system::error_code) {});
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
    adapters::runtime::timer wake{io};
    std::optional<transport> local;
    ports::endpoint local_endpoint;
    std::size_t received = 0;
    std::list<tcp::socket> sockets;
};

// Returns the resident memory of this process.
std::size_t resident_bytes()
{
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

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

// Guards against connections without a sender that use up the number of inbound
// connections.
TEST_F(peer_bounds, connections_without_a_first_frame_are_closed)
{
    start();
    auto half_frame = first_frame();
    half_frame.resize(half_frame.size() / 2);
    for (std::uint32_t count = 0; count < max_connections; ++count)
    {
        connect_raw(count % 2 == 0 ? half_frame : std::vector<std::uint8_t>{});
    }
    // One connection too many shows that the others were accepted.
    connect_raw({});
    run_until(
        [&]
        {
            return local->counts().refused == 1;
        });
    pass_time_limit();
    run_until(
        [&]
        {
            return local->counts().refused == 1 + max_connections;
        });
    expect_sound_peer_served();
}

// Guards against a limit of the first frame that closes an idle connection of a
// known peer, or that refuses its long frames.
TEST_F(peer_bounds, known_peers_may_be_silent_and_send_long_frames)
{
    start();
    auto const message = encode(
        {{"raw", 7},
         self,
         "",
         ports::config_offer{1, std::string(std::size_t{3} << 20U, 'd')}});
    connect_raw(first_frame());
    run_until(
        [&]
        {
            return local->counts().bytes_received == first_frame().size();
        });
    connect_raw({});
    run_until(
        [&]
        {
            pass_time_limit();
            return local->counts().refused == 1;
        });
    std::size_t written = 0;
    asio::async_write(sockets.front(),
                      asio::buffer(message),
                      [&written](boost::system::error_code, std::size_t size)
                      {
                          written = size;
                      });
    run_until(
        [&]
        {
            return written == message.size() && received == 1;
        });
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

// Guards against messages that are kept for an address that can't be used and
// are neither sent nor counted as dropped.
TEST_F(peer_bounds, messages_to_an_invalid_address_are_dropped)
{
    constexpr std::uint64_t message_count = 10;
    start();
    for (std::uint64_t count = 0; count < message_count; ++count)
    {
        local->send(
            {{"other", 1}, {"no address", 1}, ports::config_request{1}});
        io.poll();
    }
    EXPECT_EQ(local->counts().dropped, message_count);
}

// Guards against idle connections that each keep the memory of the largest
// frame that they ever received.
TEST_F(peer_bounds, idle_connections_keep_no_memory_of_large_frames)
{
    constexpr std::uint32_t connections = 32;
    constexpr std::size_t document_bytes = std::size_t{3} << 20U;
    constexpr std::size_t max_kept_bytes = connections * document_bytes / 3;
    start(connections);
    auto bytes = first_frame();
    auto const message =
        encode({{"raw", 7},
                self,
                "",
                ports::config_offer{1, std::string(document_bytes, 'd')}});
    bytes.insert(bytes.end(), message.begin(), message.end());
    auto const before = resident_bytes();
    for (std::uint32_t count = 0; count < connections; ++count)
    {
        auto& socket = sockets.emplace_back(io);
        socket.connect({asio::ip::make_address(local_endpoint.address),
                        local_endpoint.port});
        asio::async_write(socket,
                          asio::buffer(bytes),
                          [](boost::system::error_code, std::size_t) {});
        run_until(
            [&]
            {
                return received == count + 1;
            });
    }
    EXPECT_LT(resident_bytes(), before + max_kept_bytes);
}

// Guards against a limit of the length that holds for unknown peers alone.
TEST_F(peer_bounds, known_peer_is_refused_by_a_length_above_the_limit)
{
    for (std::vector<std::uint8_t> const& length :
         {std::vector<std::uint8_t>{0xff, 0xff, 0xff, 0xff},
          std::vector<std::uint8_t>{1, 0, 0x40, 0},
          std::vector<std::uint8_t>{0, 0, 0, 0}})
    {
        start();
        auto bytes = first_frame();
        bytes.insert(bytes.end(), length.begin(), length.end());
        connect_raw(bytes);
        run_until(
            [&]
            {
                return local->counts().refused == 1;
            });
        EXPECT_EQ(local->counts().bytes_received, first_frame().size());
        expect_sound_peer_served();
    }
}
