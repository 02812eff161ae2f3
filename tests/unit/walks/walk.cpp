#include "walk.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace fuchsia::tests::unit::walks
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t member_count = 5;
constexpr duration calm_start = std::chrono::seconds(9);
constexpr duration recovery_limit = std::chrono::seconds(90);

membership_simulation_options
make_simulation_options(walk_options const& options)
{
    membership_simulation_options simulation;
    simulation.members = member_count;
    simulation.partitions = 6;
    simulation.seed = options.seed;
    simulation.drift_permille = 30;
    simulation.rules = options.rules;
    simulation.settings.witness_count = options.seed % 4 == 0 ? 0 : 3;
    simulation.settings.platform_list_replaces_consent = options.seed % 2 == 0;
    return simulation;
}

/// Injects random faults one after another and ends each after a while.
class fault_injector
{
public:
    fault_injector(membership_simulation& system, walk_options const& options)
        : system_(system), random_(options.seed * 7919),
          zombies_(options.seed % 2 != 0)
    {
        system_.store.after_write = [this](std::string const& key)
        {
            on_store_write(key);
        };
    }

    void run(duration length)
    {
        set_random_fault_rates();
        time_point const until = system_.time.now() + length;
        while (system_.time.now() < until && system_.violation.empty())
        {
            inject_random_fault();
            system_.run(random_duration(100ms, 1500ms));
        }
    }

    /// Ends all faults and starts a process in every slot whose process ended.
    void clear_faults()
    {
        system_.store.faults = {};
        system_.link.faults = {};
        system_.unfreeze_all();
        for (std::size_t slot = 0; slot < member_count; ++slot)
        {
            if (system_.at(slot).ended)
            {
                system_.start(slot);
            }
        }
    }

private:
    duration random_duration(duration shortest, duration longest)
    {
        auto const range =
            static_cast<std::uint64_t>((longest - shortest).count());
        return shortest +
               duration(static_cast<std::int64_t>(random_() % (range + 1)));
    }

    std::size_t random_slot()
    {
        return random_() % member_count;
    }

    std::uint32_t random_choice(std::initializer_list<std::uint32_t> values)
    {
        return *(values.begin() + random_() % values.size());
    }

    void set_random_fault_rates()
    {
        auto& link = system_.link.faults;
        link.lose_permille = random_choice({0, 0, 20, 100});
        link.duplicate_permille = random_choice({0, 50});
        link.late_permille = random_choice({0, 20, 200});
        auto& store = system_.store.faults;
        store.lose_request_permille = random_choice({0, 0, 20, 100});
        store.lose_reply_permille = random_choice({0, 20, 100, 300});
        store.stale_permille = random_choice({0, 0, 100, 500});
        store.duplicate_permille = random_choice({0, 50});
        store.late_permille = random_choice({0, 20, 200});
        store.timeout =
            std::chrono::milliseconds(random_choice({500, 1000, 5000}));
    }

    // Each draw is a statement of its own, because the compiler may evaluate
    // the arguments of a call in any order.
    void inject_random_fault()
    {
        switch (random_() % 16)
        {
        case 0:
            take_store_down(random_duration(500ms, 15s));
            break;
        case 1:
        case 2:
        case 3:
        {
            duration const length = random_duration(500ms, 12s);
            cut_store_for(random_slot(), length);
            break;
        }
        case 4:
        {
            duration const length = random_duration(500ms, 12s);
            std::size_t const to = random_slot();
            std::size_t const from = random_slot();
            one_way_cut(from, to, length);
            break;
        }
        case 5:
        {
            duration const length = random_duration(500ms, 12s);
            cut_some_peers(random_slot(), length);
            break;
        }
        case 6:
        {
            duration const length = random_duration(500ms, 12s);
            isolate(random_slot(), length);
            break;
        }
        case 7:
        {
            duration const length = random_duration(200ms, 9s);
            freeze(random_slot(), length);
            break;
        }
        case 8:
            system_.end(random_slot());
            break;
        case 9:
            restart(random_slot());
            break;
        case 10:
            leave(random_slot());
            break;
        case 11:
            lose_heartbeat_replies(random_slot());
            break;
        case 12:
        case 13:
            lose_next_witness_change(random_slot());
            break;
        case 14:
            delay_replies(random_slot());
            break;
        default:
            set_random_fault_rates();
            break;
        }
        restart_random_ended_slot();
    }

    void take_store_down(duration length)
    {
        system_.store.faults.down = true;
        system_.time.after(length,
                           [this]
                           {
                               system_.store.faults.down = false;
                           });
    }

    void cut_store_for(std::size_t slot, duration length)
    {
        system_.cut_store(slot, true);
        system_.time.after(length,
                           [this, slot]
                           {
                               system_.cut_store(slot, false);
                           });
    }

    /// Heartbeats of the member take effect but their replies are lost; then
    /// the member reaches neither the store nor some of its peers.
    void lose_heartbeat_replies(std::size_t slot)
    {
        std::string const caller = system_.address_of(slot);
        system_.store.faults.replies_lost.insert(caller);
        system_.time.after(random_duration(500ms, 2s),
                           [this, slot, caller]
                           {
                               system_.store.faults.replies_lost.erase(caller);
                               cut_store_for(slot, random_duration(4s, 12s));
                           });
        cut_some_peers(slot, random_duration(4s, 12s));
    }

    /// The member's next heartbeat that changes its witnesses takes effect, and
    /// the member then loses the reply, the store and some of its peers.
    void lose_next_witness_change(std::size_t slot)
    {
        witness_changes_to_lose_[slot] = system_.stored_witnesses(slot);
    }

    void on_store_write(std::string const& key)
    {
        for (auto const& [slot, previous_witnesses] : witness_changes_to_lose_)
        {
            if (key.ends_with(system_.at(slot).id.name) &&
                system_.stored_witnesses(slot) != previous_witnesses)
            {
                cut_store_for(slot, random_duration(6s, 12s));
                cut_some_peers(slot, random_duration(6s, 12s));
                cut_added_witnesses(slot, previous_witnesses);
                witness_changes_to_lose_.erase(slot);
                return;
            }
        }
    }

    void cut_added_witnesses(
        std::size_t slot,
        core::membership::witness_list const& previous_witnesses)
    {
        auto const current_witnesses = system_.stored_witnesses(slot);
        for (std::size_t other = 0; other < member_count; ++other)
        {
            auto const& id = system_.at(other).id;
            if (std::count(current_witnesses.begin(),
                           current_witnesses.end(),
                           id) != 0 &&
                std::count(previous_witnesses.begin(),
                           previous_witnesses.end(),
                           id) == 0)
            {
                one_way_cut(slot, other, random_duration(6s, 12s));
            }
        }
    }

    /// The member's heartbeats are accepted but answered late; then its
    /// requests to the store are lost, as with a one-way cut.
    void delay_replies(std::size_t slot)
    {
        std::string const caller = system_.address_of(slot);
        system_.store.faults.replies_late.insert(caller);
        system_.time.after(random_duration(200ms, 2s),
                           [this, caller]
                           {
                               auto& faults = system_.store.faults;
                               faults.replies_late.erase(caller);
                               faults.requests_lost.insert(caller);
                               system_.time.after(
                                   random_duration(4s, 10s),
                                   [this, caller]
                                   {
                                       system_.store.faults.requests_lost.erase(
                                           caller);
                                   });
                           });
        isolate(slot, random_duration(1s, 10s));
    }

    void one_way_cut(std::size_t from, std::size_t to, duration length)
    {
        system_.cut(from, to, true);
        system_.time.after(length,
                           [this, from, to]
                           {
                               system_.cut(from, to, false);
                           });
    }

    void cut_some_peers(std::size_t slot, duration length)
    {
        for (std::size_t other = 0; other < member_count; ++other)
        {
            if (random_() % 2 == 0)
            {
                one_way_cut(slot, other, length);
                one_way_cut(other, slot, length);
            }
        }
    }

    void isolate(std::size_t slot, duration length)
    {
        for (std::size_t other = 0; other < member_count; ++other)
        {
            one_way_cut(slot, other, length);
            one_way_cut(other, slot, length);
        }
        if (random_() % 2 == 0)
        {
            cut_store_for(slot, length);
        }
    }

    void freeze(std::size_t slot, duration length)
    {
        system_.freeze(slot);
        bool const starts_zombie = zombies_ && random_() % 3 == 0;
        if (starts_zombie)
        {
            system_.start(slot, true);
        }
        system_.time.after(length,
                           [this, slot, starts_zombie]
                           {
                               if (starts_zombie)
                               {
                                   system_.unfreeze_all();
                               }
                               system_.unfreeze(slot);
                           });
    }

    void restart(std::size_t slot)
    {
        if (!system_.at(slot).frozen)
        {
            system_.start(slot);
        }
    }

    void leave(std::size_t slot)
    {
        if (!system_.at(slot).frozen)
        {
            system_.begin_leaving(slot);
        }
    }

    void restart_random_ended_slot()
    {
        std::size_t const slot = random_slot();
        if (system_.at(slot).ended && random_() % 3 == 0)
        {
            system_.start(slot);
        }
    }

    membership_simulation& system_;
    std::mt19937_64 random_;
    bool zombies_;
    /// Slots whose next witness change is to be lost, with the witnesses before
    /// the change.
    std::map<std::size_t, core::membership::witness_list>
        witness_changes_to_lose_;
};

} // namespace

walk_result run_walk(walk_options const& options)
{
    membership_simulation system(make_simulation_options(options));
    fault_injector faults(system, options);
    for (std::size_t slot = 0; slot < member_count; ++slot)
    {
        system.start(slot);
    }
    system.run(calm_start);
    faults.run(options.faults);
    if (system.violation.empty() && options.must_recover)
    {
        faults.clear_faults();
        system.run(std::chrono::seconds(1));
        // Timed events may have set further faults.
        faults.clear_faults();
    }
    walk_result result;
    result.recovered =
        options.must_recover && system.run_until(
                                    [&system]
                                    {
                                        return system.all_owned();
                                    },
                                    recovery_limit);
    result.violation = system.violation;
    result.fencing_writes = system.fencing_writes;
    result.checks_proved_by_witnesses = system.checks_proved_by_witnesses;
    result.pauses = system.pauses;
    return result;
}

} // namespace fuchsia::tests::unit::walks
