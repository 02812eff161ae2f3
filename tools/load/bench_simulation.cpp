#include "tools/load/bench_simulation.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace fuchsia::tools::load
{

namespace
{
constexpr core::common::duration store_delay = std::chrono::milliseconds(2);
}

bench_store::bench_store(bench_event_loop& loop) : loop_(loop)
{
}

void bench_store::call(ports::store_call call, handler handle)
{
    if (auto const* wait = std::get_if<ports::store_watch>(&call.operation))
    {
        watch(call.id, *wait, std::move(handle));
        return;
    }
    loop_.after(store_delay,
                [this, call = std::move(call), handle = std::move(handle)]
                {
                    handle(apply(call));
                });
}

ports::store_reply bench_store::apply(ports::store_call const& call)
{
    ports::store_reply reply{call.id, ports::store_status::done, {}, index_};
    if (auto const* read = std::get_if<ports::store_read>(&call.operation))
    {
        auto const found = entries_.find(read->key);
        if (found != entries_.end())
        {
            reply.entries.push_back(found->second);
        }
    }
    else if (auto const* all = std::get_if<ports::store_list>(&call.operation))
    {
        list(all->prefix, reply);
    }
    else if (auto const* write =
                 std::get_if<ports::store_write>(&call.operation))
    {
        reply.status = compare_and_swap(
            write->key, write->expected_version, &write->value);
        reply.index = index_;
    }
    else if (auto const* erase =
                 std::get_if<ports::store_erase>(&call.operation))
    {
        reply.status =
            compare_and_swap(erase->key, erase->expected_version, nullptr);
        reply.index = index_;
    }
    return reply;
}

void bench_store::watch(ports::call_id id,
                        ports::store_watch const& watch,
                        handler handle)
{
    auto const number = ++next_watcher_;
    watchers_.emplace(number, watcher{id, watch.prefix, std::move(handle)});
    bool const newer = last_change_index(watch.prefix) > watch.index;
    loop_.after(newer ? store_delay : watch.wait,
                [this, number]
                {
                    end_watch(number);
                });
}

void bench_store::end_watch(std::uint64_t number)
{
    auto const node = watchers_.extract(number);
    if (node.empty())
    {
        return;
    }
    auto const& ended = node.mapped();
    ports::store_reply reply{ended.id, ports::store_status::done, {}, index_};
    list(ended.prefix, reply);
    ended.handle(reply);
}

void bench_store::notify(std::string const& key)
{
    for (auto const& [number, waiting] : watchers_)
    {
        if (key.starts_with(waiting.prefix))
        {
            loop_.after(store_delay,
                        [this, number = number]
                        {
                            end_watch(number);
                        });
        }
    }
}

std::uint64_t bench_store::last_change_index(std::string const& prefix) const
{
    std::uint64_t newest = 0;
    for (auto it = changes_.lower_bound(prefix);
         it != changes_.end() && it->first.starts_with(prefix);
         ++it)
    {
        newest = std::max(newest, it->second);
    }
    return newest;
}

void bench_store::put(std::string const& key, std::string value)
{
    entries_[key] = {key, std::move(value), ++index_};
    changes_[key] = index_;
    notify(key);
}

ports::store_status bench_store::compare_and_swap(std::string const& key,
                                                  std::uint64_t expected,
                                                  std::string const* new_value)
{
    auto const found = entries_.find(key);
    std::uint64_t const version =
        found == entries_.end() ? 0 : found->second.version;
    if (version != expected)
    {
        return ports::store_status::conflict;
    }
    if (new_value == nullptr)
    {
        entries_.erase(key);
        changes_[key] = ++index_;
        notify(key);
        return ports::store_status::done;
    }
    put(key, *new_value);
    return ports::store_status::done;
}

void bench_store::list(std::string const& prefix,
                       ports::store_reply& reply) const
{
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.starts_with(prefix);
         ++it)
    {
        reply.entries.push_back(it->second);
    }
}

void signature::add(std::string_view text) noexcept
{
    value_ = core::common::hash_of(text, value_);
    ++count_;
}

std::uint64_t signature::value() const noexcept
{
    return value_;
}

std::uint64_t signature::count() const noexcept
{
    return count_;
}

} // namespace fuchsia::tools::load
