#include "membership_simulation.hpp"

#include "core/membership/record.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::tests::unit::walks
{

namespace
{

using core::membership::member;
using core::membership::member_info;

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr std::size_t max_inbox = 1000;
constexpr char const* role = "entry";

std::string slot_name(std::size_t slot)
{
    return "entry-" + std::to_string(slot);
}

std::string address_name(std::size_t slot)
{
    return "10.0.0." + std::to_string(slot);
}

member_info make_member_info(ports::member_identity const& id,
                             std::string const& address)
{
    member_info info;
    info.id = id;
    info.role = role;
    info.data_centre = "dc-" + std::to_string((id.name.back() - '0') % 3);
    info.peer_address = {address, 7000};
    info.http_address = {address, 8000};
    return info;
}

std::vector<std::string> partition_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < count; ++number)
    {
        names.push_back(std::to_string(number));
    }
    return names;
}

} // namespace

process::process(std::string name,
                 std::uint64_t incarnation,
                 std::string bound_address,
                 membership_simulation_options const& options,
                 time_point start_time,
                 std::int64_t rate_permille)
    : id{std::move(name), incarnation}, address(std::move(bound_address)),
      member(options.settings,
             make_member_info(id, address),
             incarnation,
             options.rules),
      claims(role, partition_names(options.partitions)),
      started_at_(start_time), rate_permille_(rate_permille)
{
}

// Each clock has its own origin, so that a time of one clock that is used with
// another fails the test.
time_point process::local(time_point now) const
{
    auto const run = (now - started_at_) * rate_permille_ / 1000;
    return time_point(
        std::chrono::seconds(1000 + static_cast<int>(id.incarnation % 977)) +
        run);
}

bool process::may_act(time_point now) const
{
    return !ended && !frozen && member.may_act(local(now));
}

bool process::owns(time_point now, std::string const& partition) const
{
    return !ended && !frozen && claims.owns(local(now), partition, member);
}

membership_simulation::membership_simulation(
    membership_simulation_options const& options)
    : store(time, options.seed * 2 + 1),
      link(time,
           options.seed * 3 + 1,
           [this](std::string const& address,
                  ports::member_identity const& to,
                  ports::peer_receive const& message)
           {
               for (auto const& node : all_processes_)
               {
                   if (node->address == address && node->id == to)
                   {
                       deliver(node,
                               [this, message](process& receiver)
                               {
                                   run_step(receiver.shared_from_this(),
                                            [&message](process& self,
                                                       time_point local,
                                                       ports::actions& out)
                                            {
                                                self.member.on_peer(
                                                    local, message, out);
                                            });
                               });
                       return;
                   }
               }
           }),
      options_(options), random_(options.seed),
      partitions_(partition_names(options.partitions)), slots_(options.members)
{
    publish_list();
}

process& membership_simulation::start(std::size_t slot, bool zombie)
{
    if (slots_[slot] && !zombie)
    {
        slots_[slot]->ended = true;
    }
    std::int64_t const drift =
        options_.drift_permille == 0
            ? 0
            : static_cast<std::int64_t>(
                  random_() %
                  static_cast<std::uint64_t>(2 * options_.drift_permille + 1)) -
                  options_.drift_permille;
    auto const node = std::make_shared<process>(slot_name(slot),
                                                random_() | 1,
                                                address_name(slot),
                                                options_,
                                                time.now(),
                                                1000 + drift);
    slots_[slot] = node;
    std::erase_if(all_processes_,
                  [](process_pointer const& other)
                  {
                      return other->ended;
                  });
    all_processes_.push_back(node);
    run_step(node,
             [](process& self, time_point local, ports::actions& out)
             {
                 self.member.start(local, out);
                 self.claims.start(local, out);
             });
    tick(node);
    return *node;
}

void membership_simulation::end(std::size_t slot)
{
    if (slots_[slot])
    {
        slots_[slot]->ended = true;
    }
}

void membership_simulation::freeze(std::size_t slot)
{
    if (slots_[slot])
    {
        slots_[slot]->frozen = true;
    }
}

void membership_simulation::unfreeze(std::size_t slot)
{
    auto const node = slots_[slot];
    if (node && std::exchange(node->frozen, false))
    {
        handle_inbox(node);
    }
}

void membership_simulation::unfreeze_all()
{
    auto const all = all_processes_;
    for (auto const& node : all)
    {
        if (std::exchange(node->frozen, false))
        {
            handle_inbox(node);
        }
    }
}

// Handles the deliveries received while frozen, in half of the cases in random
// order.
void membership_simulation::handle_inbox(process_pointer const& node)
{
    check_invariants();
    auto waiting = std::exchange(node->inbox, {});
    if (random_() % 2 == 0)
    {
        std::shuffle(waiting.begin(), waiting.end(), random_);
    }
    for (auto const& handler : waiting)
    {
        deliver(node, handler);
    }
}

void membership_simulation::begin_leaving(std::size_t slot)
{
    auto const node = slots_[slot];
    if (!node || node->ended || std::exchange(node->leaving, true))
    {
        return;
    }
    run_step(node,
             [](process& self, time_point local, ports::actions& out)
             {
                 self.claims.begin_leaving();
                 self.member.begin_leaving(local, out);
             });
}

process& membership_simulation::at(std::size_t slot)
{
    return *slots_[slot];
}

bool membership_simulation::run_until(std::function<bool()> const& condition,
                                      duration limit)
{
    time_point const until = time.now() + limit;
    while (!condition())
    {
        if (!time.step(until))
        {
            return condition();
        }
    }
    return true;
}

void membership_simulation::run(duration length)
{
    time.run(length);
}

process* membership_simulation::owner(std::string const& partition)
{
    for (auto const& node : all_processes_)
    {
        if (node->owns(time.now(), partition))
        {
            return node.get();
        }
    }
    return nullptr;
}

bool membership_simulation::all_owned()
{
    return std::all_of(partitions_.begin(),
                       partitions_.end(),
                       [this](std::string const& partition)
                       {
                           return owner(partition) != nullptr;
                       });
}

std::vector<std::string> const&
membership_simulation::partitions() const noexcept
{
    return partitions_;
}

std::string membership_simulation::address_of(std::size_t slot) const
{
    return address_name(slot);
}

void membership_simulation::cut(std::size_t from, std::size_t to, bool is_cut)
{
    auto const route = std::pair(address_name(from), address_name(to));
    if (is_cut)
    {
        link.faults.cut.insert(route);
    }
    else
    {
        link.faults.cut.erase(route);
    }
}

void membership_simulation::cut_store(std::size_t slot, bool is_cut)
{
    if (is_cut)
    {
        store.faults.cut.insert(address_name(slot));
    }
    else
    {
        store.faults.cut.erase(address_name(slot));
    }
}

void membership_simulation::tick(process_pointer const& node)
{
    if (node->ended)
    {
        return;
    }
    if (!node->frozen)
    {
        run_step(node,
                 [](process& self, time_point local, ports::actions& out)
                 {
                     self.member.tick(local, out);
                     self.claims.tick(local, self.member, out);
                 });
    }
    auto const jitter = std::chrono::milliseconds(random_() % 20);
    time.after(tick_interval + jitter,
               [this, node]
               {
                   tick(node);
               });
}

void membership_simulation::deliver(process_pointer const& node,
                                    process::delivery const& handler)
{
    if (node->ended)
    {
        return;
    }
    if (!node->frozen)
    {
        handler(*node);
    }
    else if (node->inbox.size() < max_inbox)
    {
        node->inbox.push_back(handler);
    }
}

void membership_simulation::run_step(
    process_pointer const& node,
    std::function<void(process&, time_point, ports::actions&)> const& handler)
{
    ports::actions out;
    time_point const local = node->local(time.now());
    handler(*node, local, out);
    apply_claim_changes(*node, local, out);
    perform(node, out);
    check_invariants();
}

void membership_simulation::apply_claim_changes(process& node,
                                                time_point local,
                                                ports::actions& out)
{
    for (auto const& change : node.claims.take_changes())
    {
        if (change.kind == core::claims::claim_change_kind::handover_requested)
        {
            node.claims.release(local, change.current.partition, out);
        }
    }
    if (node.leaving && !node.removed &&
        node.claims.held_count(node.member) == 0)
    {
        node.removed = true;
        node.member.remove(local, out);
    }
    if (node.member.is_removed())
    {
        node.ended = true;
    }
}

void membership_simulation::perform(process_pointer const& node,
                                    ports::actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* call = std::get_if<ports::store_call>(&action))
        {
            store.call(
                node->address,
                *call,
                [this, node](ports::store_reply const& reply)
                {
                    deliver(node,
                            [this, reply](process& receiver)
                            {
                                run_step(
                                    receiver.shared_from_this(),
                                    [&reply](process& self,
                                             time_point local,
                                             ports::actions& out)
                                    {
                                        if (reply.id.requester ==
                                            ports::store_requester::claims)
                                        {
                                            self.claims.on_store_reply(
                                                local, reply, self.member, out);
                                        }
                                        else
                                        {
                                            self.member.on_store_reply(
                                                local, reply, out);
                                        }
                                    });
                            });
                });
        }
        else if (auto const* send = std::get_if<ports::peer_send>(&action))
        {
            link.send(node->address, node->id, *send);
        }
        else if (auto const* log = std::get_if<ports::log_event>(&action))
        {
            fencing_writes += log->event == "member_burial" ? 1 : 0;
            pauses += log->event == "member_paused" ? 1 : 0;
        }
        else if (std::holds_alternative<ports::rejoin>(action))
        {
            rejoin(node);
        }
    }
}

// Restarts the process with a new incarnation, unless a newer process has
// superseded it under its name; then it only ends.
void membership_simulation::rejoin(process_pointer const& node)
{
    node->ended = true;
    ++rejoins;
    for (std::size_t slot = 0; slot < slots_.size(); ++slot)
    {
        if (slots_[slot] == node)
        {
            time.after(std::chrono::milliseconds(50),
                       [this, slot, node]
                       {
                           if (slots_[slot] == node)
                           {
                               start(slot);
                           }
                       });
        }
    }
}

void membership_simulation::publish_list()
{
    ports::instance_list list;
    for (auto const& node : all_processes_)
    {
        if (!node->ended)
        {
            list.members.push_back(node->id.name);
        }
    }
    time.after(list_lag,
               [this, list]
               {
                   for (auto const& node : all_processes_)
                   {
                       deliver(node,
                               [this, list](process& receiver)
                               {
                                   run_step(receiver.shared_from_this(),
                                            [&list](process& self,
                                                    time_point local,
                                                    ports::actions& out)
                                            {
                                                auto received = list;
                                                received.received = local;
                                                self.member.on_instances(
                                                    local, received, out);
                                            });
                               });
                   }
               });
    time.after(std::chrono::seconds(1),
               [this]
               {
                   publish_list();
               });
}

void membership_simulation::check_invariants()
{
    if (!violation.empty())
    {
        return;
    }
    for (auto const& node : all_processes_)
    {
        if (node->may_act(time.now()))
        {
            check_not_fenced(*node);
            checks_proved_by_witnesses +=
                node->member.proved_by_store() ? 0 : 1;
        }
    }
    for (auto const& partition : partitions_)
    {
        auto const owners =
            std::count_if(all_processes_.begin(),
                          all_processes_.end(),
                          [this, &partition](process_pointer const& node)
                          {
                              return node->owns(time.now(), partition);
                          });
        if (owners > 1)
        {
            violation = "two members act on partition " + partition;
        }
    }
}

// Requires that a member that may act has a record in the store that is of its
// own incarnation and not fenced.
void membership_simulation::check_not_fenced(process& node)
{
    auto const& current_record = stored_record(node.id.name);
    if (current_record.version == 0)
    {
        violation = node.id.name + " acts although its record was removed";
    }
    else if (current_record.fenced ||
             current_record.incarnation != node.id.incarnation)
    {
        violation = node.id.name + " acts although it is fenced";
    }
}

core::membership::witness_list const&
membership_simulation::stored_witnesses(std::size_t slot)
{
    return stored_record(slot_name(slot)).witnesses;
}

membership_simulation::parsed_record const&
membership_simulation::stored_record(std::string const& name)
{
    auto const* entry =
        store.contents.find(core::membership::members_prefix(role) + name);
    auto& parsed = parsed_records_[name];
    if (entry == nullptr)
    {
        parsed = {};
    }
    else if (parsed.version != entry->version)
    {
        core::common::failure reason;
        auto const value =
            core::membership::parse_record(role, name, entry->value, reason);
        parsed = {entry->version,
                  value ? value->info.id.incarnation : 0,
                  value && value->fenced,
                  value ? value->witnesses : core::membership::witness_list{}};
    }
    return parsed;
}

} // namespace fuchsia::tests::unit::walks
