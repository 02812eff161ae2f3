#include "adapters/peer/transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <span>

using namespace fuchsia;
using namespace std::chrono_literals;
using adapters::peer::decode;
using adapters::peer::encode;
using adapters::peer::frame;
using adapters::peer::transport;

namespace
{

// Far longer than any test needs; reached only if a test hangs.
constexpr auto test_timeout = 20s;
constexpr auto* valid_token = "a token of some length";

void run_until(boost::asio::io_context& io, std::function<bool()> const& done)
{
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (!done() && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    ASSERT_TRUE(done());
}

ports::caller_answer sample_answer()
{
    return {200,
            {{"Content-Type", "text/plain"}},
            std::string("a\0b", 3),
            core::common::result_code::no_free_slot,
            core::common::outcome::not_run,
            1500ms};
}

ports::caller_request sample_request()
{
    return {"estate-owners",
            ports::request_class::batch,
            "POST",
            "/lots/7?x=1",
            {{"A", "b"}},
            std::string(100'000, 'x'),
            "key-1",
            2,
            250ms};
}

std::vector<ports::peer_message> sample_messages()
{
    return {ports::promise_request{1, 2, 3},
            ports::promise_reply{4, true, 5},
            ports::consent_request{{"entry-1", 77}, 6},
            ports::consent_reply{{"entry-1", 77}, 6, true},
            ports::config_offer{8, "{}"},
            ports::config_request{9},
            ports::load_report{10, 11},
            ports::forwarded_request{12, true, sample_request(), 29},
            ports::forwarded_answer{13, sample_answer(), 32, 33},
            ports::slice_request{14, "estate-owners", 15, 16, 17},
            ports::slice_grant{18, "estate-owners", 19, 20, 21, 22},
            ports::key_handover{
                23,
                24,
                25,
                {{"estate-owners", "key-1", true, sample_answer(), 26, 30}},
                false,
                true,
                31},
            ports::key_handover_ack{27, 28}};
}

std::span<std::uint8_t const>
without_length(std::vector<std::uint8_t> const& bytes)
{
    return std::span(bytes).subspan(adapters::peer::length_size);
}

} // namespace

// Encoding a decoded frame must give the same bytes, so that no field of a
// message is lost.
TEST(peer_codec, every_message_round_trips)
{
    for (auto const& message : sample_messages())
    {
        auto const bytes = encode({{"a", 1}, {"b", 2}, "", message});
        core::common::failure reason;
        auto const decoded = decode(without_length(bytes), reason);
        ASSERT_TRUE(decoded) << message.index() << to_string(reason);
        ASSERT_TRUE(decoded->message);
        EXPECT_EQ(decoded->message->index(), message.index());
        EXPECT_EQ(decoded->from, (ports::member_identity{"a", 1}));
        EXPECT_EQ(decoded->to, (ports::member_identity{"b", 2}));
        EXPECT_EQ(encode(*decoded), bytes) << message.index();
    }
}

// A truncated or corrupted frame must be refused and not decoded as another
// message. Otherwise a caller could receive part of an answer as the complete
// answer.
TEST(peer_codec, corrupted_frames_do_not_crash_and_truncated_frames_are_refused)
{
    for (auto const& message : sample_messages())
    {
        auto const bytes = encode({{"a", 1}, {"b", 2}, "", message});
        auto const body = without_length(bytes);
        core::common::failure reason;
        for (std::size_t size = 0; size < body.size();
             size += 1 + body.size() / 50)
        {
            std::vector<std::uint8_t> truncated(
                body.begin(), body.begin() + static_cast<long>(size));
            // A truncated frame may be accepted only if the missing bytes are
            // padding.
            auto const decoded = decode(truncated, reason);
            EXPECT_TRUE(!decoded || encode(*decoded) == bytes) << size;
        }
        for (std::size_t index = 0; index < body.size();
             index += 1 + body.size() / 200)
        {
            std::vector<std::uint8_t> corrupted(body.begin(), body.end());
            corrupted[index] ^= 0x55U;
            (void)decode(corrupted, reason);
        }
    }
}

namespace
{

class peer_transport : public testing::Test
{
protected:
    struct member
    {
        ports::member_identity self;
        std::vector<ports::peer_receive> received;
        std::unique_ptr<transport> member_transport;
        ports::endpoint listen_endpoint;
    };

    void start(member& m, std::string token = valid_token)
    {
        adapters::peer::transport_settings settings;
        settings.self = m.self;
        settings.token = std::move(token);
        settings.allowed = {"127.0.0.0/8"};
        m.member_transport = std::make_unique<transport>(
            io,
            settings,
            [&m](ports::peer_receive message)
            {
                m.received.push_back(std::move(message));
                return true;
            });
        core::common::failure reason;
        auto const bound = m.member_transport->listen({"127.0.0.1", 0}, reason);
        ASSERT_TRUE(bound) << to_string(reason);
        m.listen_endpoint = *bound;
    }

    boost::asio::io_context io;
    member a{{"a", 1}, {}, nullptr, {}};
    member b{{"b", 2}, {}, nullptr, {}};
};

} // namespace

TEST_F(peer_transport, messages_arrive_complete_and_in_order)
{
    start(a);
    start(b);
    for (auto const& message : sample_messages())
    {
        a.member_transport->send({b.self, b.listen_endpoint, message});
    }
    run_until(io,
              [&]
              {
                  return b.received.size() == sample_messages().size();
              });
    for (std::size_t index = 0; index < b.received.size(); ++index)
    {
        EXPECT_EQ(b.received[index].message.index(), index);
        EXPECT_EQ(b.received[index].from, a.self);
    }
}

// A process was restarted under the same name and address. The new incarnation
// must not answer messages for the previous one, because it does not know the
// promises that the previous one made.
TEST_F(peer_transport, frames_for_another_incarnation_are_refused)
{
    start(a);
    start(b);
    a.member_transport->send(
        {{"b", 3}, b.listen_endpoint, ports::config_request{1}});
    run_until(io,
              [&]
              {
                  return b.member_transport->counts().refused == 1;
              });
    EXPECT_TRUE(b.received.empty());
}

TEST_F(peer_transport, wrong_token_is_refused)
{
    start(a, "another token of some length");
    start(b);
    a.member_transport->send(
        {b.self, b.listen_endpoint, ports::config_request{1}});
    run_until(io,
              [&]
              {
                  return b.member_transport->counts().refused == 1;
              });
    EXPECT_TRUE(b.received.empty());
}

TEST_F(peer_transport, invalid_frames_and_lengths_close_the_connection)
{
    start(b);
    for (std::vector<std::uint8_t> const& bytes :
         {std::vector<std::uint8_t>{0xff, 0xff, 0xff, 0xff},
          std::vector<std::uint8_t>{0, 0, 0, 0},
          std::vector<std::uint8_t>{4, 0, 0, 0, 1, 2, 3, 4}})
    {
        auto const before = b.member_transport->counts().refused;
        boost::asio::ip::tcp::socket socket(io);
        socket.connect(
            {boost::asio::ip::make_address(b.listen_endpoint.address),
             b.listen_endpoint.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        run_until(io,
                  [&]
                  {
                      return b.member_transport->counts().refused > before;
                  });
    }
    start(a);
    a.member_transport->send(
        {b.self, b.listen_endpoint, ports::config_request{1}});
    run_until(io,
              [&]
              {
                  return b.received.size() == 1;
              });
}

// After a peer has failed and restarted, the first message opens a new
// connection.
TEST_F(peer_transport, connection_is_reopened_after_a_reset)
{
    start(a);
    start(b);
    a.member_transport->send(
        {b.self, b.listen_endpoint, ports::config_request{1}});
    run_until(io,
              [&]
              {
                  return b.received.size() == 1;
              });
    b.member_transport->reset();
    a.member_transport->reset();
    a.member_transport->send(
        {b.self, b.listen_endpoint, ports::config_request{2}});
    run_until(io,
              [&]
              {
                  return b.received.size() == 2;
              });
}
