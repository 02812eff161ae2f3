#include "core/tasks/planner_engine.hpp"

#include "core/common/hash.hpp"

namespace fuchsia::core::tasks
{

namespace
{

constexpr auto* role = "planner";
/// Time between two ticks of a cell that no event affected.
constexpr common::duration round_interval = std::chrono::milliseconds(100);

} // namespace

planner_engine::planner_engine(planner_settings const& settings,
                               membership::member_info const& self,
                               std::uint64_t seed)
    : settings_(settings), member_(settings_.membership, self, seed),
      claims_(role, {}), follower_(settings_.follower), calls_(settings_.store),
      workers_(settings_.workers),
      quotas_(self.id.incarnation, settings_.quotas),
      loads_(self.id.name, seed ^ self.id.incarnation, settings_.loads),
      inbox_(settings_.inboxes),
      job_request_handler_(self.id.incarnation, settings_.job_requests),
      sweep_(settings_.sweep), interference_estimates_(settings_.interference)
{
}

void planner_engine::start(common::time_point now, ports::actions& out)
{
    member_.start(now, out);
    claims_.start(now, out);
    follower_.start(now, out);
}

bool planner_engine::config_fresh(common::time_point now) const noexcept
{
    return follower_.current().revision != 0 &&
           now - follower_.confirmed_at() <=
               settings_.membership.proof_lifetime;
}

job_request_context planner_engine::make_request_context(common::time_point now,
                                                         ports::actions& out)
{
    return {now,
            follower_.current(),
            workers_,
            loads_,
            calls_,
            inbox_.size(),
            !stop_started_at_.has_value(),
            out};
}

void planner_engine::tick(common::time_point now, ports::actions& out)
{
    member_.tick(now, out);
    follower_.tick(now, out);
    claims_.tick(now, member_, out);
    if (now >= next_round_at_)
    {
        next_round_at_ = now + round_interval;
        mark_all_cells_dirty();
    }
    process_events(now, out);
}

// Takes all actions that follow from the current state. It is called after
// every event, so that a new job is committed and started without waiting for
// the next tick.
void planner_engine::process_events(common::time_point now, ports::actions& out)
{
    apply_config(out);
    apply_claims(now, out);
    if (workers_known_)
    {
        inbox_.tick(now, calls_, out);
        loads_.tick(now, calls_, out);
    }
    auto request_context = make_request_context(now, out);
    job_request_handler_.tick(request_context);
    tick_cells(now, out);
    quotas_.tick(now, follower_.current().contracts, calls_, out);
    publish_faulty_jobs(now, out);
    erase_stop_notices(now, out);
    if (member_.may_act(now))
    {
        sweep_.tick(now, is_chosen_for("sweep"), calls_, out);
    }
    hand_over(now, out);
    advance_stop(now, out);
}

void planner_engine::apply_config(ports::actions&)
{
    auto const revision = follower_.current().revision;
    if (revision == known_revision_)
    {
        return;
    }
    known_revision_ = revision;
    member_.set_config_revision(revision);
    quotas_.refresh();
    mark_all_cells_dirty();
}

bool planner_engine::is_chosen_for(std::string const& key) const
{
    std::vector<std::string> names;
    for (auto const& info : member_.live())
    {
        names.push_back(info.id.name);
    }
    return !names.empty() && names[common::rendezvous_winner(key, names)] ==
                                 member_.self().id.name;
}

// Erases a stop notice whose retention period has passed. Rendezvous hashing
// selects the planner that does it.
void planner_engine::erase_stop_notices(common::time_point now,
                                        ports::actions& out)
{
    auto const due =
        stop_notice_call_ == 0 ? inbox_.expired_notice(now) : std::nullopt;
    if (!due)
    {
        return;
    }
    if (is_chosen_for(due->key) && calls_.may_write(now))
    {
        stop_notice_call_ =
            calls_.send(call_owner::sweep,
                        due->job,
                        ports::store_erase{due->key, due->version},
                        out);
    }
}

void planner_engine::begin_stop(common::time_point now, ports::actions& out)
{
    if (stop_started_at_)
    {
        return;
    }
    stop_started_at_ = now;
    claims_.begin_leaving();
    member_.begin_leaving(now, out);
    for (auto& [name, cell] : cells_)
    {
        cell->begin_handover();
        releasing_.insert(name);
    }
}

void planner_engine::advance_stop(common::time_point now, ports::actions& out)
{
    if (!stop_started_at_ || stop_reported_)
    {
        return;
    }
    if (!removing_record_ && cells_.empty() && claims_.held_count(member_) == 0)
    {
        removing_record_ = true;
        member_.remove(now, out);
    }
    bool const late = now - *stop_started_at_ >= settings_.stop_timeout;
    if ((removing_record_ && member_.is_removed()) || late)
    {
        stop_reported_ = true;
        out.emplace_back(ports::stop_complete{});
    }
}

bool planner_engine::ready(common::time_point now) const noexcept
{
    return member_.has_member_list() && claims_.is_loaded() && workers_known_ &&
           member_.may_act(now) && !stop_started_at_;
}

bool planner_engine::stopping() const noexcept
{
    return stop_started_at_.has_value();
}

membership::member& planner_engine::members() noexcept
{
    return member_;
}

membership::member const& planner_engine::members() const noexcept
{
    return member_;
}

config::configuration_follower& planner_engine::follower() noexcept
{
    return follower_;
}

claims::claim_table const& planner_engine::claims() const noexcept
{
    return claims_;
}

worker_registry const& planner_engine::workers() const noexcept
{
    return workers_;
}

task_counters const& planner_engine::counters() const noexcept
{
    return counters_;
}

store_calls const& planner_engine::calls() const noexcept
{
    return calls_;
}

cell_load planner_engine::totals() const noexcept
{
    return loads_.totals();
}

} // namespace fuchsia::core::tasks
