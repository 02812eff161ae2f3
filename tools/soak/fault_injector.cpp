#include "tools/soak/fault_injector.hpp"

#include "core/pool/claim_holder.hpp"
#include "standins/pool/pool_codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fuchsia::tools::soak
{

namespace
{

using namespace std::chrono_literals;
using core::common::clock;
using core::common::time_point;
using standins::links::cut_state;
using standins::pool::fault_gate_mode;

constexpr std::array<cut_state, 3> cuts{
    cut_state::both, cut_state::forward, cut_state::backward};
constexpr std::string_view data_centre_out = "b";

core::common::duration delay_of(fault const& what)
{
    return 10ms + std::chrono::milliseconds(what.variant);
}

// Its process is gone until the fault ends.
bool ends_instance(fault_kind kind)
{
    return kind == fault_kind::kill || kind == fault_kind::stop;
}

bool ends_worker(fault_kind kind)
{
    return kind == fault_kind::crash || kind == fault_kind::drain;
}

} // namespace

fault_injector::fault_injector(instance_group& under_test,
                               standins::pool::pool_server& platform,
                               relays workers,
                               observation_log& out,
                               bool stale)
    : instances_(under_test), platform_(platform), workers_(std::move(workers)),
      out_(out), stale_(stale)
{
}

void fault_injector::begin()
{
    put_configuration();
}

std::optional<std::uint32_t> fault_injector::owner() const
{
    auto const item = platform_.store().find("pool/claim");
    core::common::failure reason;
    auto const holder =
        item ? core::pool::parse_claim_holder(item->value, reason)
             : std::nullopt;
    for (std::uint32_t number = 0; holder && number < instances_.size();
         ++number)
    {
        if (holder->instance.starts_with(instances_.name(number) + "#"))
        {
            return number;
        }
    }
    return std::nullopt;
}

void fault_injector::apply(fault const& planned)
{
    auto what = planned;
    if (what.at_owner && what.kind < fault_kind::worker_cut)
    {
        what.target = owner().value_or(what.target);
    }
    if (ends_worker(what.kind) && !busy_workers_.insert(what.target).second)
    {
        return;
    }
    // Half of the instances stay up, so that there is something to see.
    bool const instance = ends_instance(what.kind);
    if (instance && ending_.size() * 2 >= instances_.size())
    {
        return;
    }
    ++applied_;
    auto const name = std::to_string(applied_) + " " +
                      std::string(name_of(what.kind)) + " " +
                      std::to_string(what.target);
    if (suspends_time_limits(what.kind))
    {
        out_.append(fault_state_set{name, true});
    }
    else
    {
        out_.append_comment(name);
    }
    active_.push_back({what, name, clock::now() + what.length});
    begin_one(what);
    settle(what);
}

void fault_injector::begin_one(fault const& what)
{
    switch (what.kind)
    {
    case fault_kind::kill:
        ending_.insert(what.target);
        instances_.kill(what.target);
        break;
    case fault_kind::stop:
        ending_.insert(what.target);
        instances_.terminate(what.target);
        break;
    case fault_kind::settings_change:
        instances_.change_settings(what.target, what.variant % 2 == 0);
        break;
    case fault_kind::store_reset:
        instances_.store_link(what.target).reset();
        break;
    case fault_kind::caller_reset:
        instances_.caller_link(what.target).reset();
        break;
    case fault_kind::watch_lost:
        platform_.stall_watches();
        break;
    case fault_kind::compaction:
        platform_.store().compact();
        break;
    case fault_kind::lease_lapse:
        platform_.store().expire_all_leases();
        break;
    case fault_kind::configuration:
        change_configuration(what.variant);
        break;
    default:
        begin_worker(what);
        break;
    }
}

void fault_injector::begin_worker(fault const& what)
{
    auto const worker = what.target;
    switch (what.kind)
    {
    case fault_kind::worker_reset:
        workers_[worker]->reset();
        break;
    case fault_kind::crash:
        out_.append(worker_crashed{platform_.info(worker).id});
        platform_.crash(worker);
        break;
    case fault_kind::drain:
        platform_.drain(worker);
        out_.append(worker_draining{platform_.info(worker).id});
        break;
    case fault_kind::evacuation:
        set_data_centre(true);
        break;
    default:
        break;
    }
}

void fault_injector::advance(time_point now)
{
    for (std::size_t number = 0; number < instances_.size(); ++number)
    {
        auto const one = static_cast<std::uint32_t>(number);
        if (instances_.has_exited(number) && !ending_.contains(one))
        {
            instances_.start(number); // It ended by itself.
        }
    }
    for (auto each = active_.begin(); each != active_.end();)
    {
        auto const ending = *each;
        if (ending.until > now || !end_one(ending.what))
        {
            ++each;
            continue;
        }
        each = active_.erase(each);
        settle(ending.what);
        if (suspends_time_limits(ending.what.kind))
        {
            out_.append(fault_state_set{ending.name, false});
        }
    }
}

bool fault_injector::end_one(fault const& what)
{
    switch (what.kind)
    {
    case fault_kind::kill:
    case fault_kind::stop:
        return restart(what.target);
    case fault_kind::crash:
        leave(what.target, what.variant % 2 == 0);
        break;
    case fault_kind::drain:
        out_.append(worker_crashed{platform_.info(what.target).id});
        platform_.crash(what.target);
        leave(what.target, false);
        break;
    default:
        break;
    }
    return true;
}

// The last fault that keeps it down starts it; the others only end.
bool fault_injector::restart(std::uint32_t instance)
{
    auto const others =
        std::count_if(active_.begin(),
                      active_.end(),
                      [instance](active const& each)
                      {
                          return ends_instance(each.what.kind) &&
                                 each.what.target == instance;
                      });
    if (others > 1)
    {
        return true;
    }
    if (!instances_.has_exited(instance))
    {
        return false;
    }
    instances_.start(instance);
    ending_.erase(instance);
    return true;
}

void fault_injector::leave(std::uint32_t worker, bool same_id)
{
    platform_.restart(worker, same_id);
    busy_workers_.erase(worker);
}

fault const* fault_injector::last(fault_kind kind, std::uint32_t target) const
{
    auto const found = std::find_if(active_.rbegin(),
                                    active_.rend(),
                                    [kind, target](active const& each)
                                    {
                                        return each.what.kind == kind &&
                                               each.what.target == target;
                                    });
    return found == active_.rend() ? nullptr : &found->what;
}

void fault_injector::settle(fault const& what)
{
    if (what.kind == fault_kind::pause)
    {
        instances_.pause(what.target,
                         last(fault_kind::pause, what.target) != nullptr);
    }
    settle_links(what);
    settle_gates(what);
    auto const evacuated =
        std::any_of(active_.begin(),
                    active_.end(),
                    [](active const& each)
                    {
                        return each.what.kind == fault_kind::evacuation;
                    });
    if (what.kind == fault_kind::evacuation && !evacuated)
    {
        set_data_centre(false);
    }
}

void fault_injector::settle_links(fault const& what)
{
    auto const delay = [this, &what]
    {
        auto const* const found = last(what.kind, what.target);
        return found != nullptr ? delay_of(*found) : core::common::duration{};
    };
    auto const cut = [this, &what]
    {
        auto const* const found = last(what.kind, what.target);
        return found != nullptr ? cuts[found->variant % cuts.size()]
                                : cut_state::none;
    };
    switch (what.kind)
    {
    case fault_kind::store_delay:
        instances_.store_link(what.target).set_delay(delay());
        break;
    case fault_kind::store_cut:
        instances_.store_link(what.target).set_cut(cut());
        break;
    case fault_kind::caller_delay:
        instances_.caller_link(what.target).set_delay(delay());
        break;
    case fault_kind::caller_cut:
        instances_.caller_link(what.target).set_cut(cut());
        break;
    case fault_kind::worker_cut:
        workers_[what.target]->set_cut(cut());
        break;
    default:
        break;
    }
}

// Of several faults of one service the last one counts.
void fault_injector::settle_gates(fault const& what)
{
    struct mode_row
    {
        fault_kind kind;
        fault_gate_mode mode;
        bool worker;
    };
    constexpr std::array<mode_row, 7> modes{{
        {fault_kind::store_silent, fault_gate_mode::suspended, false},
        {fault_kind::store_refusing, fault_gate_mode::unavailable, false},
        {fault_kind::store_late, fault_gate_mode::delayed, false},
        {fault_kind::store_lossy, fault_gate_mode::response_lost, false},
        {fault_kind::worker_late, fault_gate_mode::delayed, true},
        {fault_kind::worker_silent, fault_gate_mode::suspended, true},
        {fault_kind::worker_lossy, fault_gate_mode::response_lost, true},
    }};
    auto const row_of = [&modes](fault_kind kind)
    {
        return std::find_if(modes.begin(),
                            modes.end(),
                            [kind](mode_row const& row)
                            {
                                return row.kind == kind;
                            });
    };
    auto const meant = row_of(what.kind);
    if (meant == modes.end())
    {
        return;
    }
    auto& gate = meant->worker ? platform_.worker_fault_gate(what.target)
                               : platform_.store_fault_gate();
    gate.set(fault_gate_mode::open);
    for (auto const& each : active_)
    {
        auto const row = row_of(each.what.kind);
        if (row != modes.end() && row->worker == meant->worker &&
            (!row->worker || each.what.target == what.target))
        {
            gate.set(row->mode, delay_of(each.what));
        }
    }
    gate.process_due(clock::now());
}

bool fault_injector::end_all()
{
    for (auto& each : active_)
    {
        each.until = clock::now();
    }
    advance(clock::now());
    return active_.empty();
}

std::uint64_t fault_injector::applied() const noexcept
{
    return applied_;
}

void fault_injector::change_configuration(std::uint32_t value)
{
    auto const queue = value % extra_queue_count;
    if (extra_.erase(queue) == 0)
    {
        extra_.insert(queue);
    }
    version_ += 1 + value % 5;
    put_configuration();
}

void fault_injector::put_configuration()
{
    std::vector<standins::pool::queue_entry> queues;
    std::set<std::string> names;
    auto const add = [&](std::string const& name, std::uint32_t priority)
    {
        queues.push_back({name, name + ".example", "/" + name + "/", priority});
        names.insert(name);
    };
    add(std::string(first_queue), 1);
    add(std::string(second_queue), 0);
    for (auto const number : extra_)
    {
        add(extra_queue(number), 1);
    }
    if (!stale_ || version_ == 1)
    {
        platform_.store().put("op/config",
                              standins::pool::encode_config(version_, queues));
    }
    out_.append(configuration_set{version_, names});
}

void fault_injector::set_data_centre(bool out)
{
    std::string const name(data_centre_out);
    if (out)
    {
        platform_.store().put("op/evacuate/" + name, "{}");
    }
    else
    {
        platform_.store().erase("op/evacuate/" + name);
    }
    out_.append(data_centre_set{name, out});
}

} // namespace fuchsia::tools::soak
