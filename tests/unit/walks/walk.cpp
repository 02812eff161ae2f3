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

membership_simulation_options describe(walk_options const& options)
{
    membership_simulation_options described;
    described.members = member_count;
    described.partitions = 6;
    described.seed = options.seed;
    described.drift_permille = 30;
    described.parts = options.parts;
    described.settings.witness_count = options.seed % 4 == 0 ? 0 : 3;
    described.settings.platform_list_replaces_consent = options.seed % 2 == 0;
    return described;
}

/// Brings about one random fault after another, and mends each again.
class trouble
{
public:
    trouble(membership_simulation& system, walk_options const& options)
        : system_(system), random_(options.seed * 7919),
          zombies_(options.seed % 2 != 0)
    {
        system_.store.after_write = [this](std::string const& key)
        {
            lose_list_change_at(key);
        };
    }

    void run(duration length)
    {
        spread_over_links();
        time_point const until = system_.time.now() + length;
        while (system_.time.now() < until && system_.violation.empty())
        {
            one();
            system_.run(between(100ms, 1500ms));
        }
    }

    /// Ends all faults and fills all slots.
    void mend()
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
    duration between(duration least, duration most)
    {
        auto const range = static_cast<std::uint64_t>((most - least).count());
        return least +
               duration(static_cast<std::int64_t>(random_() % (range + 1)));
    }

    std::size_t any_slot()
    {
        return random_() % member_count;
    }

    std::uint32_t any_of(std::initializer_list<std::uint32_t> values)
    {
        return *(values.begin() + random_() % values.size());
    }

    void spread_over_links()
    {
        auto& link = system_.link.faults;
        link.lose_permille = any_of({0, 0, 20, 100});
        link.duplicate_permille = any_of({0, 50});
        link.late_permille = any_of({0, 20, 200});
        auto& store = system_.store.faults;
        store.lose_request_permille = any_of({0, 0, 20, 100});
        store.lose_reply_permille = any_of({0, 20, 100, 300});
        store.stale_permille = any_of({0, 0, 100, 500});
        store.duplicate_permille = any_of({0, 50});
        store.late_permille = any_of({0, 20, 200});
        store.timeout = std::chrono::milliseconds(any_of({500, 1000, 5000}));
    }

    void one()
    {
        switch (random_() % 16)
        {
        case 0:
            store_down(between(500ms, 15s));
            break;
        case 1:
        case 2:
        case 3:
            store_cut(any_slot(), between(500ms, 12s));
            break;
        case 4:
            one_way_cut(any_slot(), any_slot(), between(500ms, 12s));
            break;
        case 5:
            lose_some_peers(any_slot(), between(500ms, 12s));
            break;
        case 6:
            isolate(any_slot(), between(500ms, 12s));
            break;
        case 7:
            freeze(any_slot(), between(200ms, 9s));
            break;
        case 8:
            system_.end(any_slot());
            break;
        case 9:
            restart(any_slot());
            break;
        case 10:
            leave(any_slot());
            break;
        case 11:
            lose_beat(any_slot());
            break;
        case 12:
        case 13:
            lose_list_change(any_slot());
            break;
        case 14:
            answer_late(any_slot());
            break;
        default:
            spread_over_links();
            break;
        }
        start_one_that_ended();
    }

    void store_down(duration length)
    {
        system_.store.faults.down = true;
        system_.time.after(length,
                           [this]
                           {
                               system_.store.faults.down = false;
                           });
    }

    void store_cut(std::size_t slot, duration length)
    {
        system_.cut_store(slot, true);
        system_.time.after(length,
                           [this, slot]
                           {
                               system_.cut_store(slot, false);
                           });
    }

    /// A beat takes effect but its member never learns it: the answers are
    /// lost for a while, and then the store can't be reached; nor can some of
    /// its peers.
    void lose_beat(std::size_t slot)
    {
        std::string const caller = system_.address_of(slot);
        system_.store.faults.replies_lost.insert(caller);
        system_.time.after(between(500ms, 2s),
                           [this, slot, caller]
                           {
                               system_.store.faults.replies_lost.erase(caller);
                               store_cut(slot, between(4s, 12s));
                           });
        lose_some_peers(slot, between(4s, 12s));
    }

    /// The next beat of the member that names other witnesses takes effect,
    /// and its member loses the answer, the store and some of its peers.
    void lose_list_change(std::size_t slot)
    {
        list_changes_[slot] = system_.stored_witnesses(slot);
    }

    void lose_list_change_at(std::string const& key)
    {
        for (auto const& [slot, before] : list_changes_)
        {
            if (key.ends_with(system_.at(slot).id.name) &&
                system_.stored_witnesses(slot) != before)
            {
                store_cut(slot, between(6s, 12s));
                lose_some_peers(slot, between(6s, 12s));
                lose_added(slot, before);
                list_changes_.erase(slot);
                return;
            }
        }
    }

    void lose_added(std::size_t slot,
                    core::membership::witness_list const& before)
    {
        auto const now = system_.stored_witnesses(slot);
        for (std::size_t other = 0; other < member_count; ++other)
        {
            auto const& id = system_.at(other).id;
            if (std::count(now.begin(), now.end(), id) != 0 &&
                std::count(before.begin(), before.end(), id) == 0)
            {
                one_way_cut(slot, other, between(6s, 12s));
            }
        }
    }

    /// A member's beats are accepted and answered late, and then its calls
    /// arrive no more: a one-way cut.
    void answer_late(std::size_t slot)
    {
        std::string const caller = system_.address_of(slot);
        system_.store.faults.replies_late.insert(caller);
        system_.time.after(between(200ms, 2s),
                           [this, caller]
                           {
                               auto& faults = system_.store.faults;
                               faults.replies_late.erase(caller);
                               faults.requests_lost.insert(caller);
                               system_.time.after(
                                   between(4s, 10s),
                                   [this, caller]
                                   {
                                       system_.store.faults.requests_lost.erase(
                                           caller);
                                   });
                           });
        isolate(slot, between(1s, 10s));
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

    void lose_some_peers(std::size_t slot, duration length)
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
            store_cut(slot, length);
        }
    }

    void freeze(std::size_t slot, duration length)
    {
        system_.freeze(slot);
        bool const second = zombies_ && random_() % 3 == 0;
        if (second)
        {
            system_.start(slot, true);
        }
        system_.time.after(length,
                           [this, slot, second]
                           {
                               if (second)
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

    void start_one_that_ended()
    {
        std::size_t const slot = any_slot();
        if (system_.at(slot).ended && random_() % 3 == 0)
        {
            system_.start(slot);
        }
    }

    membership_simulation& system_;
    std::mt19937_64 random_;
    bool zombies_;
    /// Members whose next change of witnesses is lost, and these before it.
    std::map<std::size_t, core::membership::witness_list> list_changes_;
};

} // namespace

walk_result run_walk(walk_options const& options)
{
    membership_simulation system(describe(options));
    trouble faults(system, options);
    for (std::size_t slot = 0; slot < member_count; ++slot)
    {
        system.start(slot);
    }
    system.run(calm_start);
    faults.run(options.faults);
    if (system.violation.empty() && options.must_recover)
    {
        faults.mend();
        system.run(std::chrono::seconds(1));
        faults.mend(); // Faults that were still to end may have left some.
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
