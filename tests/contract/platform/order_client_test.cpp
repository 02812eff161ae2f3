#include "platform/order_client.hpp"

#include "adapters/http/server.hpp"
#include "adapters/logging/logger.hpp"
#include "adapters/runtime/acceptor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

using namespace fuchsia;
using namespace std::chrono_literals;

namespace
{

// Much longer than any test needs; only a hang reaches this limit.
constexpr auto test_timeout = 20s;
constexpr std::size_t polls = 20;

/// Polls a worker that gives the same answer to each poll and returns what is
/// logged meanwhile.
std::string log_of_polls(std::string const& body)
{
    testing::internal::CaptureStdout();
    adapters::logging::initialize("test", ports::severity::info);
    boost::asio::io_context io;
    adapters::http::server worker(
        io,
        {},
        [&body](adapters::http::request const&, auto respond)
        {
            respond(adapters::http::json_response(200, body));
        });
    core::common::failure reason;
    auto const endpoint = worker.listen({"127.0.0.1", 0}, reason);
    EXPECT_TRUE(endpoint) << to_string(reason);
    std::size_t answers = 0;
    platform::order_client client(io,
                                  [&answers](ports::order_reply const&)
                                  {
                                      ++answers;
                                  });
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    for (std::size_t sent = 1; sent <= polls; ++sent)
    {
        ports::pool_order order;
        order.id = sent;
        order.worker = "i-1";
        order.remote_endpoint = endpoint.value_or(ports::endpoint{});
        order.operation = ports::poll_order{};
        order.timeout = 10s;
        client.send(std::move(order));
        while (answers < sent && std::chrono::steady_clock::now() < end)
        {
            io.run_one_for(50ms);
        }
    }
    EXPECT_EQ(answers, polls);
    return testing::internal::GetCapturedStdout();
}

std::size_t count_of(std::string const& text, std::string const& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

/// Worker that answers orders once `orders_at_once` of them wait, so that each
/// of these needs a connection of its own, and counts the connections.
class counting_worker
{
public:
    counting_worker(boost::asio::io_context& io, std::size_t orders_at_once)
        : acceptor_(io), orders_at_once_(orders_at_once)
    {
        core::common::failure reason;
        auto const bound = acceptor_.listen({"127.0.0.1", 0}, reason);
        EXPECT_TRUE(bound) << to_string(reason);
        remote_endpoint = bound.value_or(ports::endpoint{});
        accept();
    }

    std::size_t open() const noexcept
    {
        return connections_.size() - closed_;
    }

    ports::endpoint remote_endpoint;

private:
    struct connection
    {
        boost::asio::ip::tcp::socket socket;
        std::string input;
    };

    void accept()
    {
        acceptor_.accept_next(
            [this](boost::asio::ip::tcp::socket socket)
            {
                connections_.push_back(std::make_unique<connection>(
                    connection{std::move(socket), ""}));
                read(*connections_.back());
                accept();
            });
    }

    void read(connection& conn)
    {
        boost::asio::async_read_until(
            conn.socket,
            boost::asio::dynamic_buffer(conn.input),
            "\r\n\r\n",
            [this, &conn](boost::system::error_code error, std::size_t)
            {
                if (error)
                {
                    ++closed_;
                    return;
                }
                waiting_.push_back(&conn);
                if (waiting_.size() == orders_at_once_)
                {
                    answer_all();
                }
            });
    }

    void answer_all()
    {
        for (auto* const conn : std::exchange(waiting_, {}))
        {
            conn->input.clear();
            static std::string const body =
                R"({"clockMs":1,"running":[],"ended":[]})";
            static std::string const answer =
                "HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body;
            boost::asio::write(conn->socket, boost::asio::buffer(answer));
            read(*conn);
        }
    }

    adapters::runtime::acceptor acceptor_;
    std::size_t orders_at_once_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::vector<connection*> waiting_;
    std::size_t closed_ = 0;
};

bool run_until(boost::asio::io_context& io, std::function<bool()> const& done)
{
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (!done() && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(50ms);
    }
    return done();
}

ports::pool_order poll_of(ports::endpoint const& worker)
{
    ports::pool_order order;
    order.worker = "i-1";
    order.remote_endpoint = worker;
    order.operation = ports::poll_order{};
    order.timeout = test_timeout;
    return order;
}

constexpr std::size_t orders_at_once = 8;

/// A client that has sent orders to a worker, which answers them together.
class platform_order_client_connections : public testing::Test
{
protected:
    void send_orders()
    {
        for (std::size_t sent = 0; sent < orders_at_once; ++sent)
        {
            client.send(poll_of(worker.remote_endpoint));
        }
    }

    bool all_are_answered()
    {
        return run_until(io,
                         [this]
                         {
                             return answers == orders_at_once;
                         });
    }

    bool all_are_closed()
    {
        return run_until(io,
                         [this]
                         {
                             return worker.open() == 0;
                         });
    }

    boost::asio::io_context io;
    counting_worker worker{io, orders_at_once};
    std::size_t answers = 0;
    platform::order_client client{io,
                                  [this](ports::order_reply const& reply)
                                  {
                                      answers += reply.status ==
                                                 ports::order_status::done;
                                  }};
};

} // namespace

// Guards against connections that stay open after a change of the owner, with
// which the next owner can't reach the worker.
TEST_F(platform_order_client_connections, released_ones_are_closed_at_once)
{
    send_orders();
    ASSERT_TRUE(all_are_answered());
    client.release();
    EXPECT_EQ(client.connections().endpoints, 0U);
    EXPECT_TRUE(all_are_closed());
}

// Guards against a connection that is kept for the next order since its order
// was not answered yet when the client released the workers.
TEST_F(platform_order_client_connections,
       released_ones_are_closed_when_answered)
{
    send_orders();
    client.release();
    EXPECT_EQ(client.connections().busy, orders_at_once);
    ASSERT_TRUE(all_are_answered());
    EXPECT_EQ(client.connections().endpoints, 0U);
    EXPECT_TRUE(all_are_closed());
}

// Guards against a released client that sends no more orders.
TEST_F(platform_order_client_connections, orders_after_a_release_are_answered)
{
    client.release();
    send_orders();
    EXPECT_TRUE(all_are_answered());
}

// Guards against a line for each poll of a worker whose answers have a row that
// can't be read, as long as the worker runs.
TEST(platform_order_client, unreadable_answers_are_logged_once_for_each_cause)
{
    std::string const event = "worker_answer_unreadable";
    EXPECT_EQ(count_of(log_of_polls(R"({"running":[7],"ended":[]})"), event),
              1U);
    EXPECT_EQ(count_of(log_of_polls(R"({"clockMs":-1})"), event), 1U);
    EXPECT_EQ(count_of(log_of_polls(R"({"running":[],"ended":[]})"), event),
              0U);
}
