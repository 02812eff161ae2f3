#include "adapters/http/client.hpp"
#include "process/child.hpp"
#include "process/own_address.hpp"
#include "process/wait_until.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <set>
#include <sstream>
#include <unistd.h>

// Operators' commands against real planners and the platform's stand-in.
using namespace fuchsia;
using namespace std::chrono_literals;
using testing::HasSubstr;
using tests::process::child;
using tests::process::wait_until;

namespace
{

std::string loopback(std::uint16_t port)
{
    return tests::process::process_loopback_address() + ":" +
           std::to_string(port);
}

/// One HTTP call; status 0 where there was no answer.
adapters::http::response ask(std::uint16_t port,
                             std::string const& method,
                             std::string const& target,
                             std::string const& body = "")
{
    boost::asio::io_context io;
    adapters::http::client client(io, {});
    adapters::http::client_call call;
    call.remote_endpoint = {tests::process::process_loopback_address(), port};
    call.message.method = method;
    call.message.target = target;
    call.message.body = body;
    adapters::http::response answer;
    answer.status = 0;
    client.send(std::move(call),
                [&](ports::exchange_status status, auto response)
                {
                    if (status == ports::exchange_status::answered)
                    {
                        answer = std::move(response);
                    }
                    client.close();
                });
    io.run_for(10s);
    return answer;
}

struct ended
{
    int status = 0;
    std::string text; ///< Output and errors.

    /// Number after `label`.
    std::uint64_t number_after(std::string const& label) const
    {
        auto const at = text.find(label);
        return at == std::string::npos
                   ? 0
                   : std::stoull(text.substr(at + label.size()));
    }
};

/// A `fuchsiactl` under way.
struct operator_call
{
    child process;
    std::string log;

    ended wait()
    {
        int const status = process.wait();
        std::ifstream file(log);
        std::ostringstream text;
        text << file.rdbuf();
        return {status, text.str()};
    }
};

/// Three planners in three data centres and the platform's stand-in.
class operators : public testing::Test
{
protected:
    void SetUp() override
    {
        auto const* info =
            testing::UnitTest::GetInstance()->current_test_info();
        folder_ = std::filesystem::temp_directory_path() /
                  (std::string("fuchsia-operators-") + info->name() + "-" +
                   std::to_string(::getpid()));
        std::filesystem::create_directories(folder_);
        write("token", "0123456789abcdef0123456789abcdef\n");
        start_platform();
        for (std::size_t at = 0; at < names.size(); ++at)
        {
            start_planner(at);
        }
        for (auto const port : http_ports_)
        {
            ASSERT_TRUE(wait_until(
                [port]
                {
                    return ask(port, "GET", "/readyz").status == 200;
                }))
                << "logs in " << folder_;
        }
    }

    void TearDown() override
    {
        planners.clear();
        platform_.clear();
        if (!HasFailure())
        {
            std::filesystem::remove_all(folder_);
        }
    }

    std::string write(std::string const& name, std::string const& text) const
    {
        auto path = (folder_ / name).string();
        std::ofstream(path) << text;
        return path;
    }

    std::string contract(std::string const& customer, int in_flight) const
    {
        return write(customer + std::to_string(in_flight) + ".json",
                     R"({"customer":")" + customer +
                         R"(","millicores":1000,"memory_mb":1,)"
                         R"("requests_in_flight":)" +
                         std::to_string(in_flight) +
                         R"(,"requests_per_second":10,)"
                         R"("latency_target_ms":250})");
    }

    /// Starts `fuchsiactl` with these planners, all by default.
    operator_call begin(std::vector<std::string> arguments,
                        std::vector<std::size_t> const& through = {0, 1, 2})
    {
        std::string list;
        for (auto const at : through)
        {
            list += '"' + loopback(http_ports_[at]) + "\",";
        }
        auto const number = std::to_string(++calls_);
        arguments.insert(arguments.begin(),
                         {"--settings",
                          write("ctl" + number + ".toml",
                                "planners = [" + list + "]\ntoken_file = \"" +
                                    (folder_ / "token").string() + "\"\n")});
        auto log = (folder_ / ("ctl" + number + ".log")).string();
        return {child("fuchsiactl", arguments, log), log};
    }

    ended run(std::vector<std::string> arguments,
              std::vector<std::size_t> const& through = {0, 1, 2})
    {
        return begin(std::move(arguments), through).wait();
    }

    void set_faults(std::string const& json) const
    {
        ASSERT_EQ(ask(platform_port_, "POST", "/control/faults", json).status,
                  200);
    }

    void start_planner(std::size_t at)
    {
        planners.emplace_back(
            "fuchsia-planner",
            std::vector<std::string>{
                "--settings", (folder_ / (names[at] + ".toml")).string()},
            (folder_ / (names[at] + ".log")).string());
    }

    std::vector<std::uint16_t> const& http_ports() const
    {
        return http_ports_;
    }

    inline static std::vector<std::string> const names{
        "planner-kochi-a-1", "planner-thrissur-b-1", "planner-kottayam-c-1"};
    std::deque<child> planners;

private:
    void start_platform()
    {
        platform_port_ = tests::process::next_loopback_port();
        auto const workers_port = tests::process::next_loopback_port();
        std::ostringstream text;
        text << "listen = \"" << loopback(platform_port_) << "\"\n";
        for (auto const& name : names)
        {
            http_ports_.push_back(tests::process::next_loopback_port());
            auto const data_centre = name.substr(8, name.size() - 10);
            auto const http = loopback(http_ports_.back());
            text << "[[probe]]\nid = \"" << name
                 << "\"\nname = \"fuchsia-planner\"\naddress = \"" << http
                 << "\"\ndata_centre = \"" << data_centre << "\"\n";
            std::ostringstream planner;
            planner << "[self]\nname = \"" << name << "\"\ndata_centre = \""
                    << data_centre << "\"\nhttp_listen = \"" << http
                    << "\"\npeer_listen = \""
                    << loopback(tests::process::next_loopback_port())
                    << "\"\n[platform]\nstore = \"" << loopback(platform_port_)
                    << "\"\nworkers = \"" << loopback(workers_port)
                    << "\"\n[security]\ntoken_file = \""
                    << (folder_ / "token").string() << "\"\n";
            write(name + ".toml", planner.str());
        }
        start_standin("platform", text.str());
        start_standin("workers",
                      "listen = \"" + loopback(workers_port) +
                          "\"\n[workers]\ncount = 6\nper_rack = 2\n"
                          "data_centres = [\"kochi-a\", \"thrissur-b\", "
                          "\"kottayam-c\"]\n");
        ASSERT_TRUE(wait_until(
            [this]
            {
                return ask(platform_port_, "GET", "/control/counts").status ==
                       200;
            }));
    }

    void start_standin(std::string const& kind, std::string const& settings)
    {
        platform_.emplace_back(
            "fuchsia-standin",
            std::vector<std::string>{
                kind, "--settings", write(kind + ".toml", settings)},
            (folder_ / (kind + ".log")).string());
    }

    std::filesystem::path folder_;
    std::uint16_t platform_port_ = 0;
    std::vector<std::uint16_t> http_ports_;
    std::deque<child> platform_;
    int calls_ = 0;
};

} // namespace

TEST_F(operators, a_contract_comes_into_force_everywhere_and_goes_again)
{
    auto const put = run({"contract", "put", contract("mill", 9), "--wait"});
    EXPECT_EQ(put.status, 0) << put.text;
    EXPECT_THAT(put.text, HasSubstr("in force everywhere"));
    for (std::size_t at = 0; at < names.size(); ++at)
    {
        auto const listed = run({"contract", "list"}, {at});
        EXPECT_THAT(listed.text, HasSubstr("mill")) << names[at];
    }
    auto const status = run({"status"});
    for (auto const& name : names)
    {
        EXPECT_THAT(status.text, HasSubstr(name));
    }
    EXPECT_EQ(run({"contract", "withdraw", "mill", "--wait"}).status, 0);
    EXPECT_THAT(run({"contract", "list"}, {2}).text,
                HasSubstr("withdrawn: mill"));
    EXPECT_EQ(run({"contract", "show", "mill"}, {1}).status, 1);
}

TEST_F(operators, a_data_centre_goes_out_and_comes_back)
{
    EXPECT_EQ(run({"data-centre", "out", "kochi-a", "--wait"}).status, 0);
    EXPECT_THAT(run({"data-centre", "list", "--json"}, {2}).text,
                HasSubstr(R"({"name":"kochi-a","state":"out")"));
    EXPECT_EQ(run({"data-centre", "in", "kochi-a", "--wait"}).status, 0);
    EXPECT_THAT(run({"data-centre", "list", "--json"}, {1}).text,
                HasSubstr(R"({"name":"kochi-a","state":"in")"));
    auto const mistyped = run({"data-centre", "out", "kochi-aa"});
    EXPECT_EQ(mistyped.status, 1);
    EXPECT_THAT(mistyped.text, HasSubstr("4004"));
}

// Two operators change one contract at the same moment through different
// planners. If both were told "accepted" for the same revision, or the loser's
// figure stayed, somebody would work with a limit that does not stand.
TEST_F(operators, of_racing_changes_the_highest_accepted_one_stands)
{
    int conflicts = 0;
    for (int round = 0; round < 20; ++round)
    {
        std::vector<operator_call> racing;
        for (std::size_t at = 0; at < names.size(); ++at)
        {
            int const limit = 10 * round + static_cast<int>(at) + 1;
            racing.push_back(
                begin({"contract", "put", contract("mill", limit)}, {at}));
        }
        std::uint64_t newest = 0;
        int wanted = 0;
        for (std::size_t at = 0; at < names.size(); ++at)
        {
            auto const end = racing[at].wait();
            if (end.status != 0)
            {
                ++conflicts;
                EXPECT_EQ(end.status, 1) << end.text;
                EXPECT_THAT(end.text, HasSubstr("4003 conflict"));
                EXPECT_NE(end.number_after("newest revision: "), 0U);
                continue;
            }
            auto const revision = end.number_after("accepted as revision ");
            EXPECT_NE(revision, newest) << "one revision, two operators";
            if (revision > newest)
            {
                newest = revision;
                wanted = 10 * round + static_cast<int>(at) + 1;
            }
        }
        ASSERT_NE(newest, 0U) << "one of them must win";
        EXPECT_TRUE(wait_until(
            [&]
            {
                auto const shown = run({"contract", "show", "mill"});
                return shown.text.find(
                           "\"requests_in_flight\":" + std::to_string(wanted) +
                           ",") != std::string::npos;
            }))
            << "round " << round;
    }
    RecordProperty("conflicts", conflicts);
}

// A planner is frozen when a data centre is taken out. Until it is buried it
// may wake up and start a task there, so the operator must be told its name.
TEST_F(operators, waiting_names_a_frozen_planner_and_ends_with_its_burial)
{
    planners[2].signal(SIGSTOP);
    auto const early = run(
        {"data-centre", "out", "kochi-a", "--wait", "--timeout", "1"}, {0, 1});
    EXPECT_EQ(early.status, 4) << early.text;
    EXPECT_THAT(early.text, HasSubstr(names[2]));

    auto const late = run(
        {"data-centre", "in", "kochi-a", "--wait", "--timeout", "60"}, {0, 1});
    EXPECT_EQ(late.status, 0) << late.text;

    planners[2].signal(SIGCONT);
    EXPECT_TRUE(wait_until(
        [&]
        {
            auto const listed = run({"data-centre", "list", "--json"}, {2});
            return listed.text.find(R"("name":"kochi-a","state":"in")") !=
                   std::string::npos;
        }))
        << "it woke with the configuration of before";
}

// The store is down. "Nothing was changed" must stay true when it comes back.
TEST_F(operators, an_outage_refuses_changes_and_leaves_nothing_behind)
{
    EXPECT_EQ(run({"contract", "put", contract("mill", 9), "--wait"}).status,
              0);
    set_faults(R"({"down":true})");
    auto const down = run({"contract", "put", contract("mill", 5)});
    EXPECT_EQ(down.status, 1) << down.text;
    EXPECT_THAT(down.text, HasSubstr("4001 store_unavailable"));
    set_faults(R"({"down":false})");
    // Planners notice its return at their next read of the store.
    EXPECT_TRUE(wait_until(
        [this]
        {
            return run({"contract", "put", contract("shop", 1), "--wait"})
                       .status == 0;
        }));
    EXPECT_THAT(run({"contract", "show", "mill"}).text,
                HasSubstr("\"requests_in_flight\":9,"));
}

// The store makes the change and its answer is lost. Reported as failed, the
// operator would make it twice or believe that the old limit stands.
TEST_F(operators, a_change_whose_answer_the_store_lost_is_told_as_accepted)
{
    set_faults(R"({"lose_answers":1,"lose_prefix":"config/index"})");
    auto const put = run({"contract", "put", contract("mill", 9), "--wait"});
    EXPECT_EQ(put.status, 0) << put.text;
    EXPECT_THAT(put.text, HasSubstr("accepted as revision 1"));
}

TEST_F(operators, a_dead_planner_is_passed_over_and_can_be_removed)
{
    EXPECT_EQ(run({"member", "remove", "planner", names[1], "--gone"}).status,
              1)
        << "it runs";
    planners[0].kill();
    EXPECT_EQ(run({"contract", "put", contract("mill", 9)}).status, 0);
    auto const removed =
        run({"member", "remove", "planner", names[0], "--gone"});
    EXPECT_EQ(removed.status, 0) << removed.text;
    EXPECT_EQ(run({"contract", "withdraw", "mill", "--wait"}).status, 0);
}

// Somebody on call looks a metric up and the page does not know it.
TEST_F(operators, every_metric_of_a_planner_stands_on_its_page)
{
    std::ifstream file(FUCHSIA_SOURCE_DIR "/docs/METRICS.md");
    std::ostringstream page;
    page << file.rdbuf();
    std::set<std::string> names;
    ASSERT_TRUE(wait_until(
        [&]
        {
            std::istringstream lines(
                ask(http_ports()[0], "GET", "/metrics").body);
            std::string line;
            while (std::getline(lines, line))
            {
                if (line.starts_with("fuchsia_"))
                {
                    names.insert(line.substr(0, line.find_first_of(" {")));
                }
            }
            return names.count("fuchsia_cells_owned") != 0 &&
                   names.count("fuchsia_store_calls_total") != 0;
        }));
    for (auto const& name : names)
    {
        EXPECT_THAT(page.str(), HasSubstr("`" + name + "`"));
    }
}

TEST_F(operators, bad_input_is_refused_and_the_plannerslive_on)
{
    auto const bad = write("bad.json", R"({"customer":"mill"})");
    EXPECT_EQ(run({"contract", "put", bad}).status, 1);
    EXPECT_EQ(run({"job", "show", "no-such-job"}).status, 1);
    EXPECT_EQ(run({"contract", "withdraw", "nobody"}).status, 1);
    write("token", "another-token-of-16\n");
    auto const refused = run({"contract", "list"});
    EXPECT_EQ(refused.status, 1);
    EXPECT_THAT(refused.text, HasSubstr("5003 bad_token"));
    for (auto& planner : planners)
    {
        EXPECT_TRUE(planner.running());
    }
}
