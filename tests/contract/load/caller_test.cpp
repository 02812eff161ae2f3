#include "adapters/http/server.hpp"
#include "tools/load/request_client.hpp"

#include <gtest/gtest.h>

namespace fuchsia::tools::load
{

namespace
{

using namespace std::chrono_literals;
using adapters::http::request;
using adapters::http::responder;
using adapters::http::response;

response refusal(std::string outcome, std::string retry_after_ms)
{
    response answer;
    answer.status = 503;
    answer.headers = {{"Fuchsia-Outcome", std::move(outcome)},
                      {"Fuchsia-Retry-After-Ms", std::move(retry_after_ms)}};
    return answer;
}

response complete_answer(request const& message)
{
    auto const token =
        std::string(message.header("Fuchsia-Load-Token").value_or(""));
    response answer;
    answer.headers = {{"Fuchsia-Outcome", "ran"}};
    answer.body = token + "\nfine\n" + token;
    return answer;
}

// Entries that answer with the handlers of a test, and a request client that
// sends to them.
class request_client_test : public testing::Test
{
protected:
    using request_handler =
        std::function<void(request const&, responder const&)>;

    request_client_test()
    {
        config.streams.resize(1);
        config.streams[0].customer = "c";
        config.streams[0].path = "/lots/{n}";
        config.streams[0].deadline = 10s;
        config.retries = {3, true, true, false};
    }

    ports::endpoint entry(request_handler handler)
    {
        servers.push_back(std::make_unique<adapters::http::server>(
            io,
            adapters::http::server_limits(),
            [this, handler = std::move(handler)](request const& message,
                                                 responder const& reply)
            {
                if (message.target == "/readyz")
                {
                    reply({});
                    return;
                }
                received_requests.push_back(message);
                handler(message, reply);
            }));
        core::common::failure reason;
        return servers.back()->listen({"127.0.0.1", 0}, reason).value();
    }

    void send_one(std::vector<ports::endpoint> entries)
    {
        balancer targets(io, std::move(entries), 1h, 0ms);
        targets.start();
        wait_for(
            [&]
            {
                return targets.checked_all();
            });
        request_client client(io, config, targets, statistics, "run");
        auto const now = core::common::clock::now();
        client.begin(now);
        client.send(0, now);
        wait_for(
            [&]
            {
                return statistics.total().requests == 1;
            });
        client.close();
    }

    void wait_for(std::function<bool()> const& condition)
    {
        auto const end = std::chrono::steady_clock::now() + 30s;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            io.run_for(1ms);
        }
        ASSERT_TRUE(condition());
    }

    boost::asio::io_context io;
    experiment config;
    request_statistics statistics;
    std::vector<std::unique_ptr<adapters::http::server>> servers;
    std::vector<request> received_requests;
};

} // namespace

TEST_F(request_client_test,
       retries_a_refused_request_with_its_key_at_another_entry)
{
    auto const refuse_request = [](request const&, responder const& reply)
    {
        reply(refusal("not-run", "1"));
    };
    auto const answer_request =
        [](request const& message, responder const& reply)
    {
        reply(complete_answer(message));
    };
    // The round-robin order starts at the second entry.
    auto const answering_entry = entry(answer_request);
    auto const refusing_entry = entry(refuse_request);
    send_one({answering_entry, refusing_entry});
    EXPECT_EQ(statistics.total().count(request_result::answered), 1U);
    EXPECT_EQ(statistics.total().attempts, 2U);
    ASSERT_EQ(received_requests.size(), 2U);
    EXPECT_EQ(received_requests[0].header("Idempotency-Key"),
              received_requests[1].header("Idempotency-Key"));
    EXPECT_EQ(received_requests[0].header("Fuchsia-Attempt"), "1");
    EXPECT_EQ(received_requests[1].header("Fuchsia-Attempt"), "2");
    EXPECT_EQ(received_requests[1].target, "/lots/1");
}

TEST_F(request_client_test, records_each_request_once_with_its_last_answer)
{
    struct row
    {
        std::string_view situation;
        request_handler handler;
        request_result expected_result;
        std::uint64_t attempts;
    };
    std::vector<row> const rows{
        {"always refused",
         [](request const&, responder const& reply)
         {
             reply(refusal("not-run", "1"));
         },
         request_result::refused,
         3},
        {"refused until after the deadline",
         [](request const&, responder const& reply)
         {
             reply(refusal("not-run", "60000"));
         },
         request_result::refused,
         1},
        {"outcome always unknown",
         [](request const&, responder const& reply)
         {
             reply(refusal("unknown", "1"));
         },
         request_result::unknown,
         3},
        {"closed without an answer",
         [](request const&, responder const&) {},
         request_result::lost,
         1},
        {"answer to another request",
         [](request const&, responder const& reply)
         {
             response answer;
             answer.headers = {{"Fuchsia-Outcome", "ran"}};
             answer.body = "Tother\nx\nTother";
             reply(answer);
         },
         request_result::mixed,
         1},
    };
    for (auto const& row : rows)
    {
        statistics = request_statistics();
        send_one({entry(row.handler), entry(row.handler)});
        EXPECT_EQ(statistics.total().count(row.expected_result), 1U)
            << row.situation;
        EXPECT_EQ(statistics.total().attempts, row.attempts) << row.situation;
    }
}

TEST_F(request_client_test, tries_the_next_entry_if_the_connection_is_refused)
{
    // An entry was replaced, and the balancer has not noticed yet. A refused
    // connection has transferred nothing, so the next entry gets the request.
    auto const closed_entry = entry([](request const&, responder const&) {});
    servers.back()->close();
    auto const live_entry = entry(
        [](request const& message, responder const& reply)
        {
            reply(complete_answer(message));
        });
    send_one({live_entry, closed_entry});
    EXPECT_EQ(statistics.total().count(request_result::answered), 1U);
    EXPECT_EQ(statistics.total().attempts, 1U);
}

TEST_F(request_client_test,
       a_request_unanswered_after_deadline_and_timeout_is_lost)
{
    std::vector<responder> pending_responders;
    auto const silent_entry = entry(
        [&](request const&, responder const& reply)
        {
            pending_responders.push_back(reply);
        });
    config.streams[0].deadline = 5ms;
    config.answer_timeout = 20ms;
    send_one({silent_entry});
    EXPECT_EQ(statistics.total().count(request_result::lost), 1U);
}

} // namespace fuchsia::tools::load
