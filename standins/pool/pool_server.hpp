#pragma once

#include "adapters/http/server.hpp"
#include "adapters/runtime/timer.hpp"
#include "standins/pool/fault_gate.hpp"
#include "standins/pool/kv_state.hpp"
#include "standins/pool/worker_state.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::standins::pool
{

struct pool_server_settings
{
    ports::endpoint store;
    /// Workers listen at the store's address, on the ports from here on.
    std::uint16_t first_worker_port = 0;
    /// Where the list says that they listen, such as behind relays; 0: there.
    std::uint16_t advertised_worker_port = 0;
    std::uint32_t workers = 4;
    ports::resources capacity{8000, 8000, 0};
    /// Host and path prefix of the only queue, "jobs".
    std::string host = "jobs.example";
    std::string prefix = "/jobs/";
};

/// Lies that a check has to find out.
enum class planted_defect : std::uint8_t
{
    none,
    duplicate_placement,  ///< A worker also runs what another was told to run.
    lost_job,             ///< The store loses some accepted jobs.
    lost_cancel,          ///< The store loses accepted cancels.
    rerun_after_end,      ///< A worker runs again what ended as done.
    early_dependent_step, ///< A worker starts the second step with the first.
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

    using observer =
        std::function<void(ports::pool_worker const&, worker_event const&)>;
    void observe(observer tell);
    void plant_defect(planted_defect what);
    /// For the operator's words and for faults of the store itself.
    kv_state& store() noexcept;
    fault_gate& store_fault_gate() noexcept;
    /// Watches that wait now never hear anything.
    void stall_watches();

    std::size_t workers() const noexcept;
    ports::pool_worker const& info(std::size_t worker) const;
    fault_gate& worker_fault_gate(std::size_t worker);
    /// All that runs there is gone; its entry stays in the list for a while.
    void crash(std::size_t worker);
    /// A new incarnation at the same address, under a new id or the same.
    void restart(std::size_t worker, bool same_id);
    void drain(std::size_t worker);

private:
    struct simulated_worker
    {
        std::unique_ptr<worker_state> state;
        std::unique_ptr<adapters::http::server> server;
        fault_gate before;
        std::uint32_t incarnations = 0;
        /// When the entry of a dead one leaves the list.
        std::optional<core::common::time_point> listed_until;
    };

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
    void carry_out(ports::kv_operation const& call,
                   adapters::http::responder const& respond);
    void forget_planted(ports::kv_operation const& call);
    bool serve(std::size_t number, core::common::failure& reason);
    void on_worker(std::size_t number,
                   adapters::http::request const& request,
                   adapters::http::responder const& respond);
    void carry_out(std::size_t number,
                   ports::pool_operation const& order,
                   adapters::http::responder const& respond);
    void violate_on_worker(std::size_t number,
                           ports::pool_operation const& order);
    void be_born(std::size_t number, std::string const& id);
    void check(std::size_t begun_before, worker_state const& by);
    adapters::http::response counts() const;
    void publish(std::size_t number);
    void advance(core::common::time_point now);
    void tick();

    boost::asio::io_context& io_;
    pool_server_settings settings_;
    kv_state store_;
    fault_gate before_store_;
    std::unique_ptr<adapters::http::server> store_server_;
    std::vector<simulated_worker> workers_;
    std::list<waiting> watches_;
    observer observer_;
    planted_defect planted_ = planted_defect::none;
    std::uint64_t commits_of_jobs_ = 0;
    adapters::runtime::timer ticker_;
    std::uint64_t starts_ = 0;
    std::uint64_t two_places_ = 0;
    std::uint64_t after_done_ = 0;
};

} // namespace fuchsia::standins::pool
