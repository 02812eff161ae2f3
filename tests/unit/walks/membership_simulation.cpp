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

member_info describe(ports::member_identity const& id,
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
                 std::string where,
                 membership_simulation_options const& options,
                 time_point born,
                 std::int64_t rate_permille)
    : id{std::move(name), incarnation}, address(std::move(where)),
      member(
          options.settings, describe(id, address), incarnation, options.parts),
      claims(role, partition_names(options.partitions)), started_at_(born),
      rate_permille_(rate_permille)
{
}

// Each clock has an origin of its own, so that no time is meant for another.
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
               for (auto const& who : everyone_)
               {
                   if (who->address == address && who->id == to)
                   {
                       deliver(who,
                               [this, message](process& receiver)
                               {
                                   run_in(receiver.shared_from_this(),
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
    auto const who = std::make_shared<process>(slot_name(slot),
                                               random_() | 1,
                                               address_name(slot),
                                               options_,
                                               time.now(),
                                               1000 + drift);
    slots_[slot] = who;
    std::erase_if(everyone_,
                  [](process_pointer const& other)
                  {
                      return other->ended;
                  });
    everyone_.push_back(who);
    run_in(who,
           [](process& self, time_point local, ports::actions& out)
           {
               self.member.start(local, out);
               self.claims.start(local, out);
           });
    tick(who);
    return *who;
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
    auto const who = slots_[slot];
    if (who && std::exchange(who->frozen, false))
    {
        drain(who);
    }
}

void membership_simulation::unfreeze_all()
{
    auto const all = everyone_;
    for (auto const& who : all)
    {
        if (std::exchange(who->frozen, false))
        {
            drain(who);
        }
    }
}

// What waited is handled before the next tick as often as after it.
void membership_simulation::drain(process_pointer const& who)
{
    check();
    auto waiting = std::exchange(who->inbox, {});
    if (random_() % 2 == 0)
    {
        std::shuffle(waiting.begin(), waiting.end(), random_);
    }
    for (auto const& what : waiting)
    {
        deliver(who, what);
    }
}

void membership_simulation::begin_leaving(std::size_t slot)
{
    auto const who = slots_[slot];
    if (!who || who->ended || std::exchange(who->leaving, true))
    {
        return;
    }
    run_in(who,
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

bool membership_simulation::run_until(std::function<bool()> const& wanted,
                                      duration limit)
{
    time_point const until = time.now() + limit;
    while (!wanted())
    {
        if (!time.step(until))
        {
            return wanted();
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
    for (auto const& who : everyone_)
    {
        if (who->owns(time.now(), partition))
        {
            return who.get();
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
    auto const way = std::pair(address_name(from), address_name(to));
    if (is_cut)
    {
        link.faults.cut.insert(way);
    }
    else
    {
        link.faults.cut.erase(way);
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

void membership_simulation::tick(process_pointer const& who)
{
    if (who->ended)
    {
        return;
    }
    if (!who->frozen)
    {
        run_in(who,
               [](process& self, time_point local, ports::actions& out)
               {
                   self.member.tick(local, out);
                   self.claims.tick(local, self.member, out);
               });
    }
    auto const jitter = std::chrono::milliseconds(random_() % 20);
    time.after(tick_interval + jitter,
               [this, who]
               {
                   tick(who);
               });
}

void membership_simulation::deliver(process_pointer const& who,
                                    process::delivery const& what)
{
    if (who->ended)
    {
        return;
    }
    if (!who->frozen)
    {
        what(*who);
    }
    else if (who->inbox.size() < max_inbox)
    {
        who->inbox.push_back(what);
    }
}

void membership_simulation::run_in(
    process_pointer const& who,
    std::function<void(process&, time_point, ports::actions&)> const& what)
{
    ports::actions out;
    time_point const local = who->local(time.now());
    what(*who, local, out);
    follow_changes(*who, local, out);
    act(who, out);
    check();
}

void membership_simulation::follow_changes(process& who,
                                           time_point local,
                                           ports::actions& out)
{
    for (auto const& change : who.claims.take_changes())
    {
        if (change.kind == core::claims::claim_change_kind::handover_requested)
        {
            who.claims.release(local, change.current.partition, out);
        }
    }
    if (who.leaving && !who.removed && who.claims.held_count(who.member) == 0)
    {
        who.removed = true;
        who.member.remove(local, out);
    }
    if (who.member.is_removed())
    {
        who.ended = true;
    }
}

void membership_simulation::act(process_pointer const& who,
                                ports::actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* call = std::get_if<ports::store_call>(&action))
        {
            store.call(
                who->address,
                *call,
                [this, who](ports::store_reply const& reply)
                {
                    deliver(who,
                            [this, reply](process& receiver)
                            {
                                run_in(
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
            link.send(who->address, who->id, *send);
        }
        else if (auto const* log = std::get_if<ports::log_event>(&action))
        {
            fencing_writes += log->event == "member_burial" ? 1 : 0;
            pauses += log->event == "member_paused" ? 1 : 0;
        }
        else if (std::holds_alternative<ports::rejoin>(action))
        {
            rejoin(who);
        }
    }
}

// The program goes on with a new incarnation; one that was superseded by a
// newer process under its name ends.
void membership_simulation::rejoin(process_pointer const& who)
{
    who->ended = true;
    ++rejoins;
    for (std::size_t slot = 0; slot < slots_.size(); ++slot)
    {
        if (slots_[slot] == who)
        {
            time.after(std::chrono::milliseconds(50),
                       [this, slot, who]
                       {
                           if (slots_[slot] == who)
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
    for (auto const& who : everyone_)
    {
        if (!who->ended)
        {
            list.members.push_back(who->id.name);
        }
    }
    time.after(list_lag,
               [this, list]
               {
                   for (auto const& who : everyone_)
                   {
                       deliver(who,
                               [this, list](process& receiver)
                               {
                                   run_in(receiver.shared_from_this(),
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

void membership_simulation::check()
{
    if (!violation.empty())
    {
        return;
    }
    for (auto const& who : everyone_)
    {
        if (who->may_act(time.now()))
        {
            check_fenced(*who);
            checks_proved_by_witnesses += who->member.proved_by_store() ? 0 : 1;
        }
    }
    for (auto const& partition : partitions_)
    {
        auto const owners =
            std::count_if(everyone_.begin(),
                          everyone_.end(),
                          [this, &partition](process_pointer const& who)
                          {
                              return who->owns(time.now(), partition);
                          });
        if (owners > 1)
        {
            violation = "two members act on partition " + partition;
        }
    }
}

// Whoever may act must have its record in the store, and not as buried.
void membership_simulation::check_fenced(process& who)
{
    auto const& shown = stored(who.id.name);
    if (shown.version == 0)
    {
        violation = who.id.name + " acts though its record was removed";
    }
    else if (shown.fenced || shown.incarnation != who.id.incarnation)
    {
        violation = who.id.name + " acts though it is buried";
    }
}

core::membership::witness_list const&
membership_simulation::stored_witnesses(std::size_t slot)
{
    return stored(slot_name(slot)).witnesses;
}

membership_simulation::shown_record const&
membership_simulation::stored(std::string const& name)
{
    auto const* entry =
        store.contents.find(core::membership::members_prefix(role) + name);
    auto& known = shown_[name];
    if (entry == nullptr)
    {
        known = {};
    }
    else if (known.version != entry->version)
    {
        core::common::failure reason;
        auto const value =
            core::membership::parse_record(role, name, entry->value, reason);
        known = {entry->version,
                 value ? value->info.id.incarnation : 0,
                 value && value->fenced,
                 value ? value->witnesses : core::membership::witness_list{}};
    }
    return known;
}

} // namespace fuchsia::tests::unit::walks
