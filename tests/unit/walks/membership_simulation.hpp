#pragma once

#include "core/claims/claim_table.hpp"
#include "core/membership/member.hpp"
#include "fake_link.hpp"
#include "fake_store.hpp"
#include "virtual_clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

// A few cores of membership and claims, joined by a fake store and fake links.
namespace fuchsia::tests::unit::walks
{

struct membership_simulation_options
{
    std::size_t members = 5;
    std::size_t partitions = 6;
    std::uint64_t seed = 1;
    core::membership::settings settings;
    core::membership::safety_rules parts;
    /// Clocks run up to this much faster or slower than true time.
    std::int64_t drift_permille = 0;
};

/// One process: a member and its claims, on a clock of its own.
class process : public std::enable_shared_from_this<process>
{
public:
    using delivery = std::function<void(process&)>;

    process(std::string name,
            std::uint64_t incarnation,
            std::string address,
            membership_simulation_options const& options,
            time_point born,
            std::int64_t rate_permille);

    /// Its own clock's reading at true time `now`.
    time_point local(time_point now) const;
    bool may_act(time_point now) const;
    bool owns(time_point now, std::string const& partition) const;

    ports::member_identity id;
    std::string address;
    core::membership::member member;
    core::claims::claim_table claims;
    std::deque<delivery> inbox; ///< What came while it was frozen.
    bool frozen = false;
    bool ended = false;
    bool leaving = false;
    bool removed = false;

private:
    time_point started_at_;
    std::int64_t rate_permille_;
};

/// The processes and what joins them. Each slot is a name of the settings, in
/// which one process runs at a time, or none.
class membership_simulation
{
public:
    explicit membership_simulation(
        membership_simulation_options const& options);

    virtual_clock time;
    fake_store store;
    fake_link link;

    /// Starts a process in `slot`, in place of the one there, which is ended,
    /// or, as a `zombie`, runs on beside it.
    process& start(std::size_t slot, bool zombie = false);
    void end(std::size_t slot);
    void freeze(std::size_t slot);
    void unfreeze(std::size_t slot);
    /// Wakes every frozen process, zombies included.
    void unfreeze_all();
    void begin_leaving(std::size_t slot);
    process& at(std::size_t slot);
    /// Runs on until `wanted` holds, at most `limit`; whether it does.
    bool run_until(std::function<bool()> const& wanted, duration limit);
    void run(duration length);

    /// Owner of the partition that may act now; null where there is none.
    process* owner(std::string const& partition);
    bool all_owned();
    std::vector<std::string> const& partitions() const noexcept;
    std::string address_of(std::size_t slot) const;
    /// Cuts or mends the way between two slots, one way only.
    void cut(std::size_t from, std::size_t to, bool is_cut);
    void cut_store(std::size_t slot, bool is_cut);

    /// The witnesses in the record that the store holds under a slot's name.
    core::membership::witness_list const& stored_witnesses(std::size_t slot);

    /// The platform's list: `lag` behind the truth.
    duration list_lag = std::chrono::seconds(2);
    /// Empty while everything that must hold does.
    std::string violation;
    std::uint64_t checks_proved_by_witnesses = 0; ///< Checks that found one.
    std::uint64_t rejoins = 0;
    std::uint64_t fencing_writes = 0;
    std::uint64_t pauses = 0;

private:
    using process_pointer = std::shared_ptr<process>;

    void tick(process_pointer const& who);
    void act(process_pointer const& who, ports::actions const& actions);
    void deliver(process_pointer const& who, process::delivery const& what);
    void run_in(
        process_pointer const& who,
        std::function<void(process&, time_point, ports::actions&)> const& what);
    void drain(process_pointer const& who);
    void follow_changes(process& who, time_point local, ports::actions& out);
    void rejoin(process_pointer const& who);
    void publish_list();
    void check();
    void check_fenced(process& who);

    /// What the store shows under one name, parsed once a version.
    struct shown_record
    {
        std::uint64_t version = 0;
        std::uint64_t incarnation = 0;
        bool fenced = false;
        core::membership::witness_list witnesses;
    };

    shown_record const& stored(std::string const& name);

    membership_simulation_options options_;
    std::mt19937_64 random_;
    std::vector<std::string> partitions_;
    std::vector<process_pointer> slots_;
    std::vector<process_pointer> everyone_; ///< Zombies included.
    std::map<std::string, shown_record> shown_;
};

} // namespace fuchsia::tests::unit::walks
