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

// A few entry engines with a fake store, fake links, upstreams that count
// their own violations, and callers that check their answers.
namespace fuchsia::tests::unit::requests
{

using core::common::duration;
using core::common::time_point;
using core::requests::entry_engine;
using core::requests::entry_settings;

/// Short bounds, so that a test need not run for minutes.
entry_settings short_settings();

struct entry_simulation_options
{
    std::size_t entries = 3;
    std::size_t upstreams = 12;
    std::uint32_t slots = 2;
    std::uint64_t seed = 1;
    std::uint32_t in_flight = 30; ///< Of the contract.
    entry_settings settings = short_settings();
};

/// What upstreams do to a request. All take at most `slowest` with the way
/// there, which is below `max_execution`.
struct upstream_faults
{
    std::uint32_t not_sent_permille = 0;
    std::uint32_t lost_permille = 0;    ///< The answer; the request runs on.
    std::uint32_t refused_permille = 0; ///< 503, vouched not to have run.
    duration fastest = std::chrono::milliseconds(20);
    duration slowest = std::chrono::milliseconds(60);
};

/// One process of an entry.
struct simulated_entry
{
    ports::member_identity id;
    std::string address;
    std::unique_ptr<entry_engine> engine;
    std::deque<std::function<void()>> inbox; ///< What came while frozen.
    bool frozen = false;
    time_point frozen_at;
    bool processing_backlog = false; ///< Handles what came while it was frozen.
    bool ended = false;
    bool stopped = false;
};
using simulated_entry_pointer = std::shared_ptr<simulated_entry>;

/// One sending of a caller's request.
struct sent_request
{
    std::uint64_t id = 0;
    simulated_entry_pointer receiving_entry; ///< Who read it from the caller.
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
    /// Empty while everything that must hold does.
    std::string violation;

    void start(std::size_t entry);
    void start_all();
    void kill(std::size_t entry);
    void freeze(std::size_t entry);
    void unfreeze(std::size_t entry);
    void stop(std::size_t entry);
    bool is_running(std::size_t entry) const;
    bool has_stopped(std::size_t entry) const;
    entry_engine& engine(std::size_t entry);

    void run(duration length);
    bool run_until(std::function<bool()> const& wanted, duration limit);
    /// Runs until all entries serve and all partitions are owned.
    bool run_until_stable();

    /// A caller's request reaches `entry` after `delay`; the sending's id.
    std::uint64_t
    send(std::size_t entry, ports::caller_request request, duration delay = {});
    sent_request const& at(std::uint64_t id) const;
    bool answered(std::uint64_t id) const;
    /// Times that any sending of this body began on an upstream.
    std::uint32_t run_count(std::string const& body) const;
    std::uint32_t running() const;

    /// The entry that owns the key, or one that does not.
    std::size_t owner_of(std::string const& key) const;
    std::size_t other_than(std::size_t entry) const;

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

    void tick(simulated_entry_pointer const& who);
    void begin(std::size_t entry);
    void read(std::uint64_t id, simulated_entry_pointer const& who);
    void deliver(simulated_entry_pointer const& who, event const& what);
    void run_in(simulated_entry_pointer const& who, event const& what);
    void perform(simulated_entry_pointer const& who,
                 ports::actions const& actions);
    void run_on_upstream(simulated_entry_pointer const& who,
                         ports::upstream_send const& what);
    void refuse_later(simulated_entry_pointer const& who,
                      std::uint64_t exchange,
                      duration after);
    void begin_on_upstream(ports::upstream_send const& what);
    void end_later(simulated_entry_pointer const& who,
                   std::uint64_t exchange,
                   ports::exchange_status status,
                   ports::caller_request const& request,
                   duration wait);
    void on_reply(ports::caller_reply const& reply);
    void publish_list();
    void check_contract();
    bool counts_stand_still(simulated_entry const& who) const;
    void check_not_run(sent_request const& one);
    void fail(std::string what);
    bool chance(std::uint32_t permille);

    entry_simulation_options options_;
    std::mt19937_64 random_;
    std::vector<simulated_entry_pointer> nodes_;
    /// Buried incarnations whose requests still end.
    std::vector<simulated_entry_pointer> retired_;
    std::map<std::string, upstream> upstreams_;
    std::map<std::uint64_t, sent_request> sendings_;
    std::map<std::string, std::uint32_t> runs_;    ///< By body.
    std::map<std::string, time_point> first_runs_; ///< By body.
    std::set<std::string> ran_sendings_;
    std::uint64_t last_sending_ = 0;
    std::uint64_t revision_ = 0;
    /// When an entry last had each limit of the contract in force.
    std::map<std::uint32_t, time_point> limits_seen_;
};

/// A POST that must run at most once, by its key.
ports::caller_request bid_request(std::string const& key,
                                  std::uint32_t attempt);
/// A POST without a key, and a GET.
ports::caller_request unkeyed_request(std::string const& body);
ports::caller_request get_request(std::string const& body);

} // namespace fuchsia::tests::unit::requests
