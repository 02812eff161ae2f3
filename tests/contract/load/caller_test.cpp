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

response whole(request const& asked)
{
    auto const token =
        std::string(asked.header("Fuchsia-Load-Token").value_or(""));
    response answer;
    answer.headers = {{"Fuchsia-Outcome", "ran"}};
    answer.body = token + "\nfine\n" + token;
    return answer;
}

// Two entries that answer as the test says, and a caller of them.
class load_caller : public testing::Test
{
protected:
    using behaviour = std::function<void(request const&, responder const&)>;

    load_caller()
    {
        what.streams.resize(1);
        what.streams[0].customer = "c";
        what.streams[0].path = "/lots/{n}";
        what.streams[0].deadline = 10s;
        what.retries = {3, true, true, false};
    }

    ports::endpoint entry(behaviour answer)
    {
        servers.push_back(std::make_unique<adapters::http::server>(
            io,
            adapters::http::server_limits(),
            [this, answer = std::move(answer)](request const& asked,
                                               responder const& reply)
            {
                if (asked.target == "/readyz")
                {
                    reply({});
                    return;
                }
                seen.push_back(asked);
                answer(asked, reply);
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
        request_client load(io, what, targets, into, "run");
        auto const now = core::common::clock::now();
        load.begin(now);
        load.send(0, now);
        wait_for(
            [&]
            {
                return into.total().requests == 1;
            });
        load.close();
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
    experiment what;
    request_statistics into;
    std::vector<std::unique_ptr<adapters::http::server>> servers;
    std::vector<request> seen;
};

} // namespace

TEST_F(load_caller, retries_a_refusal_with_its_key_through_another_entry)
{
    auto const refuses = [](request const&, responder const& reply)
    {
        reply(refusal("not-run", "1"));
    };
    auto const answers = [](request const& asked, responder const& reply)
    {
        reply(whole(asked));
    };
    // The turn begins at the second entry.
    auto const second = entry(answers);
    auto const first = entry(refuses);
    send_one({second, first});
    EXPECT_EQ(into.total().count(request_result::answered), 1U);
    EXPECT_EQ(into.total().attempts, 2U);
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_EQ(seen[0].header("Idempotency-Key"),
              seen[1].header("Idempotency-Key"));
    EXPECT_EQ(seen[0].header("Fuchsia-Attempt"), "1");
    EXPECT_EQ(seen[1].header("Fuchsia-Attempt"), "2");
    EXPECT_EQ(seen[1].target, "/lots/1");
}

TEST_F(load_caller, ends_each_request_once_by_its_last_answer)
{
    struct row
    {
        std::string_view what;
        behaviour answer;
        request_result wanted;
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
        {"always unknown",
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
        {"another's answer",
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
        into = request_statistics();
        send_one({entry(row.answer), entry(row.answer)});
        EXPECT_EQ(into.total().count(row.wanted), 1U) << row.what;
        EXPECT_EQ(into.total().attempts, row.attempts) << row.what;
    }
}

TEST_F(load_caller, goes_on_to_the_next_entry_where_none_listens)
{
    // An entry was replaced, and the balancer doesn't know yet. A refused
    // connection carried nothing, so the next entry gets the request.
    auto const gone = entry([](request const&, responder const&) {});
    servers.back()->close();
    auto const live = entry(
        [](request const& asked, responder const& reply)
        {
            reply(whole(asked));
        });
    send_one({live, gone});
    EXPECT_EQ(into.total().count(request_result::answered), 1U);
    EXPECT_EQ(into.total().attempts, 1U);
}

TEST_F(load_caller, no_answer_by_the_deadline_and_the_bound_is_lost)
{
    std::vector<responder> kept;
    auto const silent = entry(
        [&](request const&, responder const& reply)
        {
            kept.push_back(reply);
        });
    what.streams[0].deadline = 5ms;
    what.answer_timeout = 20ms;
    send_one({silent});
    EXPECT_EQ(into.total().count(request_result::lost), 1U);
}

} // namespace fuchsia::tools::load
