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

constexpr std::array<cut_state, 3> cut_directions{
    cut_state::both, cut_state::forward, cut_state::backward};
constexpr std::string_view evacuated_data_centre = "b";

core::common::duration delay_of(fault const& spec)
{
    return 10ms + std::chrono::milliseconds(spec.variant);
}

// Kind of fault that a fault of a series consists of, or else its own kind.
fault_kind simple_kind_of(fault const& spec)
{
    switch (spec.kind)
    {
    case fault_kind::owner_change:
        return kind_of_owner_change(spec.variant);
    case fault_kind::owner_loss:
        return fault_kind::kill;
    case fault_kind::long_worker_cut:
        return fault_kind::worker_cut;
    case fault_kind::same_id_restart:
        return fault_kind::crash;
    default:
        return spec.kind;
    }
}

// Whether the process of the instance is stopped until the fault ends.
bool stops_instance(fault_kind kind)
{
    return kind == fault_kind::kill || kind == fault_kind::stop;
}

bool stops_worker(fault_kind kind)
{
    return kind == fault_kind::crash || kind == fault_kind::drain;
}

} // namespace

fault_injector::fault_injector(instance_group& under_test,
                               standins::pool::pool_server& platform,
                               relays workers,
                               observation_log& out,
                               bool stale_configuration)
    : instances_(under_test), platform_(platform), workers_(std::move(workers)),
      out_(out), full_capacity_(platform_.info(0).capacity),
      stale_configuration_(stale_configuration)
{
}

void fault_injector::begin()
{
    put_configuration();
    for (std::size_t worker = 0; worker < platform_.workers(); ++worker)
    {
        out_.append(
            capacity_set{platform_.info(worker).id, full_capacity_.millicores});
    }
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
    auto spec = planned;
    spec.kind = simple_kind_of(spec);
    if (spec.at_owner && !hits_worker(spec.kind))
    {
        spec.target = owner().value_or(spec.target);
    }
    // A worker that a task has crashed can't crash again before it is back.
    bool const is_down =
        stops_worker(spec.kind) && platform_.is_down(spec.target);
    if (is_down ||
        (stops_worker(spec.kind) && !busy_workers_.insert(spec.target).second))
    {
        return;
    }
    // At least half of the instances stay up, so that the remaining traffic is
    // served and can be checked.
    bool const instance = stops_instance(spec.kind);
    if (instance && stopping_instances_.size() * 2 >= instances_.size())
    {
        return;
    }
    ++applied_;
    auto const name = std::to_string(applied_) + " " +
                      std::string(name_of(spec.kind)) + " " +
                      std::to_string(spec.target);
    if (suspends_time_limits(spec.kind))
    {
        out_.append(fault_state_set{name, true});
    }
    else
    {
        out_.append_comment(name);
    }
    active_.push_back({spec, name, clock::now() + spec.length});
    begin_fault(spec);
    update_state(spec);
}

void fault_injector::plant_unfinished_takeover()
{
    for (std::size_t worker = 0; worker < platform_.workers(); ++worker)
    {
        platform_.worker_fault_gate(worker).set(fault_gate_mode::suspended);
    }
    fault kill;
    kill.length = 1s;
    kill.kind = fault_kind::kill;
    kill.at_owner = true;
    apply(kill);
}

void fault_injector::begin_fault(fault const& spec)
{
    switch (spec.kind)
    {
    case fault_kind::kill:
        stopping_instances_.insert(spec.target);
        instances_.kill(spec.target);
        break;
    case fault_kind::stop:
        stopping_instances_.insert(spec.target);
        instances_.terminate(spec.target);
        break;
    case fault_kind::settings_change:
        instances_.change_settings(spec.target, spec.variant % 2 == 0);
        break;
    case fault_kind::store_reset:
        instances_.store_link(spec.target).reset();
        break;
    case fault_kind::caller_reset:
        instances_.caller_link(spec.target).reset();
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
        change_configuration(spec.variant);
        break;
    default:
        begin_worker_fault(spec);
        break;
    }
}

void fault_injector::begin_worker_fault(fault const& spec)
{
    auto const worker = spec.target;
    switch (spec.kind)
    {
    case fault_kind::worker_reset:
        workers_[worker]->reset();
        break;
    case fault_kind::crash:
        out_.append(worker_crashed{platform_.info(worker).id, {}});
        platform_.crash(worker);
        break;
    case fault_kind::drain:
        platform_.drain(worker);
        out_.append(worker_draining{platform_.info(worker).id});
        break;
    case fault_kind::evacuation:
        set_data_centre(true);
        break;
    case fault_kind::shrink:
        set_capacity(worker, spec.variant % 4 * full_capacity_.millicores / 4);
        break;
    default:
        break;
    }
}

// A worker that has shrunk twice grows with the end of the first change.
void fault_injector::set_capacity(std::uint32_t worker, std::int64_t millicores)
{
    if (platform_.is_down(worker))
    {
        return;
    }
    auto capacity = full_capacity_;
    capacity.millicores = millicores;
    platform_.set_capacity(worker, capacity);
    out_.append(capacity_set{platform_.info(worker).id, millicores});
}

// A task may have crashed the worker, which then comes back by itself.
void fault_injector::note_returned_workers()
{
    for (std::uint32_t worker = 0; worker < platform_.workers(); ++worker)
    {
        if (platform_.is_down(worker))
        {
            gone_workers_.insert(worker);
        }
        else if (gone_workers_.erase(worker) > 0)
        {
            out_.append(
                capacity_set{platform_.info(worker).id,
                             platform_.info(worker).capacity.millicores});
        }
    }
}

void fault_injector::advance(time_point now)
{
    note_returned_workers();
    calm_since_ = calm_since_.value_or(now);
    for (std::size_t number = 0; number < instances_.size(); ++number)
    {
        auto const instance_index = static_cast<std::uint32_t>(number);
        if (instances_.has_exited(number) &&
            !stopping_instances_.contains(instance_index))
        {
            instances_.start(number); // It exited without a fault.
        }
    }
    for (auto entry = active_.begin(); entry != active_.end();)
    {
        auto const ending = *entry;
        if (ending.until > now || !end_fault(ending.spec))
        {
            ++entry;
            continue;
        }
        entry = active_.erase(entry);
        update_state(ending.spec);
        if (suspends_time_limits(ending.spec.kind))
        {
            out_.append(fault_state_set{ending.name, false});
            calm_since_ = now;
        }
    }
}

bool fault_injector::end_fault(fault const& spec)
{
    switch (spec.kind)
    {
    case fault_kind::kill:
    case fault_kind::stop:
        return restart(spec.target);
    case fault_kind::crash:
        replace_worker(spec.target, spec.variant % 2 == 0);
        break;
    case fault_kind::drain:
        out_.append(worker_crashed{platform_.info(spec.target).id, {}});
        platform_.crash(spec.target);
        replace_worker(spec.target, false);
        break;
    case fault_kind::shrink:
        set_capacity(spec.target, full_capacity_.millicores);
        break;
    default:
        break;
    }
    return true;
}

// If several faults keep the instance down, only the last of them to end
// restarts it.
bool fault_injector::restart(std::uint32_t instance)
{
    auto const others =
        std::count_if(active_.begin(),
                      active_.end(),
                      [instance](active_fault const& entry)
                      {
                          return stops_instance(entry.spec.kind) &&
                                 entry.spec.target == instance;
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
    stopping_instances_.erase(instance);
    return true;
}

void fault_injector::replace_worker(std::uint32_t worker, bool same_id)
{
    platform_.restart(worker, same_id);
    busy_workers_.erase(worker);
}

fault const* fault_injector::latest_active(fault_kind kind,
                                           std::uint32_t target) const
{
    auto const found = std::find_if(active_.rbegin(),
                                    active_.rend(),
                                    [kind, target](active_fault const& entry)
                                    {
                                        return entry.spec.kind == kind &&
                                               entry.spec.target == target;
                                    });
    return found == active_.rend() ? nullptr : &found->spec;
}

void fault_injector::update_state(fault const& spec)
{
    if (spec.kind == fault_kind::pause)
    {
        instances_.pause(spec.target,
                         latest_active(fault_kind::pause, spec.target) !=
                             nullptr);
    }
    update_links(spec);
    update_gates(spec);
    auto const evacuated =
        std::any_of(active_.begin(),
                    active_.end(),
                    [](active_fault const& entry)
                    {
                        return entry.spec.kind == fault_kind::evacuation;
                    });
    if (spec.kind == fault_kind::evacuation && !evacuated)
    {
        set_data_centre(false);
    }
}

cut_state fault_injector::cut_of(fault_kind kind, std::uint32_t target) const
{
    auto const* const found = latest_active(kind, target);
    return found != nullptr
               ? cut_directions[found->variant % cut_directions.size()]
               : cut_state::none;
}

// An outage of the store for all instances outweighs a cut of one of them.
void fault_injector::update_store_cut(std::uint32_t instance)
{
    bool const outage =
        std::any_of(active_.begin(),
                    active_.end(),
                    [](active_fault const& entry)
                    {
                        return entry.spec.kind == fault_kind::store_outage;
                    });
    instances_.store_link(instance).set_cut(
        outage ? cut_state::both : cut_of(fault_kind::store_cut, instance));
}

void fault_injector::update_links(fault const& spec)
{
    auto const delay = [this, &spec]
    {
        auto const* const found = latest_active(spec.kind, spec.target);
        return found != nullptr ? delay_of(*found) : core::common::duration{};
    };
    auto const cut = [this, &spec]
    {
        return cut_of(spec.kind, spec.target);
    };
    switch (spec.kind)
    {
    case fault_kind::store_delay:
        instances_.store_link(spec.target).set_delay(delay());
        break;
    case fault_kind::store_cut:
        update_store_cut(spec.target);
        break;
    case fault_kind::store_outage:
        for (std::uint32_t number = 0; number < instances_.size(); ++number)
        {
            update_store_cut(number);
        }
        break;
    case fault_kind::caller_delay:
        instances_.caller_link(spec.target).set_delay(delay());
        break;
    case fault_kind::caller_cut:
        instances_.caller_link(spec.target).set_cut(cut());
        break;
    case fault_kind::worker_cut:
        workers_[spec.target]->set_cut(cut());
        break;
    default:
        break;
    }
}

// If several faults are active on one service, the latest one takes effect.
void fault_injector::update_gates(fault const& spec)
{
    struct mode_row
    {
        fault_kind kind;
        fault_gate_mode mode;
        bool worker;
    };
    constexpr std::array<mode_row, 8> modes{{
        {fault_kind::store_silent, fault_gate_mode::suspended, false},
        {fault_kind::store_refusing, fault_gate_mode::unavailable, false},
        {fault_kind::store_late, fault_gate_mode::delayed, false},
        {fault_kind::store_lossy, fault_gate_mode::response_lost, false},
        {fault_kind::worker_late, fault_gate_mode::delayed, true},
        {fault_kind::worker_silent, fault_gate_mode::suspended, true},
        {fault_kind::worker_lossy, fault_gate_mode::response_lost, true},
        {fault_kind::late_orders, fault_gate_mode::late, true},
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
    auto const selected = row_of(spec.kind);
    if (selected == modes.end())
    {
        return;
    }
    auto& gate = selected->worker ? platform_.worker_fault_gate(spec.target)
                                  : platform_.store_fault_gate();
    gate.set(fault_gate_mode::open);
    for (auto const& entry : active_)
    {
        auto const row = row_of(entry.spec.kind);
        if (row != modes.end() && row->worker == selected->worker &&
            (!row->worker || entry.spec.target == spec.target))
        {
            gate.set(row->mode, delay_of(entry.spec));
        }
    }
    gate.process_due(clock::now());
}

bool fault_injector::end_all()
{
    for (auto& entry : active_)
    {
        entry.until = clock::now();
    }
    advance(clock::now());
    return active_.empty();
}

core::common::duration fault_injector::calm_for(time_point now) const
{
    auto const suspends = [](active_fault const& entry)
    {
        return suspends_time_limits(entry.spec.kind);
    };
    bool const calm =
        calm_since_ && std::none_of(active_.begin(), active_.end(), suspends);
    return calm ? now - *calm_since_ : core::common::duration{};
}

std::uint64_t fault_injector::applied() const noexcept
{
    return applied_;
}

void fault_injector::change_configuration(std::uint32_t value)
{
    auto const queue = value % extra_queue_count;
    if (extra_queues_.erase(queue) == 0)
    {
        extra_queues_.insert(queue);
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
    for (auto const number : extra_queues_)
    {
        add(extra_queue(number), 1);
    }
    if (!stale_configuration_ || version_ == 1)
    {
        platform_.store().put("op/config",
                              standins::pool::encode_config(version_, queues));
    }
    out_.append(configuration_set{version_, names});
}

void fault_injector::set_data_centre(bool out_of_service)
{
    std::string const name(evacuated_data_centre);
    if (out_of_service)
    {
        platform_.store().put("op/evacuate/" + name, "{}");
    }
    else
    {
        platform_.store().erase("op/evacuate/" + name);
    }
    out_.append(data_centre_set{name, out_of_service});
}

} // namespace fuchsia::tools::soak
