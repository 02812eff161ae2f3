#include "process/entry_deployment.hpp"

#include "process/own_address.hpp"

#include "core/claims/assignment.hpp"
#include "core/common/hash.hpp"
#include "core/common/json.hpp"
#include "core/config/index.hpp"
#include "core/contracts/contract.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <fstream>
#include <gtest/gtest.h>

namespace fuchsia::tests::process
{

namespace
{

namespace beast = boost::beast;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto call_limit = 30s;
constexpr std::int64_t partitions = core::common::partition_count;
constexpr char const* customer = "estate-owners";

std::string address(std::uint16_t port)
{
    return "\"" + process_loopback_address() + ":" + std::to_string(port) +
           "\"";
}

} // namespace

std::optional<adapters::http::response>
call(std::uint16_t port,
     std::string const& method,
     std::string const& target,
     std::vector<ports::header> const& headers,
     std::string const& body)
{
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    beast::flat_buffer buffer;
    beast::http::request<beast::http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.set("Host", "127.0.0.1");
    for (auto const& field : headers)
    {
        request.set(field.name, field.value);
    }
    request.body() = body;
    request.prepare_payload();
    beast::http::response<beast::http::string_body> response;
    bool complete = false;
    stream.expires_after(call_limit);
    stream.async_connect(
        tcp::endpoint(boost::asio::ip::make_address(process_loopback_address()),
                      port),
        [&](beast::error_code connect_error)
        {
            if (connect_error)
            {
                return;
            }
            beast::http::async_write(
                stream,
                request,
                [&](beast::error_code write_error, std::size_t)
                {
                    if (write_error)
                    {
                        return;
                    }
                    beast::http::async_read(
                        stream,
                        buffer,
                        response,
                        [&](beast::error_code read_error, std::size_t)
                        {
                            complete = !read_error;
                        });
                });
        });
    io.run();
    if (!complete)
    {
        return std::nullopt;
    }
    adapters::http::response result;
    result.status = static_cast<std::uint16_t>(response.result_int());
    for (auto const& field : response)
    {
        result.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    result.body = response.body();
    return result;
}

std::string header_of(std::optional<adapters::http::response> const& response,
                      std::string_view name)
{
    return response ? std::string(response->header(name).value_or("")) : "";
}

bool is_own(std::optional<adapters::http::response> const& response,
            std::string const& token)
{
    return response && response->body.starts_with(token + "\n") &&
           response->body.ends_with("\n" + token);
}

entry_deployment::entry_deployment(std::string const& name)
    : folder_(std::filesystem::temp_directory_path() /
              ("fuchsia-" + name + "-" + std::to_string(getpid()))),
      platform_port_(next_loopback_port()),
      upstreams_port_(next_loopback_port()), running_(entries)
{
    for (std::size_t number = 0; number < entries; ++number)
    {
        entry_ports_.push_back(next_loopback_port());
        peer_ports_.push_back(next_loopback_port());
    }
    std::filesystem::create_directories(folder_);
    write_settings();
    for (std::string const part : {"platform", "upstreams"})
    {
        standins_.emplace_back(
            "fuchsia-standin",
            std::vector<std::string>{
                part, "--settings", folder_ / (part + ".toml")},
            folder_ / (part + ".log"));
    }
    bool const up = wait_until(
        [this]
        {
            return call(platform_port_, "GET", "/control/counts") &&
                   call(upstreams_port_, "GET", "/control/counts");
        });
    write_contract();
    for (std::size_t number = 0; number < entries; ++number)
    {
        start_entry(number);
    }
    is_ready = up && wait_until(
                         [this]
                         {
                             bool const all_ready =
                                 ready(0) && ready(1) && ready(2);
                             auto const served = bid(0, "probe", 1, "T");
                             return all_ready && owns_as_assigned() &&
                                    is_own(served, "T");
                         });
}

bool entry_deployment::owns_as_assigned() const
{
    std::vector<std::string> names;
    std::vector<std::int64_t> assigned_counts(entries, 0);
    for (std::size_t number = 0; number < entries; ++number)
    {
        names.push_back("entry-" + std::to_string(number));
    }
    std::vector<std::string> partition_names;
    for (std::int64_t at = 0; at < partitions; ++at)
    {
        partition_names.push_back(std::to_string(at));
    }
    std::sort(partition_names.begin(), partition_names.end());
    core::claims::partition_assignment shares;
    shares.update(partition_names, names);
    for (auto const& partition : partition_names)
    {
        auto const* owner = shares.assigned_owner(partition);
        auto const at = std::find(names.begin(), names.end(), *owner);
        ++assigned_counts[static_cast<std::size_t>(at - names.begin())];
    }
    for (std::size_t number = 0; number < entries; ++number)
    {
        auto const metrics = call(entry_ports_[number], "GET", "/metrics");
        auto const line = "\nfuchsia_claims_owned " +
                          std::to_string(assigned_counts[number]) + "\n";
        if (!metrics || metrics->body.find(line) == std::string::npos)
        {
            return false;
        }
    }
    return true;
}

entry_deployment::~entry_deployment()
{
    running_.clear();
    standins_.clear();
    // Keeps the logs if the deployment did not become ready or the test failed.
    if (is_ready && !testing::Test::HasFailure())
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

void entry_deployment::start_entry(std::size_t number)
{
    auto const name = "entry-" + std::to_string(number);
    running_[number].reset();
    running_[number].emplace(
        "fuchsia-entry",
        std::vector<std::string>{"--settings", folder_ / (name + ".toml")},
        folder_ / (name + ".log"));
}

std::uint16_t entry_deployment::port(std::size_t number) const
{
    return entry_ports_.at(number);
}

child& entry_deployment::entry(std::size_t number)
{
    return *running_[number];
}

bool entry_deployment::ready(std::size_t number) const
{
    auto const response = call(entry_ports_[number], "GET", "/readyz");
    return response && response->status == 200;
}

std::optional<adapters::http::response>
entry_deployment::bid(std::size_t entry,
                      std::string const& key,
                      std::uint32_t attempt,
                      std::string const& token) const
{
    return call(entry_ports_[entry],
                "POST",
                "/bids",
                {{"Fuchsia-Customer", customer},
                 {"Fuchsia-Deadline-Ms", "3000"},
                 {"Idempotency-Key", key},
                 {"Fuchsia-Attempt", std::to_string(attempt)},
                 {"Fuchsia-Load-Token", token}},
                "bid " + key);
}

std::int64_t entry_deployment::upstream_count(std::string const& name) const
{
    auto const response = call(upstreams_port_, "GET", "/control/counts");
    core::common::failure reason;
    auto const counts = core::common::parse_json_object(
        response ? response->body : "", "counts", reason);
    return counts && counts->contains(name)
               ? counts->at(name).to_number<int64_t>()
               : -1;
}

void entry_deployment::platform_faults(std::string const& json) const
{
    call(platform_port_, "POST", "/control/faults", {}, json);
}

void entry_deployment::write_settings()
{
    std::ofstream(folder_ / "token") << "0123456789abcdef0123";
    std::ofstream platform(folder_ / "platform.toml");
    platform << "listen = " << address(platform_port_)
             << "\nprobe_interval_ms = 500\n";
    for (std::size_t number = 0; number < entries; ++number)
    {
        auto const name = "entry-" + std::to_string(number);
        platform << "[[probe]]\nid = \"" << name
                 << "\"\nname = \"fuchsia-entry\"\naddress = "
                 << address(entry_ports_[number])
                 << "\ndata_centre = \"kochi-a\"\n";
        std::ofstream(folder_ / (name + ".toml"))
            << "[self]\nname = \"" << name
            << "\"\ndata_centre = \"kochi-a\"\nhttp_listen = "
            << address(entry_ports_[number])
            << "\npeer_listen = " << address(peer_ports_[number])
            << "\n[platform]\nstore = " << address(platform_port_)
            << "\n[security]\ntoken_file = " << folder_ / "token"
            << "\n[keys]\nsending_bound_ms = 1000\n"
            << "[stop]\nbalancer_lag_ms = 500\n"
            << "[upstreams]\nmax_execution_ms = 5000\n";
    }
    std::ofstream(folder_ / "upstreams.toml")
        << "control = " << address(upstreams_port_)
        << "\n[platform]\naddress = " << address(platform_port_)
        << "\n[executors]\naddress = \"" << process_loopback_address()
        << "\"\nfirst_port = 0\n"
        << "count = 12\nslots = 4\nconnections = 60\nanswer_bytes = 64\n"
        << "data_centres = [\"kochi-a\"]\nper_machine = 4\nseed = 1\n"
        << "[latency-critical]\nmedian_ms = 10.0\nsigma = 0.3\nmax_ms = "
           "500.0\n";
}

void entry_deployment::write_contract() const
{
    core::contracts::contract limits;
    limits.customer = customer;
    limits.requests_in_flight = 100;
    limits.requests_per_second = 10'000;
    limits.latency_target = 3s;
    limits.batch_latency_target = 10s;
    auto const document = core::config::document_name(1, "w");
    core::config::index_document index;
    index.revision = 1;
    index.contracts[customer] = {1, false, document};
    index.recent_writes[1] = "w";
    call(platform_port_,
         "PUT",
         "/v1/kv/" + core::config::document_key(customer, document),
         {},
         core::contracts::to_json(limits));
    call(platform_port_,
         "PUT",
         "/v1/kv/" + std::string(core::config::index_key),
         {},
         core::config::to_json(index));
}

} // namespace fuchsia::tests::process
