#include "adapters/http/server.hpp"
#include "adapters/runtime/io_thread.hpp"
#include "programs/ctl/command_line.hpp"
#include "programs/ctl/runner.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fstream>
#include <future>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <mutex>
#include <sstream>

using namespace fuchsia;
using adapters::http::request;
using adapters::http::response;
using programs::ctl::exit_status;
using testing::HasSubstr;

namespace
{

constexpr auto* mill_contract =
    R"({"customer":"mill","millicores":1000,"memory_mb":1,
"requests_in_flight":9,"requests_per_second":10,"latency_target_ms":250})";

/// HTTP server that answers like a planner with the responses of a test
/// function.
class scripted_planner
{
public:
    using response_function = std::function<response(request const&)>;

    explicit scripted_planner(response_function answer)
        : server_(thread_.io(),
                  {},
                  [this, answer = std::move(answer)](
                      request const& message,
                      adapters::http::responder const& respond)
                  {
                      {
                          std::lock_guard const lock(mutex_);
                          requests_.push_back(message);
                      }
                      respond(answer(message));
                  })
    {
        core::common::failure reason;
        auto const where = server_.listen({"127.0.0.1", 0}, reason);
        EXPECT_TRUE(where) << to_string(reason);
        address_ = adapters::http::to_string(*where);
        thread_.start();
    }

    ~scripted_planner()
    {
        std::promise<void> closed;
        boost::asio::post(thread_.io(),
                          [&]
                          {
                              server_.close();
                              closed.set_value();
                          });
        closed.get_future().wait();
        thread_.stop();
    }

    std::string const& address() const
    {
        return address_;
    }

    std::vector<request> requests()
    {
        std::lock_guard const lock(mutex_);
        return requests_;
    }

private:
    adapters::runtime::io_thread thread_{"planner"};
    std::mutex mutex_;
    std::vector<request> requests_;
    adapters::http::server server_;
    std::string address_;
};

/// Server that accepts each connection and closes it after the first bytes of a
/// request.
class closing_planner
{
public:
    closing_planner()
        : acceptor_(thread_.io(),
                    {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        thread_.start();
    }

    ~closing_planner()
    {
        thread_.stop();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    using tcp = boost::asio::ip::tcp;

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                auto connection =
                    std::make_shared<tcp::socket>(std::move(socket));
                connection->async_wait(tcp::socket::wait_read,
                                       [connection](boost::system::error_code)
                                       {
                                           char bytes[4096];
                                           boost::system::error_code ignored;
                                           connection->read_some(
                                               boost::asio::buffer(bytes),
                                               ignored);
                                       });
                accept();
            });
    }

    adapters::runtime::io_thread thread_{"closing"};
    tcp::acceptor acceptor_;
};

/// Returns an address on which no server listens.
std::string unused_address()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor const acceptor(
        io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

struct run_result
{
    int status = 0;
    std::string out;
    std::string error;
};

class fuchsiactl : public testing::Test
{
protected:
    std::string path(std::string const& name) const
    {
        auto const* info =
            testing::UnitTest::GetInstance()->current_test_info();
        return testing::TempDir() + "ctl_" + info->name() + "_" + name;
    }

    std::string file(std::string const& name, std::string const& text) const
    {
        std::ofstream(path(name)) << text;
        return path(name);
    }

    /// Writes settings with these planners; returns the path of the file.
    std::string settings(std::vector<std::string> const& planners) const
    {
        std::string list;
        for (auto const& planner : planners)
        {
            list += "\"" + planner + "\", ";
        }
        return file("ctl.toml",
                    "planners = [" + list + "]\ntoken_file = \"" +
                        file("token", "0123456789abcdef\n") + "\"\n");
    }

    run_result run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), "fuchsiactl");
        std::vector<char const*> pointers;
        pointers.reserve(arguments.size());
        for (auto const& argument : arguments)
        {
            pointers.push_back(argument.c_str());
        }
        std::ostringstream out;
        std::ostringstream error;
        auto status = exit_status::usage;
        auto const line =
            programs::ctl::parse_command_line(static_cast<int>(pointers.size()),
                                              pointers.data(),
                                              out,
                                              error,
                                              status);
        if (line)
        {
            status = programs::ctl::run(*line, out, error);
        }
        return {static_cast<int>(status), out.str(), error.str()};
    }

    run_result run_with(std::vector<std::string> const& planners,
                        std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), {"--settings", settings(planners)});
        return run(std::move(arguments));
    }
};

response ok(std::string body)
{
    return adapters::http::json_response(200, std::move(body));
}

response refusal(core::common::result_code code)
{
    return adapters::http::failure_response({code, "here", "so"});
}

response accept_and_report(request const& message)
{
    if (message.target.starts_with("/v1/revisions/"))
    {
        return ok(R"({"revision":7,"in_force":true,"waiting_for":[]})");
    }
    return ok(R"({"revision":7})");
}

} // namespace

TEST_F(fuchsiactl, prints_the_accepted_revision_and_waits_until_in_force)
{
    scripted_planner planner(accept_and_report);
    auto const end = run_with({planner.address()},
                              {"contract",
                               "put",
                               file("c.json", mill_contract),
                               "--wait",
                               "--if-revision",
                               "6"});
    EXPECT_EQ(end.status, 0) << end.error;
    EXPECT_THAT(end.out, HasSubstr("contract mill: accepted as revision 7"));
    EXPECT_THAT(end.out, HasSubstr("revision 7: in force everywhere"));
    auto const requests = planner.requests();
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(requests[0].method, "PUT");
    EXPECT_EQ(requests[0].target, "/v1/contracts/mill?if-revision=6");
    EXPECT_EQ(requests[0].body, mill_contract);
    EXPECT_EQ(requests[0].header("Authorization"), "Bearer 0123456789abcdef");
    EXPECT_EQ(requests[1].target, "/v1/revisions/7");
}

TEST_F(fuchsiactl, lists_members_that_have_not_reported_after_the_timeout)
{
    scripted_planner planner(
        [](request const& message)
        {
            return message.method == "GET"
                       ? ok(R"({"revision":7,"in_force":false,"waiting_for":[)"
                            R"({"role":"entry","name":"entry-b-2",)"
                            R"("data_centre":"thrissur-b","revision":6}]})")
                       : ok(R"({"revision":7})");
        });
    std::vector<std::string> const arguments{
        "data-centre", "out", "kochi-a", "--wait", "--timeout", "1"};
    auto const end = run_with({planner.address()}, arguments);
    EXPECT_EQ(end.status, 4);
    EXPECT_THAT(end.error, HasSubstr("entry-b-2"));

    auto scripted = arguments;
    scripted.emplace_back("--json");
    auto const json = run_with({planner.address()}, scripted);
    EXPECT_EQ(json.status, 4);
    EXPECT_THAT(json.out, HasSubstr(R"("in_force":false)"));
    EXPECT_THAT(json.out, HasSubstr(R"("name":"entry-b-2")"));
}

struct answer_case
{
    char const* name;
    response answer;
    int status;
    char const* error;
};

// Scripts decide by the exit status alone whether to go on, to check the
// outcome, or to alert an operator.
TEST_F(fuchsiactl, exit_status_distinguishes_refused_from_unknown)
{
    using core::common::result_code;
    auto conflict = refusal(result_code::conflict);
    conflict.body.insert(1, R"("revision":9,)");
    std::vector<answer_case> const cases{
        {"accepted", ok(R"({"revision":7})"), 0, ""},
        {"conflict",
         conflict,
         1,
         "4003 conflict at here: so (newest revision: 9)"},
        {"bad contract", refusal(result_code::out_of_range), 1, "1009"},
        {"bad token", refusal(result_code::bad_token), 1, "5003"},
        {"store away", refusal(result_code::store_unavailable), 1, "4001"},
        {"no header",
         adapters::http::json_response(404, R"({"code":4004})"),
         1,
         "4004"},
        {"no header, unclear",
         adapters::http::json_response(504, R"({"code":4002})"),
         3,
         "4002"},
        {"store unclear", refusal(result_code::store_unclear), 3, "4002"},
        {"no json", ok("<html>"), 3, "1004"},
        {"no json refusal", {500, {}, "oops"}, 3, "HTTP status 500"},
    };
    for (auto const& test_case : cases)
    {
        scripted_planner planner(
            [&test_case](request const&)
            {
                return test_case.answer;
            });
        auto const end =
            run_with({planner.address()},
                     {"contract", "put", file("c.json", mill_contract)});
        EXPECT_EQ(end.status, test_case.status) << test_case.name;
        EXPECT_THAT(end.error, HasSubstr(test_case.error)) << test_case.name;
    }
}

TEST_F(fuchsiactl, a_failed_read_is_refused_not_unknown)
{
    scripted_planner planner(
        [](request const&)
        {
            return response{500, {}, "oops"};
        });
    EXPECT_EQ(run_with({planner.address()}, {"status"}).status, 1);
}

TEST_F(fuchsiactl, tries_the_next_planner_if_one_did_nothing)
{
    scripted_planner cut_off(
        [](request const&)
        {
            return refusal(core::common::result_code::store_unavailable);
        });
    scripted_planner planner(accept_and_report);
    auto const end =
        run_with({unused_address(), cut_off.address(), planner.address()},
                 {"contract", "withdraw", "mill"});
    EXPECT_EQ(end.status, 0) << end.error;
    EXPECT_EQ(planner.requests().size(), 1U);
    EXPECT_EQ(planner.requests()[0].method, "DELETE");

    auto const unreachable =
        run_with({unused_address(), unused_address()}, {"contract", "list"});
    EXPECT_EQ(unreachable.status, 1);
    EXPECT_THAT(unreachable.error, HasSubstr("no planner can be reached"));
}

// The planner crashes after it received a change. Sending the change again
// could undo a later change by another operator, so the operator has to decide.
TEST_F(fuchsiactl, a_change_whose_answer_was_lost_is_not_sent_again)
{
    closing_planner closing;
    scripted_planner planner(accept_and_report);
    std::vector<std::string> const both{closing.address(), planner.address()};

    auto const change = run_with(both, {"data-centre", "in", "kochi-a"});
    EXPECT_EQ(change.status, 3);
    EXPECT_THAT(change.error, HasSubstr("outcome unknown"));
    EXPECT_TRUE(planner.requests().empty());

    EXPECT_EQ(run_with(both, {"contract", "list"}).status, 0)
        << "a read must be sent again";
    EXPECT_EQ(run_with(both, {"job", "cancel", "j-1"}).status, 0)
        << "a cancellation is idempotent and must be sent again";
}

TEST_F(fuchsiactl, a_refused_retry_after_a_lost_answer_is_unknown)
{
    closing_planner closing;
    scripted_planner planner(
        [](request const&)
        {
            return refusal(core::common::result_code::store_unavailable);
        });
    auto const end = run_with({closing.address(), planner.address()},
                              {"job", "cancel", "j-1"});
    EXPECT_EQ(end.status, 3);
}

TEST_F(fuchsiactl, lists_are_printed_as_tables_or_as_the_json_of_the_planner)
{
    constexpr auto* body =
        R"({"revision":12,"confirmed_ms_ago":40,"contracts":[)"
        R"({"customer":"estate-owners","millicores":64000},)"
        R"({"customer":"mill","millicores":500}],"withdrawn":["shop"],)"
        R"("changed_at":{"mill":3}})";
    scripted_planner planner(
        [=](request const&)
        {
            return ok(body);
        });
    auto const end = run_with({planner.address()}, {"contract", "list"});
    EXPECT_THAT(end.out, HasSubstr("CUSTOMER       MILLICORES"));
    EXPECT_THAT(end.out, HasSubstr("estate-owners       64000"));
    EXPECT_THAT(end.out, HasSubstr("withdrawn: shop"));
    EXPECT_THAT(end.out,
                HasSubstr("revision 12, confirmed by the store 40 ms"));
    auto const json =
        run_with({planner.address()}, {"contract", "list", "--json"});
    EXPECT_EQ(json.out, std::string(body) + "\n");
}

TEST_F(fuchsiactl, every_command_requests_its_path)
{
    scripted_planner planner(
        [](request const& message)
        {
            return message.target.starts_with("/v1/contracts/")
                       ? ok(R"({"revision":1,"contract":{}})")
                       : ok("{}");
        });
    std::vector<std::pair<std::vector<std::string>, std::string>> const cases{
        {{"contract", "show", "mill"}, "GET /v1/contracts/mill"},
        {{"contract", "list"}, "GET /v1/contracts"},
        {{"contract", "withdraw", "mill"}, "DELETE /v1/contracts/mill"},
        {{"data-centre", "out", "a"}, "PUT /v1/data-centres/a"},
        {{"data-centre", "in", "a", "--new"},
         "PUT /v1/data-centres/a?new=true"},
        {{"data-centre", "list"}, "GET /v1/data-centres"},
        {{"job", "show", "j-1"}, "GET /v1/jobs/j-1"},
        {{"job", "list"}, "GET /v1/jobs"},
        {{"job", "list", "--state", "running"}, "GET /v1/jobs?state=running"},
        {{"job", "cancel", "j/1"}, "DELETE /v1/jobs/j%2F1"},
        {{"status"}, "GET /v1/status"},
        {{"member", "remove", "entry", "e-1", "--gone"},
         "DELETE /v1/members/entry/e-1"},
    };
    for (auto const& [arguments, expected] : cases)
    {
        auto const end = run_with({planner.address()}, arguments);
        EXPECT_EQ(end.status, 0) << expected << end.error;
        auto const last = planner.requests().back();
        EXPECT_EQ(last.method + " " + last.target, expected);
    }
}

TEST_F(fuchsiactl, usage_errors_send_no_request)
{
    scripted_planner planner(accept_and_report);
    std::vector<std::vector<std::string>> const cases{
        {},
        {"contract"},
        {"contract", "put"},
        {"contract", "show", "Mill"},
        {"contract", "list", "--colour"},
        {"data-centre", "out"},
        {"data-centre", "out", "a/b"},
        {"data-centre", "out", "a", "--timeout", "0"},
        {"data-centre", "out", "a", "--if-revision", "-1"},
        {"member", "remove", "entry", "e-1"},
        {"member", "remove", "worker", "e-1", "--gone"},
        {"settings", "check", "fuchsia-nothing", "x.toml"},
    };
    for (auto const& arguments : cases)
    {
        auto const end = run_with({planner.address()}, arguments);
        EXPECT_EQ(end.status, 2) << testing::PrintToString(arguments);
        EXPECT_FALSE(end.error.empty());
    }
    EXPECT_EQ(run({"contract", "list"}).status, 2) << "no settings";
    EXPECT_EQ(run({"--settings", "/none", "contract", "list"}).status, 2);
    EXPECT_TRUE(planner.requests().empty());
}

TEST_F(fuchsiactl, invalid_files_are_refused_without_a_request)
{
    scripted_planner planner(accept_and_report);
    std::vector<std::pair<std::string, std::string>> const cases{
        {"{", "1004"}, {"{}", "1008"}, {R"({"customer":1})", "1017"}};
    for (auto const& [text, code] : cases)
    {
        for (char const* kind : {"contract", "job"})
        {
            auto const end =
                run_with({planner.address()},
                         {kind,
                          kind == std::string("job") ? "submit" : "put",
                          file("bad.json", text)});
            EXPECT_EQ(end.status, 1) << kind << text;
        }
    }
    EXPECT_THAT(
        run_with({planner.address()}, {"contract", "put", "/none"}).error,
        HasSubstr("1016"));
    EXPECT_TRUE(planner.requests().empty());
}

TEST_F(fuchsiactl, settings_check_reports_the_line)
{
    auto const good = settings({"127.0.0.1:1"});
    EXPECT_EQ(run({"settings", "check", "fuchsiactl", good}).status, 0);
    auto const token = file("token", "0123456789abcdef");
    std::vector<std::pair<std::string, std::string>> const cases{
        {"planners = [\"kochi:1\"]\ntoken_file = \"" + token + "\"\n", ":1"},
        {"token_file = \"" + token + "\"\n", "planners"},
        {"planners = [\"127.0.0.1:1\"]\ntoken_file = \"/none\"\n", ":2"},
        {"planners = [\"127.0.0.1:1\"]\ntoken_file = \"" + token +
             "\"\ntimeout_ms = 1\n",
         ":3"},
        {"planners = [\"127.0.0.1:1\"]\ntoken_file = \"" + token +
             "\"\ncolour = 1\n",
         "colour"},
        {"planners = [", "1003"},
    };
    for (auto const& [text, where] : cases)
    {
        auto const end =
            run({"settings", "check", "fuchsiactl", file("bad.toml", text)});
        EXPECT_EQ(end.status, 1) << text;
        EXPECT_THAT(end.error, HasSubstr(where)) << text;
    }
    for (char const* binary : {"fuchsia-entry", "fuchsia-planner"})
    {
        EXPECT_EQ(run({"settings", "check", binary, good}).status, 1);
    }
}

TEST_F(fuchsiactl, help_and_version_are_printed)
{
    EXPECT_THAT(run({"--help"}).out, HasSubstr("Examples:"));
    EXPECT_EQ(run({"--help"}).status, 0);
    EXPECT_EQ(run({"contract", "put", "--help"}).status, 0);
    EXPECT_THAT(run({"--version"}).out, HasSubstr("."));
}

// One instance of the pool is down and another does not own it. The status
// shows both and the owner's epoch; queries about jobs are answered by the
// owner.
TEST_F(fuchsiactl, pool_queries_report_the_owner_and_unreachable_instances)
{
    scripted_planner other_instance(
        [](request const& message)
        {
            return message.target == "/v1/pool"
                       ? response{200, {}, R"({"name":"b","owner":false})"}
                       : refusal(core::common::result_code::owner_unreachable);
        });
    scripted_planner owner(
        [](request const& message) -> response
        {
            return message.target == "/v1/pool"
                       ? response{200,
                                  {},
                                  R"({"name":"a","owner":true,"epoch":42})"}
                       : response{200,
                                  {},
                                  R"({"id":"j1","tasks":[],"waiting":[
{"step":0,"ready":3,"workers_by_obstacle":{"room":48}}]})"};
        });
    auto const unreachable_address = unused_address();
    auto const settings_file = file("pool.toml",
                                    "pools = [\"" + unreachable_address +
                                        "\", \"" + other_instance.address() +
                                        "\", \"" + owner.address() + "\"]\n");
    auto const status = run({"--settings", settings_file, "pool", "status"});
    EXPECT_EQ(status.status, 0) << status.error;
    EXPECT_THAT(status.out, HasSubstr("42"));
    EXPECT_THAT(status.error,
                HasSubstr("no answer from " + unreachable_address));

    auto const job = run({"--settings", settings_file, "pool", "job", "j1"});
    EXPECT_EQ(job.status, 0) << job.error;
    EXPECT_THAT(job.out, HasSubstr("room"));
    EXPECT_EQ(owner.requests().back().target, "/v1/pool/jobs/j1");
    EXPECT_EQ(
        owner.requests().back().header("Authorization").value_or("Bearer"),
        "Bearer");

    auto const none =
        run({"--settings",
             file("none.toml", "pools = [\"" + unreachable_address + "\"]\n"),
             "pool",
             "workers"});
    EXPECT_EQ(none.status, 1);
    EXPECT_THAT(none.error,
                HasSubstr("no instance of the pool can be reached"));
}

// A deployment may have only planners or only a pool, so that commands for the
// other one can't be run.
TEST_F(fuchsiactl, commands_without_the_instances_they_need_are_refused)
{
    auto const planners = run_with({unused_address()}, {"pool", "status"});
    EXPECT_EQ(planners.status, 2);
    EXPECT_THAT(planners.error, HasSubstr("pools"));
    auto const pools =
        run({"--settings",
             file("pool.toml", "pools = [\"" + unused_address() + "\"]\n"),
             "contract",
             "list"});
    EXPECT_EQ(pools.status, 2);
    EXPECT_THAT(pools.error, HasSubstr("no planner"));
}
