#pragma once

#include "adapters/http/server.hpp"
#include "adapters/runtime/timer.hpp"
#include "standins/pool/kv_state.hpp"
#include "standins/pool/worker_state.hpp"

#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::standins::pool
{

struct pool_server_settings
{
    ports::endpoint store;
    /// Workers listen at the store's address, on the ports from here on.
    std::uint16_t first_worker_port = 0;
    std::uint32_t workers = 4;
    ports::resources capacity{8000, 8000, 0};
    /// Host and path prefix of the only queue, "jobs".
    std::string host = "jobs.example";
    std::string prefix = "/jobs/";
};

/// The users' platform in one process: its store and some workers, over HTTP in
/// its formats. GET /control/counts on the store's address tells what the
/// workers saw: starts, and the promises that were broken.
class pool_server
{
public:
    pool_server(boost::asio::io_context& io, pool_server_settings settings);
    std::optional<ports::endpoint> listen(core::common::failure& reason);
    void stop();

private:
    struct waiting
    {
        ports::kv_watch call;
        core::common::time_point until{};
        adapters::http::responder respond;
    };

    void on_store(adapters::http::request const& request,
                  adapters::http::responder const& respond);
    void answer_watch(ports::kv_watch const& call,
                      adapters::http::responder const& respond);
    void wake_watches();
    void on_worker(std::size_t number,
                   adapters::http::request const& request,
                   adapters::http::responder const& respond);
    void check(std::size_t begun_before, worker_state const& by);
    adapters::http::response counts() const;
    void publish();
    void tick();

    boost::asio::io_context& io_;
    pool_server_settings settings_;
    kv_state store_;
    std::vector<std::unique_ptr<worker_state>> workers_;
    std::vector<std::unique_ptr<adapters::http::server>> servers_;
    std::list<waiting> watches_;
    adapters::runtime::timer ticker_;
    std::uint64_t starts_ = 0;
    std::uint64_t two_places_ = 0;
    std::uint64_t after_done_ = 0;
};

} // namespace fuchsia::standins::pool
