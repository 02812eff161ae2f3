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

// Simulation of several members with their claims, connected by a fake store
// and fake links, on virtual time.
namespace fuchsia::tests::unit::walks
{

struct membership_simulation_options
{
    std::size_t members = 5;
    std::size_t partitions = 6;
    std::uint64_t seed = 1;
    core::membership::settings settings;
    core::membership::safety_rules rules;
    /// Maximum deviation of a process's clock rate from true time, in
    /// thousandths.
    std::int64_t drift_permille = 0;
};

/// One process: a member and its claim table, with its own clock.
class process : public std::enable_shared_from_this<process>
{
public:
    using delivery = std::function<void(process&)>;

    process(std::string name,
            std::uint64_t incarnation,
            std::string address,
            membership_simulation_options const& options,
            time_point start_time,
            std::int64_t rate_permille);

    /// Reading of the process's own clock at true time `now`.
    time_point local(time_point now) const;
    bool may_act(time_point now) const;
    bool owns(time_point now, std::string const& partition) const;

    ports::member_identity id;
    std::string address;
    core::membership::member member;
    core::claims::claim_table claims;
    std::deque<delivery> inbox; ///< Deliveries received while frozen.
    bool frozen = false;
    bool ended = false;
    bool leaving = false;
    bool removed = false;

private:
    time_point started_at_;
    std::int64_t rate_permille_;
};

/// All processes with the store and the links between them. A slot stands for
/// one configured member name; at most one current process runs in it.
class membership_simulation
{
public:
    explicit membership_simulation(
        membership_simulation_options const& options);

    virtual_clock time;
    fake_store store;
    fake_link link;

    /// Starts a process in `slot`. The previous process of the slot is ended;
    /// with `zombie` it keeps running beside the new one.
    process& start(std::size_t slot, bool zombie = false);
    void end(std::size_t slot);
    void freeze(std::size_t slot);
    void unfreeze(std::size_t slot);
    /// Resumes every frozen process, zombies included.
    void unfreeze_all();
    void begin_leaving(std::size_t slot);
    process& at(std::size_t slot);
    /// Runs until `condition` holds, for at most `limit`. Returns whether it
    /// holds.
    bool run_until(std::function<bool()> const& condition, duration limit);
    void run(duration length);

    /// Returns the process that owns the partition and may act now, or null.
    process* owner(std::string const& partition);
    bool all_owned();
    std::vector<std::string> const& partitions() const noexcept;
    std::string address_of(std::size_t slot) const;
    /// Cuts or restores the link from one slot to another, in this direction
    /// only.
    void cut(std::size_t from, std::size_t to, bool is_cut);
    void cut_store(std::size_t slot, bool is_cut);

    /// Returns the witnesses in the stored record of a slot's name.
    core::membership::witness_list const& stored_witnesses(std::size_t slot);

    /// Delay with which the platform's instance list is delivered.
    duration list_lag = std::chrono::seconds(2);
    /// Description of the first violated invariant; empty while all hold.
    std::string violation;
    /// Checks in which a member acted on witness promises alone.
    std::uint64_t checks_proved_by_witnesses = 0;
    std::uint64_t rejoins = 0;
    std::uint64_t fencing_writes = 0;
    std::uint64_t pauses = 0;

private:
    using process_pointer = std::shared_ptr<process>;

    void tick(process_pointer const& node);
    void perform(process_pointer const& node, ports::actions const& actions);
    void deliver(process_pointer const& node, process::delivery const& handler);
    void
    run_step(process_pointer const& node,
             std::function<void(process&, time_point, ports::actions&)> const&
                 handler);
    void handle_inbox(process_pointer const& node);
    void
    apply_claim_changes(process& node, time_point local, ports::actions& out);
    void rejoin(process_pointer const& node);
    void publish_list();
    void check_invariants();
    void check_not_fenced(process& node);

    /// Parsed form of the stored record of one name, cached by version.
    struct parsed_record
    {
        std::uint64_t version = 0;
        std::uint64_t incarnation = 0;
        bool fenced = false;
        core::membership::witness_list witnesses;
    };

    parsed_record const& stored_record(std::string const& name);

    membership_simulation_options options_;
    std::mt19937_64 random_;
    std::vector<std::string> partitions_;
    std::vector<process_pointer> slots_;
    std::vector<process_pointer> all_processes_; ///< Includes zombies.
    std::map<std::string, parsed_record> parsed_records_;
};

} // namespace fuchsia::tests::unit::walks
