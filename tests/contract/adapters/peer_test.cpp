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

constexpr auto patience = 20s;
constexpr auto* good_token = "a token of some length";

void run_until(boost::asio::io_context& io, std::function<bool()> const& done)
{
    auto const end = std::chrono::steady_clock::now() + patience;
    while (!done() && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    ASSERT_TRUE(done());
}

ports::caller_answer some_answer()
{
    return {200,
            {{"Content-Type", "text/plain"}},
            std::string("a\0b", 3),
            core::common::result_code::no_free_slot,
            core::common::outcome::not_run,
            1500ms};
}

ports::caller_request some_request()
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

std::vector<ports::peer_message> one_of_each()
{
    return {ports::promise_request{1, 2, 3},
            ports::promise_reply{4, true, 5},
            ports::consent_request{{"entry-1", 77}, 6},
            ports::consent_reply{{"entry-1", 77}, 6, true},
            ports::config_offer{8, "{}"},
            ports::config_request{9},
            ports::load_report{10, 11},
            ports::forwarded_request{12, true, some_request(), 29},
            ports::forwarded_answer{13, some_answer(), 32, 33},
            ports::slice_request{14, "estate-owners", 15, 16, 17},
            ports::slice_grant{18, "estate-owners", 19, 20, 21, 22},
            ports::key_handover{
                23,
                24,
                25,
                {{"estate-owners", "key-1", true, some_answer(), 26, 30}},
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

// What is encoded again after decoding must be the same bytes: no field is
// lost on the way.
TEST(peer_codec, every_message_survives_the_frame)
{
    for (auto const& message : one_of_each())
    {
        auto const bytes = encode({{"a", 1}, {"b", 2}, "", message});
        core::common::failure reason;
        auto const back = decode(without_length(bytes), reason);
        ASSERT_TRUE(back) << message.index() << to_string(reason);
        ASSERT_TRUE(back->message);
        EXPECT_EQ(back->message->index(), message.index());
        EXPECT_EQ(back->from, (ports::member_identity{"a", 1}));
        EXPECT_EQ(back->to, (ports::member_identity{"b", 2}));
        EXPECT_EQ(encode(*back), bytes) << message.index();
    }
}

// A frame that was cut or damaged on its way must be refused, never read as
// another message: a part of an answer would reach a caller as the whole.
TEST(peer_codec, damaged_frames_never_crash_and_truncated_ones_are_refused)
{
    for (auto const& message : one_of_each())
    {
        auto const bytes = encode({{"a", 1}, {"b", 2}, "", message});
        auto const body = without_length(bytes);
        core::common::failure reason;
        for (std::size_t size = 0; size < body.size();
             size += 1 + body.size() / 50)
        {
            std::vector<std::uint8_t> cut(
                body.begin(), body.begin() + static_cast<long>(size));
            // Only padding that no field uses may be missing unnoticed.
            auto const back = decode(cut, reason);
            EXPECT_TRUE(!back || encode(*back) == bytes) << size;
        }
        for (std::size_t at = 0; at < body.size(); at += 1 + body.size() / 200)
        {
            std::vector<std::uint8_t> damaged(body.begin(), body.end());
            damaged[at] ^= 0x55U;
            (void)decode(damaged, reason);
        }
    }
}

namespace
{

class peer_transport : public testing::Test
{
protected:
    struct side
    {
        ports::member_identity self;
        std::vector<ports::peer_receive> got;
        std::unique_ptr<transport> link;
        ports::endpoint where;
    };

    void open(side& at, std::string token = good_token)
    {
        adapters::peer::transport_settings settings;
        settings.self = at.self;
        settings.token = std::move(token);
        settings.allowed = {"127.0.0.0/8"};
        at.link = std::make_unique<transport>(io,
                                              settings,
                                              [&at](ports::peer_receive message)
                                              {
                                                  at.got.push_back(
                                                      std::move(message));
                                                  return true;
                                              });
        core::common::failure reason;
        auto const where = at.link->listen({"127.0.0.1", 0}, reason);
        ASSERT_TRUE(where) << to_string(reason);
        at.where = *where;
    }

    boost::asio::io_context io;
    side a{{"a", 1}, {}, nullptr, {}};
    side b{{"b", 2}, {}, nullptr, {}};
};

} // namespace

TEST_F(peer_transport, messages_arrive_whole_and_in_order)
{
    open(a);
    open(b);
    for (auto const& message : one_of_each())
    {
        a.link->send({b.self, b.where, message});
    }
    run_until(io,
              [&]
              {
                  return b.got.size() == one_of_each().size();
              });
    for (std::size_t index = 0; index < b.got.size(); ++index)
    {
        EXPECT_EQ(b.got[index].message.index(), index);
        EXPECT_EQ(b.got[index].from, a.self);
    }
}

// A process was restarted under the same name and address. Messages for its
// former self must not be answered by the new one, which knows nothing of what
// the former promised.
TEST_F(peer_transport, frames_for_another_incarnation_are_refused)
{
    open(a);
    open(b);
    a.link->send({{"b", 3}, b.where, ports::config_request{1}});
    run_until(io,
              [&]
              {
                  return b.link->counts().refused == 1;
              });
    EXPECT_TRUE(b.got.empty());
}

TEST_F(peer_transport, wrong_token_is_refused)
{
    open(a, "another token of some length");
    open(b);
    a.link->send({b.self, b.where, ports::config_request{1}});
    run_until(io,
              [&]
              {
                  return b.link->counts().refused == 1;
              });
    EXPECT_TRUE(b.got.empty());
}

TEST_F(peer_transport, garbage_and_oversize_lengths_close_the_connection)
{
    open(b);
    for (std::vector<std::uint8_t> const& bytes :
         {std::vector<std::uint8_t>{0xff, 0xff, 0xff, 0xff},
          std::vector<std::uint8_t>{0, 0, 0, 0},
          std::vector<std::uint8_t>{4, 0, 0, 0, 1, 2, 3, 4}})
    {
        auto const before = b.link->counts().refused;
        boost::asio::ip::tcp::socket socket(io);
        socket.connect(
            {boost::asio::ip::make_address(b.where.address), b.where.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        run_until(io,
                  [&]
                  {
                      return b.link->counts().refused > before;
                  });
    }
    open(a);
    a.link->send({b.self, b.where, ports::config_request{1}});
    run_until(io,
              [&]
              {
                  return b.got.size() == 1;
              });
}

// A peer dies and comes back: the first message after that opens a new
// connection.
TEST_F(peer_transport, connection_is_opened_anew_after_a_reset)
{
    open(a);
    open(b);
    a.link->send({b.self, b.where, ports::config_request{1}});
    run_until(io,
              [&]
              {
                  return b.got.size() == 1;
              });
    b.link->reset();
    a.link->reset();
    a.link->send({b.self, b.where, ports::config_request{2}});
    run_until(io,
              [&]
              {
                  return b.got.size() == 2;
              });
}
