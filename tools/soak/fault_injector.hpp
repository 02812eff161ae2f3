#pragma once

#include "standins/links/relay.hpp"
#include "standins/pool/pool_server.hpp"
#include "tools/soak/instance_group.hpp"
#include "tools/soak/observation_log.hpp"
#include "tools/soak/plan.hpp"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::tools::soak
{

/// Injects the faults of a plan and removes them when they end. Faults of the
/// same kind and target may overlap: the latest one takes effect.
class fault_injector
{
public:
    using relays = std::vector<std::shared_ptr<standins::links::relay>>;

    /// If `stale_configuration` is true, configurations after the first are
    /// reported as written but never reach the store.
    fault_injector(instance_group& under_test,
                   standins::pool::pool_server& platform,
                   relays workers,
                   observation_log& out,
                   bool stale_configuration);

    /// Writes the first configuration to the store.
    void begin();
    void apply(fault const& planned);
    /// Kills the owner, and lets no worker answer from then on, without
    /// recording the latter: no successor can complete its takeover.
    void plant_unfinished_takeover();
    /// Ends the faults that are due at `now`, and restarts instances that
    /// exited without a fault.
    void advance(core::common::time_point now);
    /// Ends all faults. Returns true once all stopped processes are running
    /// again.
    bool end_all();
    /// Time for which no fault that suspends time limits has been active, from
    /// the first call of `advance` on.
    core::common::duration calm_for(core::common::time_point now) const;
    std::uint64_t applied() const noexcept;

private:
    struct active_fault
    {
        fault spec;
        std::string name;
        core::common::time_point until{};
    };

    /// Instance that holds the claim in the store; empty if there is none.
    std::optional<std::uint32_t> owner() const;
    void begin_fault(fault const& spec);
    void begin_worker_fault(fault const& spec);
    /// Returns false if the fault can't end yet.
    bool end_fault(fault const& spec);
    void update_state(fault const& spec);
    void update_links(fault const& spec);
    standins::links::cut_state cut_of(fault_kind kind,
                                      std::uint32_t target) const;
    void update_store_cut(std::uint32_t instance);
    void update_gates(fault const& spec);
    /// Latest active fault of `kind` on `target`, or null.
    fault const* latest_active(fault_kind kind, std::uint32_t target) const;
    bool restart(std::uint32_t instance);
    /// Records the capacities of workers that have come back.
    void note_returned_workers();
    void replace_worker(std::uint32_t worker, bool same_id);
    void change_configuration(std::uint32_t value);
    void put_configuration();
    void set_data_centre(bool out_of_service);
    void set_capacity(std::uint32_t worker, std::int64_t millicores);

    instance_group& instances_;
    standins::pool::pool_server& platform_;
    relays workers_;
    observation_log& out_;
    ports::resources full_capacity_;
    bool stale_configuration_;
    std::list<active_fault> active_;
    std::uint64_t applied_ = 0;
    std::optional<core::common::time_point> calm_since_;
    std::uint64_t version_ = 1;
    std::set<std::uint32_t> extra_queues_;
    std::set<std::uint32_t>
        busy_workers_; ///< Workers that are draining or down.
    std::set<std::uint32_t>
        stopping_instances_;               ///< Instances to be started again.
    std::set<std::uint32_t> gone_workers_; ///< Down when last looked at.
};

} // namespace fuchsia::tools::soak
