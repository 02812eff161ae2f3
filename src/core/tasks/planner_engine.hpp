#pragma once

#include "core/claims/claim_table.hpp"
#include "core/config/follower.hpp"
#include "core/membership/member.hpp"
#include "core/tasks/cell_runner.hpp"
#include "core/tasks/inbox.hpp"
#include "core/tasks/job_registry_sweep.hpp"
#include "core/tasks/job_request_handler.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::core::tasks
{

struct planner_settings
{
    membership::settings membership;
    config::follower_settings follower;
    store_call_settings store;
    worker_registry_settings workers;
    quota_settings quotas;
    load_table_settings loads;
    inbox_settings inboxes;
    job_request_handler_settings job_requests;
    job_registry_sweep_settings sweep;
    cell_settings cell;
    placement::interference_settings interference;
    /// Timeout of a planned stop that an unavailable store delays. The other
    /// members then declare this member dead.
    common::duration stop_timeout = std::chrono::seconds(20);
};

/// Core of a planner: membership, claims on cells, the configuration and the
/// tasks of the cells that it owns. It receives events together with the time
/// and returns actions; it uses no thread, socket, file or clock.
class planner_engine
{
public:
    planner_engine(planner_settings const& settings,
                   membership::member_info const& self,
                   std::uint64_t seed);

    void start(common::time_point now, ports::actions& out);
    /// Called at least every 100 ms.
    void tick(common::time_point now, ports::actions& out);
    /// Returns false for replies to requesters outside the engine.
    bool on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        ports::actions& out);
    void on_peer(common::time_point now,
                 ports::peer_receive const& message,
                 ports::actions& out);
    void on_instances(common::time_point now,
                      ports::instance_list const& list,
                      ports::actions& out);
    void on_workers(common::time_point now,
                    ports::worker_list const& list,
                    ports::actions& out);
    void on_worker_report(common::time_point now,
                          ports::worker_report const& report,
                          ports::actions& out);
    void on_worker_reply(common::time_point now,
                         ports::worker_reply const& reply,
                         ports::actions& out);
    /// Handles a job request and answers it with a `caller_reply` that bears
    /// the caller of the request.
    void on_job_request(common::time_point now,
                        job_request const& request,
                        ports::actions& out);
    /// Begins a planned stop: no new attempt is started, pending commits
    /// complete, the cells are handed over and the member record is removed.
    /// Running tasks continue. The stop ends with `stop_complete`.
    void begin_stop(common::time_point now, ports::actions& out);

    /// Whether members, claims and workers are known, this member may act and
    /// does not stop, so that requests can be answered.
    bool ready(common::time_point now) const noexcept;
    bool stopping() const noexcept;
    membership::member& members() noexcept;
    membership::member const& members() const noexcept;
    config::configuration_follower& follower() noexcept;
    claims::claim_table const& claims() const noexcept;
    worker_registry const& workers() const noexcept;
    task_counters const& counters() const noexcept;
    store_calls const& calls() const noexcept;
    std::map<std::string, std::unique_ptr<cell_runner>> const&
    cells() const noexcept;
    /// Racks whose reports this planner needs.
    std::vector<std::string> racks() const;
    /// Sums of tasks, jobs and free resources over all cells; the figures are
    /// some seconds old.
    cell_load totals() const noexcept;

private:
    // planner_engine.cpp: composition, ticks and the planned stop.
    job_request_context make_request_context(common::time_point now,
                                             ports::actions& out);
    bool config_fresh(common::time_point now) const noexcept;
    void process_events(common::time_point now, ports::actions& out);
    void advance_stop(common::time_point now, ports::actions& out);
    void apply_config(ports::actions& out);
    void erase_stop_notices(common::time_point now, ports::actions& out);
    /// Whether rendezvous hashing selects this member for work that one
    /// member does for all.
    bool is_chosen_for(std::string const& key) const;

    // planner_cells.cpp: the cells that this planner owns.
    cell_context make_cell_context(common::time_point now,
                                   std::string const& cell,
                                   ports::actions& out);
    void tick_cells(common::time_point now, ports::actions& out);
    void mark_all_cells_dirty();
    void apply_claims(common::time_point now, ports::actions& out);
    void add_cell(common::time_point now,
                  claims::claim const& claim,
                  ports::actions& out);
    void remove_cell(std::string const& cell);
    void hand_over(common::time_point now, ports::actions& out);
    void deliver_inbox(common::time_point now,
                       cell_runner& target,
                       ports::actions& out);
    void publish_faulty_jobs(common::time_point now, ports::actions& out);
    void set_partitions();

    planner_settings settings_;
    membership::member member_;
    claims::claim_table claims_;
    config::configuration_follower follower_;
    store_calls calls_;
    worker_calls worker_calls_;
    worker_registry workers_;
    quota_manager quotas_;
    load_table loads_;
    inbox inbox_;
    job_request_handler job_request_handler_;
    job_registry_sweep sweep_;
    placement::interference_model interference_estimates_;
    task_counters counters_;
    std::map<std::string, std::unique_ptr<cell_runner>> cells_;
    std::set<std::string> releasing_; ///< Cells that are being handed over.
    /// Cells that an event affected; the others are ticked in the next round.
    std::set<std::string> dirty_cells_;
    common::time_point next_round_at_{};
    std::uint64_t round_count_ = 0;
    std::uint64_t known_revision_ = 0;
    std::uint64_t stop_notice_call_ = 0;
    bool workers_known_ = false;
    std::optional<common::time_point> stop_started_at_;
    bool removing_record_ = false;
    bool stop_reported_ = false;
};

} // namespace fuchsia::core::tasks
