#include "adapters/http/client.hpp"
#include "process/child.hpp"
#include "process/own_address.hpp"
#include "process/wait_until.hpp"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

// Tests of three real pool instances with the platform's stand-in.
using namespace fuchsia;
using namespace std::chrono_literals;
using tests::process::child;
using tests::process::wait_until;

namespace
{

constexpr std::size_t instances = 3;
constexpr char const* job_of_four =
    R"({"taskSpec":"work=1500","steps":[{"count":4,"cpu":1000,"memMb":100,)"
    R"("estimateMs":1500},{"count":4,"cpu":1000,"memMb":100,)"
    R"("estimateMs":1500,"after":[0]}]})";

class deployment
{
public:
    deployment()
        : folder_(std::filesystem::temp_directory_path() /
                  ("fuchsia-pool-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder_);
        store_port_ = tests::process::next_loopback_port();
        auto const first_worker = tests::process::next_loopback_port();
        constexpr int workers = 4;
        for (int reserved = 1; reserved < workers; ++reserved)
        {
            tests::process::next_loopback_port();
        }
        write("standin.toml",
              "store = \"" + endpoint(store_port_) +
                  "\"\nfirst_worker_port = " + std::to_string(first_worker) +
                  "\nworkers = " + std::to_string(workers) + "\n");
        standins_.emplace_back("fuchsia-standin",
                               std::vector<std::string>{
                                   "pool", "--settings", path("standin.toml")},
                               path("standin.log"));
        for (std::size_t number = 0; number < instances; ++number)
        {
            submissions_.push_back(tests::process::next_loopback_port());
            readiness_.push_back(tests::process::next_loopback_port());
            metrics_.push_back(tests::process::next_loopback_port());
            start(number);
        }
    }

    ~deployment()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    void start(std::size_t number)
    {
        auto const name = "pool-" + std::to_string(number);
        write(name + ".toml",
              "name = \"" + name + "\"\ndata_centre = \"a\"\nsubmissions = \"" +
                  endpoint(submissions_[number]) + "\"\nreadiness = \"" +
                  endpoint(readiness_[number]) + "\"\nmetrics = \"" +
                  endpoint(metrics_[number]) + "\"\nstore = \"" +
                  endpoint(store_port_) + "\"\n");
        children_.emplace_back(
            "fuchsia-pool",
            std::vector<std::string>{"--settings", path(name + ".toml")},
            path(name + ".log"));
        running_.resize(instances);
        running_[number] = &children_.back();
    }

    child& instance(std::size_t number)
    {
        return *running_[number];
    }

    adapters::http::response
    submit(std::size_t number, std::string const& id, std::string const& body)
    {
        return send_request(submissions_[number], "POST", "/jobs/" + id, body);
    }

    std::string state(std::size_t number, std::string const& id)
    {
        return send_request(submissions_[number], "GET", "/jobs/" + id, "")
            .body;
    }

    bool ready(std::size_t number)
    {
        return send_request(readiness_[number], "GET", "/readyz", "").status ==
               200;
    }

    bool owns(std::size_t number)
    {
        return operator_view(number, "/v1/pool").find("\"owner\":true") !=
               std::string::npos;
    }

    /// Returns the body of an operator's request to the metrics port.
    std::string operator_view(std::size_t number, std::string const& target)
    {
        return send_request(metrics_[number], "GET", target, "").body;
    }

    std::string counts()
    {
        return send_request(store_port_, "GET", "/control/counts", "").body;
    }

private:
    std::string endpoint(std::uint16_t port) const
    {
        return tests::process::process_loopback_address() + ":" +
               std::to_string(port);
    }

    std::string path(std::string const& name) const
    {
        return (folder_ / name).string();
    }

    void write(std::string const& name, std::string const& text) const
    {
        std::ofstream(path(name)) << text;
    }

    static adapters::http::response send_request(std::uint16_t port,
                                                 std::string const& method,
                                                 std::string const& target,
                                                 std::string const& body)
    {
        boost::asio::io_context io;
        adapters::http::client client(io, {});
        adapters::http::client_call call;
        call.remote_endpoint = {tests::process::process_loopback_address(),
                                port};
        call.message = {method, target, {{"Host", "jobs.example"}}, body, ""};
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

    std::filesystem::path folder_;
    std::uint16_t store_port_ = 0;
    std::vector<std::uint16_t> submissions_;
    std::vector<std::uint16_t> readiness_;
    std::vector<std::uint16_t> metrics_;
    std::deque<child> standins_;
    std::deque<child> children_;
    std::vector<child*> running_;
};

std::size_t wait_for_owner(deployment& system)
{
    std::size_t owner = instances;
    wait_until(
        [&system, &owner]
        {
            for (std::size_t number = 0; number < instances; ++number)
            {
                if (system.owns(number))
                {
                    owner = number;
                }
            }
            return owner < instances;
        });
    return owner;
}

bool no_violation_counted(std::string const& counts)
{
    return counts.find("\"two_places\":0") != std::string::npos &&
           counts.find("\"after_done\":0") != std::string::npos;
}

} // namespace

// The owner is killed with SIGKILL while tasks run. The other instances must
// keep accepting jobs and one must take over, without losing a task or running
// it twice.
TEST(pool_process, killed_owner_is_replaced_and_every_task_runs_once)
{
    deployment system;
    auto const owner = wait_for_owner(system);
    ASSERT_LT(owner, instances);
    auto const other = (owner + 1) % instances;
    ASSERT_TRUE(wait_until(
        [&]
        {
            return system.ready(other);
        }));
    EXPECT_EQ(system.submit(other, "00000000000000a1", job_of_four).status,
              200);
    ASSERT_TRUE(wait_until(
        [&]
        {
            return system.counts().find("\"starts\":4") != std::string::npos;
        }));
    EXPECT_NE(system.operator_view(owner, "/v1/pool/jobs/00000000000000a1")
                  .find("\"tasks\":[{"),
              std::string::npos);
    EXPECT_NE(system.operator_view(other, "/v1/pool").find("\"owner\":false"),
              std::string::npos);
    EXPECT_NE(system.operator_view(other, "/v1/pool/workers")
                  .find("owner_unreachable"),
              std::string::npos);
    system.instance(owner).kill();
    EXPECT_EQ(system.submit(other, "00000000000000a2", job_of_four).status,
              200);
    for (auto const* id : {"00000000000000a1", "00000000000000a2"})
    {
        EXPECT_TRUE(wait_until(
            [&]
            {
                return system.state(other, id).find("completed") !=
                       std::string::npos;
            }))
            << id << ' ' << system.state(other, id);
    }
    EXPECT_TRUE(no_violation_counted(system.counts())) << system.counts();
    EXPECT_NE(system.counts().find("\"starts\":16"), std::string::npos)
        << system.counts();
}

// Every instance is stopped and restarted in turn, as during maintenance. Each
// must exit with status 0, and no task may be lost or run twice.
TEST(pool_process, rolling_restart_loses_no_task)
{
    deployment system;
    ASSERT_LT(wait_for_owner(system), instances);
    ASSERT_TRUE(wait_until(
        [&]
        {
            return system.ready(0);
        }));
    EXPECT_EQ(system.submit(0, "00000000000000b1", job_of_four).status, 200);
    for (std::size_t number = 0; number < instances; ++number)
    {
        system.instance(number).signal(SIGTERM);
        EXPECT_EQ(system.instance(number).wait(), 0);
        system.start(number);
        ASSERT_TRUE(wait_until(
            [&]
            {
                return system.ready(number);
            }));
    }
    EXPECT_TRUE(wait_until(
        [&]
        {
            return system.state(0, "00000000000000b1").find("completed") !=
                   std::string::npos;
        }));
    EXPECT_TRUE(no_violation_counted(system.counts())) << system.counts();
}
