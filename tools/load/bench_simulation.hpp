#pragma once

#include "core/common/time.hpp"
#include "ports/store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

namespace fuchsia::tools::load
{

/// Event loop in virtual time for the bench. Events run in order of their time;
/// events of the same time run in the order they were added.
class bench_event_loop
{
public:
    using time_point = core::common::time_point;
    using duration = core::common::duration;

    explicit bench_event_loop(std::uint64_t seed) : random_(seed)
    {
    }

    time_point now() const noexcept
    {
        return now_;
    }

    void after(duration delay, std::function<void()> run)
    {
        events_.emplace(now_ + delay, std::move(run));
    }

    void run_until(time_point end)
    {
        while (!events_.empty() && events_.begin()->first <= end)
        {
            auto node = events_.extract(events_.begin());
            now_ = node.key();
            node.mapped()();
        }
        now_ = end;
    }

    /// Returns a pseudo-random number below `bound`. The sequence is the same
    /// on every machine.
    std::uint64_t random_below(std::uint64_t bound)
    {
        return random_() % bound;
    }

private:
    time_point now_{std::chrono::hours(1)};
    std::multimap<time_point, std::function<void()>> events_;
    std::mt19937_64 random_;
};

/// Fault-free in-memory store for the bench with versions, compare-and-swap and
/// watches.
class bench_store
{
public:
    using handler = std::function<void(ports::store_reply const&)>;

    explicit bench_store(bench_event_loop& loop);

    /// Calls `handle` with the reply after a fixed delay. A watch is answered
    /// when a key below its prefix changes or its wait expires.
    void call(ports::store_call call, handler handle);
    void put(std::string const& key, std::string value);

private:
    struct watcher
    {
        ports::call_id id;
        std::string prefix;
        handler handle;
    };

    ports::store_reply apply(ports::store_call const& call);
    void
    watch(ports::call_id id, ports::store_watch const& watch, handler handle);
    void end_watch(std::uint64_t number);
    void notify(std::string const& key);
    std::uint64_t last_change_index(std::string const& prefix) const;
    ports::store_status compare_and_swap(std::string const& key,
                                         std::uint64_t expected,
                                         std::string const* new_value);
    void list(std::string const& prefix, ports::store_reply& reply) const;

    bench_event_loop& loop_;
    std::map<std::string, ports::store_entry> entries_;
    /// Index of the last change of each key, erasures included.
    std::map<std::string, std::uint64_t> changes_;
    std::map<std::uint64_t, watcher> watchers_;
    std::uint64_t next_watcher_ = 0;
    std::uint64_t index_ = 0;
};

/// Running hash over the text of every decision. A change of any decision
/// changes the value.
class signature
{
public:
    void add(std::string_view text) noexcept;
    std::uint64_t value() const noexcept;
    std::uint64_t count() const noexcept;

private:
    std::uint64_t value_ = 0;
    std::uint64_t count_ = 0;
};

} // namespace fuchsia::tools::load
