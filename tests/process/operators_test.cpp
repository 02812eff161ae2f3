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

// Tests of the operators' commands with real planners and the platform's
// stand-in.
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

/// Sends one HTTP request. The status is 0 if there was no response.
adapters::http::response send_request(std::uint16_t port,
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

struct command_result
{
    int status = 0;
    std::string text; ///< Standard output and standard error.

    /// Returns the number after `label`, or 0.
    std::uint64_t number_after(std::string const& label) const
    {
        auto const position = text.find(label);
        return position == std::string::npos
                   ? 0
                   : std::stoull(text.substr(position + label.size()));
    }
};

/// A running `fuchsiactl` process.
struct running_command
{
    child process;
    std::string log;

    command_result wait()
    {
        int const status = process.wait();
        std::ifstream file(log);
        std::ostringstream text;
        text << file.rdbuf();
        return {status, text.str()};
    }
};

/// Three planners in three data centres and the stand-ins of the platform and
/// of the workers.
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
        for (std::size_t index = 0; index < names.size(); ++index)
        {
            start_planner(index);
        }
        for (auto const port : http_ports_)
        {
            ASSERT_TRUE(wait_until(
                [port]
                {
                    return send_request(port, "GET", "/readyz").status == 200;
                }))
                << "logs in " << folder_;
        }
    }

    void TearDown() override
    {
        planners.clear();
        standins_.clear();
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

    /// Starts `fuchsiactl` with the given planners, by default all.
    running_command
    start_command(std::vector<std::string> arguments,
                  std::vector<std::size_t> const& planner_indexes = {0, 1, 2})
    {
        std::string list;
        for (auto const index : planner_indexes)
        {
            list += '"' + loopback(http_ports_[index]) + "\",";
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

    command_result run(std::vector<std::string> arguments,
                       std::vector<std::size_t> const& planner_indexes = {
                           0, 1, 2})
    {
        return start_command(std::move(arguments), planner_indexes).wait();
    }

    void set_faults(std::string const& json) const
    {
        ASSERT_EQ(send_request(platform_port_, "POST", "/control/faults", json)
                      .status,
                  200);
    }

    void start_planner(std::size_t index)
    {
        planners.emplace_back(
            "fuchsia-planner",
            std::vector<std::string>{
                "--settings", (folder_ / (names[index] + ".toml")).string()},
            (folder_ / (names[index] + ".log")).string());
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
                return send_request(platform_port_, "GET", "/control/counts")
                           .status == 200;
            }));
    }

    void start_standin(std::string const& kind, std::string const& settings)
    {
        standins_.emplace_back(
            "fuchsia-standin",
            std::vector<std::string>{
                kind, "--settings", write(kind + ".toml", settings)},
            (folder_ / (kind + ".log")).string());
    }

    std::filesystem::path folder_;
    std::uint16_t platform_port_ = 0;
    std::vector<std::uint16_t> http_ports_;
    std::deque<child> standins_;
    int calls_ = 0;
};

} // namespace

// Guards against a contract, or its withdrawal, that is reported as in force
// everywhere but is missing on one of the planners.
TEST_F(operators, contract_takes_effect_on_all_planners_and_can_be_withdrawn)
{
    auto const put = run({"contract", "put", contract("mill", 9), "--wait"});
    EXPECT_EQ(put.status, 0) << put.text;
    EXPECT_THAT(put.text, HasSubstr("in force everywhere"));
    for (std::size_t index = 0; index < names.size(); ++index)
    {
        auto const listed = run({"contract", "list"}, {index});
        EXPECT_THAT(listed.text, HasSubstr("mill")) << names[index];
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

// Guards against a change of a data centre's state that is missing on another
// planner, and against accepting a misspelt name of a data centre.
TEST_F(operators, data_centre_is_taken_out_and_in_again)
{
    EXPECT_EQ(run({"data-centre", "out", "kochi-a", "--wait"}).status, 0);
    EXPECT_THAT(run({"data-centre", "list", "--json"}, {2}).text,
                HasSubstr(R"({"name":"kochi-a","state":"out")"));
    EXPECT_EQ(run({"data-centre", "in", "kochi-a", "--wait"}).status, 0);
    EXPECT_THAT(run({"data-centre", "list", "--json"}, {1}).text,
                HasSubstr(R"({"name":"kochi-a","state":"in")"));
    auto const unknown_data_centre = run({"data-centre", "out", "kochi-aa"});
    EXPECT_EQ(unknown_data_centre.status, 1);
    EXPECT_THAT(unknown_data_centre.text, HasSubstr("4004"));
}

// Operators change one contract at the same time through different planners. If
// two changes are accepted as the same revision, or the limit of an older
// revision stays, an operator relies on a limit that is not in force.
TEST_F(operators,
       highest_accepted_revision_of_concurrent_changes_stays_in_force)
{
    int conflicts = 0;
    for (int round = 0; round < 20; ++round)
    {
        std::vector<running_command> commands;
        for (std::size_t index = 0; index < names.size(); ++index)
        {
            int const limit = 10 * round + static_cast<int>(index) + 1;
            commands.push_back(start_command(
                {"contract", "put", contract("mill", limit)}, {index}));
        }
        std::uint64_t newest_revision = 0;
        int winning_limit = 0;
        for (std::size_t index = 0; index < names.size(); ++index)
        {
            auto const result = commands[index].wait();
            if (result.status != 0)
            {
                ++conflicts;
                EXPECT_EQ(result.status, 1) << result.text;
                EXPECT_THAT(result.text, HasSubstr("4003 conflict"));
                EXPECT_NE(result.number_after("newest revision: "), 0U);
                continue;
            }
            auto const revision = result.number_after("accepted as revision ");
            EXPECT_NE(revision, newest_revision)
                << "one revision was accepted for two operators";
            if (revision > newest_revision)
            {
                newest_revision = revision;
                winning_limit = 10 * round + static_cast<int>(index) + 1;
            }
        }
        ASSERT_NE(newest_revision, 0U)
            << "none of the concurrent changes was accepted";
        EXPECT_TRUE(wait_until(
            [&]
            {
                auto const shown = run({"contract", "show", "mill"});
                return shown.text.find("\"requests_in_flight\":" +
                                       std::to_string(winning_limit) + ",") !=
                       std::string::npos;
            }))
            << "round " << round;
    }
    RecordProperty("conflicts", conflicts);
}

// A planner is frozen when a data centre is taken out. Until it is fenced it
// may resume and start a task there, so the command must report its name.
TEST_F(operators, wait_names_a_frozen_planner_and_ends_when_it_is_fenced)
{
    planners[2].signal(SIGSTOP);
    auto const before_fencing = run(
        {"data-centre", "out", "kochi-a", "--wait", "--timeout", "1"}, {0, 1});
    EXPECT_EQ(before_fencing.status, 4) << before_fencing.text;
    EXPECT_THAT(before_fencing.text, HasSubstr(names[2]));

    auto const after_fencing = run(
        {"data-centre", "in", "kochi-a", "--wait", "--timeout", "60"}, {0, 1});
    EXPECT_EQ(after_fencing.status, 0) << after_fencing.text;

    planners[2].signal(SIGCONT);
    EXPECT_TRUE(wait_until(
        [&]
        {
            auto const listed = run({"data-centre", "list", "--json"}, {2});
            return listed.text.find(R"("name":"kochi-a","state":"in")") !=
                   std::string::npos;
        }))
        << "the resumed planner kept the old configuration";
}

// A change that was refused while the store was down must not take effect when
// the store is back.
TEST_F(operators, changes_during_a_store_outage_are_refused_without_effect)
{
    EXPECT_EQ(run({"contract", "put", contract("mill", 9), "--wait"}).status,
              0);
    set_faults(R"({"down":true})");
    auto const down = run({"contract", "put", contract("mill", 5)});
    EXPECT_EQ(down.status, 1) << down.text;
    EXPECT_THAT(down.text, HasSubstr("4001 store_unavailable"));
    set_faults(R"({"down":false})");
    // Planners notice that the store is back at their next read.
    EXPECT_TRUE(wait_until(
        [this]
        {
            return run({"contract", "put", contract("shop", 1), "--wait"})
                       .status == 0;
        }));
    EXPECT_THAT(run({"contract", "show", "mill"}).text,
                HasSubstr("\"requests_in_flight\":9,"));
}

// The store applies the change but its reply is lost. If the change were
// reported as failed, the operator would repeat it or rely on the old limit.
TEST_F(operators, change_whose_store_reply_is_lost_is_reported_as_accepted)
{
    set_faults(R"({"lose_answers":1,"lose_prefix":"config/index"})");
    auto const put = run({"contract", "put", contract("mill", 9), "--wait"});
    EXPECT_EQ(put.status, 0) << put.text;
    EXPECT_THAT(put.text, HasSubstr("accepted as revision 1"));
}

// Guards against removing a planner that still runs, against commands that fail
// because of a dead planner, and against `--wait` for a removed planner.
TEST_F(operators, dead_planner_is_skipped_and_can_be_removed)
{
    EXPECT_EQ(run({"member", "remove", "planner", names[1], "--gone"}).status,
              1)
        << "the planner is still running";
    planners[0].kill();
    EXPECT_EQ(run({"contract", "put", contract("mill", 9)}).status, 0);
    auto const removed =
        run({"member", "remove", "planner", names[0], "--gone"});
    EXPECT_EQ(removed.status, 0) << removed.text;
    EXPECT_EQ(run({"contract", "withdraw", "mill", "--wait"}).status, 0);
}

// Guards against a metric of a planner that is missing in docs/METRICS.md.
TEST_F(operators, every_planner_metric_is_documented)
{
    std::ifstream file(FUCHSIA_SOURCE_DIR "/docs/METRICS.md");
    std::ostringstream page;
    page << file.rdbuf();
    std::set<std::string> names;
    ASSERT_TRUE(wait_until(
        [&]
        {
            std::istringstream lines(
                send_request(http_ports()[0], "GET", "/metrics").body);
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

// Guards against accepting invalid input, unknown names or a wrong token, and
// against a planner that stops because of them.
TEST_F(operators, invalid_input_is_refused_and_planners_keep_running)
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
