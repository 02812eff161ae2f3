#include "core/tasks/planner_engine.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

constexpr auto* role = "planner";
/// Between two looks at a cell that no event concerned.
constexpr common::duration round_interval = std::chrono::milliseconds(100);

// Tells the follower which revision a promise carries.
std::optional<std::uint64_t> revision_in(ports::peer_message const& message)
{
    if (auto const* asked = std::get_if<ports::promise_request>(&message))
    {
        return asked->config_revision;
    }
    if (auto const* told = std::get_if<ports::promise_reply>(&message))
    {
        return told->config_revision;
    }
    return std::nullopt;
}

} // namespace

planner_engine::planner_engine(planner_settings const& settings,
                               membership::member_info const& self,
                               std::uint64_t seed)
    : settings_(settings), member_(settings_.membership, self, seed),
      claims_(role, {}), follower_(settings_.follower), calls_(settings_.store),
      workers_(settings_.workers),
      quotas_(self.id.incarnation, settings_.quotas),
      loads_(self.id.name, seed ^ self.id.incarnation, settings_.loads),
      inbox_(settings_.inboxes), desk_(self.id.incarnation, settings_.desk),
      sweep_(settings_.sweep), learned_(settings_.interference)
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
           now - follower_.confirmed_at() <= settings_.membership.hold;
}

cell_context planner_engine::context(common::time_point now,
                                     std::string const& cell,
                                     ports::actions& out)
{
    bool const may_act = claims_.owns(now, cell, member_);
    return {now,
            may_act,
            may_act && config_fresh(now) && !stop_since_,
            settings_.cell,
            follower_.current(),
            workers_,
            quotas_,
            loads_,
            calls_,
            worker_calls_,
            learned_,
            counters_,
            out};
}

desk_context planner_engine::desk(common::time_point now, ports::actions& out)
{
    return {now,
            follower_.current(),
            workers_,
            loads_,
            calls_,
            inbox_.size(),
            !stop_since_.has_value(),
            out};
}

void planner_engine::tick(common::time_point now, ports::actions& out)
{
    member_.tick(now, out);
    follower_.tick(now, out);
    claims_.tick(now, member_, out);
    if (now >= next_round_)
    {
        next_round_ = now + round_interval;
        touch_all();
    }
    pump(now, out);
}

void planner_engine::touch_all()
{
    for (auto const& [name, cell] : cells_)
    {
        touched_.insert(name);
    }
}

// All that follows from what is known now. Called after every event, so that
// a job that came in is committed and started without waiting for a tick.
void planner_engine::pump(common::time_point now, ports::actions& out)
{
    follow_config(out);
    take_claims(now, out);
    if (workers_known_)
    {
        inbox_.tick(now, calls_, out);
        loads_.tick(now, calls_, out);
    }
    auto to_desk = desk(now, out);
    desk_.tick(to_desk);
    tick_cells(now, out);
    quotas_.tick(now, follower_.current().contracts, calls_, out);
    post_faulty(now, out);
    erase_notices(now, out);
    if (member_.may_act(now))
    {
        sweep_.tick(now, is_chosen_for("sweep"), calls_, out);
    }
    hand_over(now, out);
    follow_stop(now, out);
}

// Each round begins with another cell: when the budget of store writes is
// short, the same cells would else go without each time.
void planner_engine::tick_cells(common::time_point now, ports::actions& out)
{
    auto const touched = std::exchange(touched_, {});
    std::vector<std::string> order(touched.begin(), touched.end());
    if (order.empty())
    {
        return;
    }
    auto const first = static_cast<std::ptrdiff_t>(++rounds_ % order.size());
    std::rotate(order.begin(), order.begin() + first, order.end());
    for (auto const& name : order)
    {
        auto const found = cells_.find(name);
        if (found == cells_.end())
        {
            continue;
        }
        auto& cell = *found->second;
        bool const was_active = cell.active();
        auto with = context(now, name, out);
        cell.tick(with);
        if (cell.active() && !was_active)
        {
            deliver_inbox(now, cell, out);
        }
    }
}

void planner_engine::follow_config(ports::actions&)
{
    auto const revision = follower_.current().revision;
    if (revision == known_revision_)
    {
        return;
    }
    known_revision_ = revision;
    member_.set_config_revision(revision);
    quotas_.refresh();
    touch_all();
}

void planner_engine::take_claims(common::time_point now, ports::actions& out)
{
    for (auto const& change : claims_.take_changes())
    {
        auto const& cell = change.now.partition;
        switch (change.kind)
        {
        case claims::claim_change_kind::acquired:
            add_cell(now, change.now, out);
            break;
        case claims::claim_change_kind::handover_asked:
            releasing_.insert(cell);
            break;
        case claims::claim_change_kind::lost:
            drop_cell(cell);
            break;
        case claims::claim_change_kind::owner_changed:
            break;
        }
    }
}

void planner_engine::add_cell(common::time_point now,
                              claims::claim const& claim,
                              ports::actions& out)
{
    drop_cell(claim.partition);
    auto& cell = cells_[claim.partition];
    cell = std::make_unique<cell_runner>(claim.partition,
                                         member_.self().id.incarnation,
                                         claim.epoch,
                                         settings_.cell.log);
    auto with = context(now, claim.partition, out);
    cell->start(with);
}

void planner_engine::drop_cell(std::string const& cell)
{
    cells_.erase(cell);
    releasing_.erase(cell);
    quotas_.drop_cell(cell);
    loads_.drop_own(cell);
}

// A cell asked for by another member is held, its commits end, and only then
// it is released: the next owner reads a log that nobody adds to.
void planner_engine::hand_over(common::time_point now, ports::actions& out)
{
    std::vector<std::string> released;
    for (auto const& name : releasing_)
    {
        auto const found = cells_.find(name);
        if (found == cells_.end())
        {
            continue;
        }
        auto& cell = *found->second;
        if (!cell.held())
        {
            cell.hold();
        }
        if (cell.idle() || cell.lost())
        {
            claims_.release(now, name, out);
            released.push_back(name);
        }
    }
    for (auto const& name : released)
    {
        drop_cell(name);
    }
}

void planner_engine::deliver_inbox(common::time_point now,
                                   cell_runner& to,
                                   ports::actions& out)
{
    auto with = context(now, to.name(), out);
    to.on_inbox(with, inbox_.items_of(to.name()));
    for (auto const& notice : inbox_.notices())
    {
        to.stop_job(with, notice.job, notice.code, notice.why);
    }
}

void planner_engine::post_faulty(common::time_point now, ports::actions& out)
{
    for (auto& [name, cell] : cells_)
    {
        for (auto const& job : cell->take_faulty())
        {
            auto to_desk = desk(now, out);
            desk_.post_stop(to_desk, job);
        }
    }
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

// One planner, found by hashing, erases a notice that stood long enough.
void planner_engine::erase_notices(common::time_point now, ports::actions& out)
{
    auto const due = notice_call_ == 0 ? inbox_.overdue(now) : std::nullopt;
    if (!due)
    {
        return;
    }
    if (is_chosen_for(due->key) && calls_.may_write(now))
    {
        notice_call_ = calls_.send(call_owner::sweep,
                                   due->job,
                                   ports::store_erase{due->key, due->version},
                                   out);
    }
}

bool planner_engine::on_store_reply(common::time_point now,
                                    ports::store_reply const& reply,
                                    ports::actions& out)
{
    switch (reply.id.user)
    {
    case ports::store_user::membership:
        member_.on_store_reply(now, reply, out);
        break;
    case ports::store_user::claims:
        claims_.on_store_reply(now, reply, member_, out);
        break;
    case ports::store_user::configuration:
        follower_.on_store_reply(now, reply, out);
        break;
    case ports::store_user::tasks:
        break;
    case ports::store_user::requests:
    case ports::store_user::administration:
        return false;
    }
    auto const tag = reply.id.user == ports::store_user::tasks
                         ? calls_.take(reply.id)
                         : std::nullopt;
    if (!tag)
    {
        pump(now, out);
        return true;
    }
    auto to_desk = desk(now, out);
    auto const cell = cells_.find(tag->name);
    switch (tag->owner)
    {
    case call_owner::log:
    case call_owner::snapshot:
    case call_owner::parcel:
    case call_owner::erase:
        if (cell != cells_.end())
        {
            auto with = context(now, tag->name, out);
            cell->second->on_store_reply(with, *tag, reply);
            touched_.insert(tag->name);
        }
        break;
    case call_owner::inbox:
        if (inbox_.on_store_reply(now, *tag, reply))
        {
            for (auto& [name, each] : cells_)
            {
                deliver_inbox(now, *each, out);
            }
            touch_all();
        }
        break;
    case call_owner::desk:
        desk_.on_store_reply(to_desk, *tag, reply);
        break;
    case call_owner::quota:
        quotas_.on_store_reply(now, *tag, reply);
        touch_all();
        break;
    case call_owner::load:
        loads_.on_store_reply(now, *tag, reply);
        break;
    case call_owner::sweep:
        if (tag->number == notice_call_)
        {
            notice_call_ = 0;
        }
        sweep_.on_store_reply(*tag, reply);
        break;
    }
    pump(now, out);
    return true;
}

void planner_engine::on_peer(common::time_point now,
                             ports::peer_receive const& message,
                             ports::actions& out)
{
    auto const* from = member_.find(message.from);
    if (from != nullptr)
    {
        auto const where = from->peer_address;
        if (auto const revision = revision_in(message.message))
        {
            follower_.on_peer_revision(
                now, *revision, message.from, where, out);
        }
        follower_.on_peer(now, message, where, out);
    }
    member_.on_peer(now, message, out);
    pump(now, out);
}

void planner_engine::on_instances(common::time_point now,
                                  ports::instance_list const& list,
                                  ports::actions& out)
{
    member_.on_instances(now, list, out);
    pump(now, out);
}

// Cells are the racks of the list and those that were ever claimed: the tasks
// of a rack that is gone still need an owner who moves them elsewhere.
void planner_engine::set_partitions()
{
    std::set<std::string> names;
    for (auto const& rack : workers_.racks())
    {
        names.insert(rack);
    }
    for (auto const& [name, claim] : claims_.all())
    {
        names.insert(name);
    }
    claims_.set_partitions({names.begin(), names.end()});
}

void planner_engine::on_workers(common::time_point now,
                                ports::worker_list const& list,
                                ports::actions& out)
{
    workers_.on_list(list);
    workers_known_ = true;
    set_partitions();
    pump(now, out);
}

void planner_engine::on_worker_report(common::time_point now,
                                      ports::worker_report const& report,
                                      ports::actions& out)
{
    if (!workers_.on_report(now, report))
    {
        return;
    }
    auto const* view = workers_.find(report.worker);
    auto const cell = cells_.find(view->info.rack);
    if (cell != cells_.end())
    {
        auto with = context(now, cell->first, out);
        cell->second->on_report(with, report);
    }
}

void planner_engine::on_worker_reply(common::time_point now,
                                     ports::worker_reply const& reply,
                                     ports::actions& out)
{
    auto const tag = worker_calls_.take(reply.id);
    if (!tag)
    {
        return;
    }
    auto const cell = cells_.find(tag->cell);
    if (cell != cells_.end())
    {
        auto with = context(now, tag->cell, out);
        cell->second->on_worker_reply(with, *tag, reply);
    }
}

void planner_engine::on_job_request(common::time_point now,
                                    job_request const& request,
                                    ports::actions& out)
{
    auto to_desk = desk(now, out);
    desk_.on_request(to_desk, request);
}

void planner_engine::begin_stop(common::time_point now, ports::actions& out)
{
    if (stop_since_)
    {
        return;
    }
    stop_since_ = now;
    claims_.begin_leaving();
    member_.begin_leaving(now, out);
    for (auto& [name, cell] : cells_)
    {
        cell->hold();
        releasing_.insert(name);
    }
}

void planner_engine::follow_stop(common::time_point now, ports::actions& out)
{
    if (!stop_since_ || stop_told_)
    {
        return;
    }
    if (!removing_ && cells_.empty() && claims_.held(member_) == 0)
    {
        removing_ = true;
        member_.remove(now, out);
    }
    bool const late = now - *stop_since_ >= settings_.stop_limit;
    if ((removing_ && member_.gone()) || late)
    {
        stop_told_ = true;
        out.emplace_back(ports::stop_complete{});
    }
}

bool planner_engine::ready(common::time_point now) const noexcept
{
    return member_.knows_members() && claims_.known() && workers_known_ &&
           member_.may_act(now) && !stop_since_;
}

bool planner_engine::stopping() const noexcept
{
    return stop_since_.has_value();
}

membership::member& planner_engine::members() noexcept
{
    return member_;
}

membership::member const& planner_engine::members() const noexcept
{
    return member_;
}

config::follower& planner_engine::follower() noexcept
{
    return follower_;
}

claims::claim_table const& planner_engine::claims() const noexcept
{
    return claims_;
}

worker_book const& planner_engine::workers() const noexcept
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

std::map<std::string, std::unique_ptr<cell_runner>> const&
planner_engine::cells() const noexcept
{
    return cells_;
}

std::vector<std::string> planner_engine::racks() const
{
    std::vector<std::string> out;
    out.reserve(cells_.size());
    for (auto const& [name, cell] : cells_)
    {
        out.push_back(name);
    }
    return out;
}

cell_load planner_engine::totals() const noexcept
{
    return loads_.totals();
}

} // namespace fuchsia::core::tasks
