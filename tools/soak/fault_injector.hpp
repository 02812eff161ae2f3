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

/// Brings the faults of a plan about, and heals them. Faults of one kind and
/// target may overlap: the last one lasts.
class fault_injector
{
public:
    using relays = std::vector<std::shared_ptr<standins::links::relay>>;

    /// `stale`: the operator's configurations after the first never reach the
    /// store, though they are told to have.
    fault_injector(instance_group& under_test,
                   standins::pool::pool_server& platform,
                   relays workers,
                   observation_log& out,
                   bool stale_configuration);

    /// Puts the first configuration into the store.
    void begin();
    void apply(fault const& planned);
    /// Ends what is over by now; starts again what was to end.
    void advance(core::common::time_point now);
    /// Ends all; what is dead is up again once this is true.
    bool end_all();
    std::uint64_t applied() const noexcept;

private:
    struct active_fault
    {
        fault spec;
        std::string name;
        core::common::time_point until{};
    };

    /// The instance that the store's claim names; empty where there is none.
    std::optional<std::uint32_t> owner() const;
    void begin_fault(fault const& spec);
    void begin_worker_fault(fault const& spec);
    /// False where it can't end yet.
    bool end_fault(fault const& spec);
    void update_state(fault const& spec);
    void update_links(fault const& spec);
    void update_gates(fault const& spec);
    /// The last active fault of `kind` and, where given, `target`.
    fault const* latest_active(fault_kind kind, std::uint32_t target) const;
    bool restart(std::uint32_t instance);
    void replace_worker(std::uint32_t worker, bool same_id);
    void change_configuration(std::uint32_t value);
    void put_configuration();
    void set_data_centre(bool out_of_service);

    instance_group& instances_;
    standins::pool::pool_server& platform_;
    relays workers_;
    observation_log& out_;
    bool stale_configuration_;
    std::list<active_fault> active_;
    std::uint64_t applied_ = 0;
    std::uint64_t version_ = 1;
    std::set<std::uint32_t> extra_queues_;
    std::set<std::uint32_t> busy_workers_; ///< Leave, or are down.
    std::set<std::uint32_t> stopping_instances_; ///< Instances that are to start again.
};

} // namespace fuchsia::tools::soak
