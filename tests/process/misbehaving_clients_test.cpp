#include "adapters/http/client.hpp"
#include "process/child.hpp"
#include "process/crowd.hpp"
#include "process/own_address.hpp"
#include "process/process_usage.hpp"
#include "process/wait_until.hpp"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <filesystem>

#include <fstream>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <vector>

// Tests of a pool instance whose clients keep to no limit. Its machine is
// smaller than any on the platform, so that a small crowd is enough.
using namespace fuchsia;
using namespace std::chrono_literals;
using tests::process::child;
using tests::process::client_script;
using tests::process::crowd;
using tests::process::largest_memory_kb;
using tests::process::open_descriptors;
using tests::process::wait_until;

namespace
{

/// Memory of the machine: a fifth of that of the platform's smallest.
constexpr std::uint64_t machine_memory_mb = 32;
/// Descriptors of the machine: a twentieth of the platform's.
constexpr std::uint64_t machine_descriptors = 200;
/// A quarter of the descriptors stays for files and for the instance's own
/// calls.
constexpr std::uint64_t max_open_descriptors = machine_descriptors * 3 / 4;

constexpr std::size_t megabyte = 1'000'000;
/// Size of each repeated part of what a client sends.
constexpr std::size_t part_bytes = 50'000;
/// Clients, and bytes of each, of the crowds that end no message.
constexpr std::size_t endless_clients = 8;
constexpr std::size_t endless_bytes = 4 * megabyte;
constexpr std::size_t large_body_clients = 40;
/// Clients of the crowds that use up the descriptors.
constexpr std::size_t many_clients = 100;

constexpr char const* one_task =
    R"({"taskSpec":"work=100","steps":[{"count":1,"cpu":1000,"memMb":100,)"
    R"("estimateMs":100}]})";

std::string head_of_chunked_request()
{
    return "POST /jobs/00000000000000c1 HTTP/1.1\r\nHost: jobs.example\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string repeated_to_part(std::string const& text)
{
    std::string result;
    while (result.size() < part_bytes)
    {
        result += text;
    }
    return result;
}

client_script endless(std::string opening, std::string const& text)
{
    return {std::move(opening),
            repeated_to_part(text),
            endless_bytes / part_bytes,
            true};
}

class misbehaving_clients : public testing::Test
{
protected:
    misbehaving_clients()
        : folder_(std::filesystem::temp_directory_path() /
                  ("fuchsia-crowd-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder_);
        auto const worker = tests::process::next_loopback_port();
        write("standin.toml",
              "store = \"" + text_of(store_) + "\"\nfirst_worker_port = " +
                  std::to_string(worker) + "\nworkers = 1\n");
        standin_.emplace("fuchsia-standin",
                         std::vector<std::string>{
                             "pool", "--settings", path("standin.toml")},
                         path("standin.log"));
        write("pool.toml",
              "name = \"pool\"\ndata_centre = \"a\"\nsubmissions = \"" +
                  text_of(submissions_) + "\"\nreadiness = \"" +
                  text_of(readiness_) + "\"\nmetrics = \"" + text_of(metrics_) +
                  "\"\nstore = \"" + text_of(store_) +
                  "\"\n[machine]\nmemory_mb = " +
                  std::to_string(machine_memory_mb) + "\ndescriptors = " +
                  std::to_string(machine_descriptors) + "\n");
        pool_.emplace("fuchsia-pool",
                      std::vector<std::string>{"--settings", path("pool.toml")},
                      path("pool.log"));
        rlimit const descriptors{machine_descriptors, machine_descriptors};
        prlimit(pool_->id(), RLIMIT_NOFILE, &descriptors, nullptr);
    }

    ~misbehaving_clients() override
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    void SetUp() override
    {
        ASSERT_TRUE(ready()) << log();
        ASSERT_TRUE(serves("00000000000000a1")) << log();
    }

    /// Sends a crowd to each of the pool's three servers, and keeps it.
    void send_crowds(std::size_t clients, client_script const& script)
    {
        for (auto const& server : {submissions_, readiness_, metrics_})
        {
            crowds_.push_back(std::make_unique<crowd>(server, clients, script));
        }
        for (auto const& crowd : crowds_)
        {
            crowd->send();
        }
    }

    /// Checks what must hold while the crowds are still connected.
    void expect_pool_holds()
    {
        report();
        ASSERT_TRUE(pool_->running()) << log();
        EXPECT_LE(largest_memory_kb(pool_->id()) + unread_kb(),
                  machine_memory_mb * 1000);
        EXPECT_LE(open_descriptors(pool_->id()), max_open_descriptors);
        EXPECT_TRUE(ready());
        EXPECT_TRUE(serves("00000000000000a2"));
        EXPECT_TRUE(operators_are_answered());
        ASSERT_TRUE(pool_->running()) << log();
        EXPECT_LE(open_descriptors(pool_->id()), max_open_descriptors);
        EXPECT_LE(largest_memory_kb(pool_->id()), machine_memory_mb * 1000);
        report();
        pool_->signal(SIGTERM);
        EXPECT_EQ(pool_->wait(), 0);
    }

private:
    /// Prints the figures, which a report of a failure needs.
    void report()
    {
        RecordProperty("largest_memory_kb",
                       std::to_string(largest_memory_kb(pool_->id())));
        std::printf("largest memory %s KB, unread input %s KB, "
                    "%s open descriptors\n",
                    std::to_string(largest_memory_kb(pool_->id())).c_str(),
                    std::to_string(unread_kb()).c_str(),
                    std::to_string(open_descriptors(pool_->id())).c_str());
    }

    /// Returns what was received for the pool and not read, which the
    /// platform counts as its memory.
    std::uint64_t unread_kb() const
    {
        std::uint64_t result = 0;
        for (auto const& server : {submissions_, readiness_, metrics_})
        {
            result += tests::process::unread_bytes(server) / 1000;
        }
        return result;
    }

    bool ready()
    {
        return wait_until(
            [this]
            {
                return send(readiness_, "GET", "/readyz", "").status == 200;
            });
    }

    /// Submits a job with one task and waits until it has run.
    bool serves(std::string const& id)
    {
        auto const target = "/jobs/" + id;
        return wait_until(
                   [&]
                   {
                       return send(submissions_, "POST", target, one_task)
                                  .status == 200;
                   }) &&
               wait_until(
                   [&]
                   {
                       return send(submissions_, "GET", target, "")
                                  .body.find("completed") != std::string::npos;
                   });
    }

    bool operators_are_answered()
    {
        return wait_until(
            [this]
            {
                return send(metrics_, "GET", "/v1/pool", "").status == 200;
            });
    }

    std::string log() const
    {
        std::ifstream file(path("pool.log"));
        return {std::istreambuf_iterator<char>(file), {}};
    }

    static ports::endpoint next_endpoint()
    {
        return {tests::process::process_loopback_address(),
                tests::process::next_loopback_port()};
    }

    static std::string text_of(ports::endpoint const& value)
    {
        return value.address + ":" + std::to_string(value.port);
    }

    std::string path(std::string const& name) const
    {
        return (folder_ / name).string();
    }

    void write(std::string const& name, std::string const& text) const
    {
        std::ofstream(path(name)) << text;
    }

    static adapters::http::response send(ports::endpoint const& server,
                                         std::string const& method,
                                         std::string const& target,
                                         std::string const& body)
    {
        boost::asio::io_context io;
        adapters::http::client client(io, {});
        adapters::http::client_call call;
        call.remote_endpoint = server;
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
        io.run_for(5s);
        return answer;
    }

    std::filesystem::path folder_;
    ports::endpoint store_ = next_endpoint();
    ports::endpoint submissions_ = next_endpoint();
    ports::endpoint readiness_ = next_endpoint();
    ports::endpoint metrics_ = next_endpoint();
    std::optional<child> standin_;
    std::optional<child> pool_;
    std::vector<std::unique_ptr<crowd>> crowds_;
};

} // namespace

// Guards against a process that runs out of memory on trailer fields without
// end behind the last chunk.
TEST_F(misbehaving_clients, trailers_without_end)
{
    send_crowds(
        endless_clients,
        endless(head_of_chunked_request() + "0\r\n", "a: bbbbbbbb\r\n"));
    expect_pool_holds();
}

// Guards against a process that runs out of memory on a chunk extension without
// end.
TEST_F(misbehaving_clients, chunk_extension_without_end)
{
    send_crowds(endless_clients,
                endless(head_of_chunked_request() + "1;a=", "b"));
    expect_pool_holds();
}

// Guards against a process that runs out of memory on a chunk size with leading
// zeros without end.
TEST_F(misbehaving_clients, zeros_before_a_chunk_size_without_end)
{
    send_crowds(endless_clients, endless(head_of_chunked_request(), "0"));
    expect_pool_holds();
}

// Guards against a process whose connections each keep to the limit of a body
// while their sum exceeds the machine's memory.
TEST_F(misbehaving_clients, many_large_bodies_held_just_before_their_end)
{
    send_crowds(large_body_clients,
                {"POST /jobs/00000000000000c1 HTTP/1.1\r\nHost: jobs.example"
                 "\r\nContent-Length: " +
                     std::to_string(megabyte + 1) + "\r\n\r\n",
                 std::string(part_bytes, ' '),
                 megabyte / part_bytes,
                 true});
    expect_pool_holds();
}

// Guards against header fields that take far more memory than their bytes.
TEST_F(misbehaving_clients, thousands_of_header_fields_before_an_open_body)
{
    std::string head = "POST /jobs/00000000000000c1 HTTP/1.1\r\n"
                       "Content-Length: 10\r\n";
    constexpr int fields = 3000;
    for (int number = 0; number < fields; ++number)
    {
        head += "a:\r\n";
    }
    send_crowds(many_clients, {head + "\r\n", "", 0, true});
    expect_pool_holds();
}

// Guards against idle connections that leave no descriptor for callers, the
// readiness check and the store.
TEST_F(misbehaving_clients, idle_connections_beyond_the_descriptors)
{
    send_crowds(many_clients, {"G", "", 0, true});
    expect_pool_holds();
}

// Guards against clients that send requests and never read an answer: each
// would keep a connection and an answer for ever.
TEST_F(misbehaving_clients, answers_that_are_never_read)
{
    constexpr std::size_t parts = 4;
    send_crowds(many_clients,
                {"",
                 repeated_to_part("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"),
                 parts,
                 false});
    expect_pool_holds();
}

// Guards against input behind a request whose answer isn't read: the system
// holds it for the process.
TEST_F(misbehaving_clients, much_input_behind_answers_that_are_never_read)
{
    constexpr std::size_t parts = 40;
    send_crowds(many_clients,
                {"",
                 repeated_to_part("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"),
                 parts,
                 false});
    expect_pool_holds();
}
