#pragma once

#include "core/requests/entry_engine.hpp"
#include "unit/walks/fake_link.hpp"
#include "unit/walks/fake_store.hpp"
#include "unit/walks/virtual_clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// Simulation of a few entry engines with a fake store, fake links, and
// upstreams and callers that check the invariants.
namespace fuchsia::tests::unit::requests
{

using core::common::duration;
using core::common::time_point;
using core::requests::entry_engine;
using core::requests::entry_settings;

/// Returns settings with short time limits, so that tests simulate seconds and
/// not minutes.
entry_settings short_settings();

struct entry_simulation_options
{
    std::size_t entries = 3;
    std::size_t upstreams = 12;
    std::uint32_t slots = 2;
    std::uint64_t seed = 1;
    std::uint32_t in_flight = 30; ///< Limit of the contract.
    entry_settings settings = short_settings();
};

/// Faults and service times of the upstreams. A request takes at most
/// `max_service_time`, including its transfer, which is below `max_execution`.
struct upstream_faults
{
    std::uint32_t not_sent_permille = 0;
    std::uint32_t lost_permille = 0;    ///< Lost answers; the request runs on.
    std::uint32_t refused_permille = 0; ///< 503 that states "not run".
    duration min_service_time = std::chrono::milliseconds(20);
    duration max_service_time = std::chrono::milliseconds(60);
};

/// One process of an entry.
struct simulated_entry
{
    ports::member_identity id;
    std::string address;
    std::unique_ptr<entry_engine> engine;
    std::deque<std::function<void()>>
        inbox; ///< Events that arrived while frozen.
    bool frozen = false;
    time_point frozen_at;
    bool processing_backlog = false; ///< Handles the events of `inbox`.
    bool ended = false;
    bool stopped = false;
};
using simulated_entry_pointer = std::shared_ptr<simulated_entry>;

/// One sending of a caller's request.
struct sent_request
{
    std::uint64_t id = 0;
    simulated_entry_pointer receiving_entry; ///< Entry that read it.
    time_point read_at;
    ports::caller_request request;
    std::uint32_t answers = 0;
    ports::caller_answer answer;
};

class entry_simulation
{
public:
    explicit entry_simulation(entry_simulation_options const& options);

    walks::virtual_clock time;
    walks::fake_store store;
    walks::fake_link link;
    upstream_faults faults;
    /// Description of the first violated invariant, or empty.
    std::string violation;

    void start(std::size_t index);
    void start_all();
    void kill(std::size_t index);
    void freeze(std::size_t index);
    void unfreeze(std::size_t index);
    void stop(std::size_t index);
    bool is_running(std::size_t index) const;
    bool has_stopped(std::size_t index) const;
    entry_engine& engine(std::size_t index);

    void run(duration length);
    bool run_until(std::function<bool()> const& condition, duration limit);
    /// Runs until all entries serve and all partitions have an owner. Returns
    /// whether that happened in time.
    bool run_until_stable();

    /// Delivers a caller's request to an entry after `delay`. Returns the id of
    /// the sending.
    std::uint64_t
    send(std::size_t index, ports::caller_request request, duration delay = {});
    sent_request const& sending(std::uint64_t id) const;
    bool answered(std::uint64_t id) const;
    /// Number of times that a request with this body began to run on an
    /// upstream.
    std::uint32_t run_count(std::string const& body) const;
    std::uint32_t running() const;

    /// Index of the entry that owns the key, or the number of entries if none
    /// does.
    std::size_t owner_of(std::string const& key) const;
    std::size_t other_than(std::size_t index) const;

    void put_contract(std::uint32_t in_flight);
    void cut(std::size_t from, std::size_t to, bool is_cut);
    std::uint32_t in_flight() const;

private:
    struct upstream
    {
        std::uint32_t running = 0;
    };
    using event =
        std::function<void(entry_engine&, time_point, ports::actions&)>;

    void tick(simulated_entry_pointer const& entry);
    void begin(std::size_t index);
    void read(std::uint64_t id, simulated_entry_pointer const& entry);
    void deliver(simulated_entry_pointer const& entry, event const& handler);
    void run_in(simulated_entry_pointer const& entry, event const& handler);
    void perform(simulated_entry_pointer const& entry,
                 ports::actions const& actions);
    void run_on_upstream(simulated_entry_pointer const& entry,
                         ports::upstream_send const& action);
    void refuse_later(simulated_entry_pointer const& entry,
                      std::uint64_t exchange,
                      duration after);
    void begin_on_upstream(ports::upstream_send const& action);
    void end_later(simulated_entry_pointer const& entry,
                   std::uint64_t exchange,
                   ports::exchange_status status,
                   ports::caller_request const& request,
                   duration wait);
    void on_reply(ports::caller_reply const& reply);
    void publish_list();
    void check_contract();
    bool has_stale_counts(simulated_entry const& entry) const;
    void check_not_run(sent_request const& sending);
    void fail(std::string message);
    bool chance(std::uint32_t permille);

    entry_simulation_options options_;
    std::mt19937_64 random_;
    std::vector<simulated_entry_pointer> entries_;
    /// Fenced incarnations whose requests still run.
    std::vector<simulated_entry_pointer> retired_;
    std::map<std::string, upstream> upstreams_;
    std::map<std::uint64_t, sent_request> sendings_;
    std::map<std::string, std::uint32_t> runs_; ///< Number of runs by body.
    /// Time of the first run by body.
    std::map<std::string, time_point> first_runs_;
    std::set<std::string> ran_sendings_; ///< Ids of sendings that ran.
    std::uint64_t last_sending_ = 0;
    std::uint64_t revision_ = 0;
    /// Time at which an entry last had each limit of the contract in force.
    std::map<std::uint32_t, time_point> limits_in_force_;
};

/// Returns a POST with an idempotency key, which must run at most once.
ports::caller_request bid_request(std::string const& key,
                                  std::uint32_t attempt);
/// Returns a POST without a key.
ports::caller_request unkeyed_request(std::string const& body);
/// Returns a GET, which is idempotent.
ports::caller_request get_request(std::string const& body);

} // namespace fuchsia::tests::unit::requests
