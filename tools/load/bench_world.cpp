#include "tools/load/bench_world.hpp"

#include "core/common/hash.hpp"

namespace fuchsia::tools::load
{

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
    else if (auto const* watch =
                 std::get_if<ports::store_watch>(&call.operation))
    {
        list(watch->prefix, reply);
    }
    else if (auto const* write =
                 std::get_if<ports::store_write>(&call.operation))
    {
        reply.status = swap(write->key, write->expected, &write->value);
        reply.index = index_;
    }
    else if (auto const* erase =
                 std::get_if<ports::store_erase>(&call.operation))
    {
        reply.status = swap(erase->key, erase->expected, nullptr);
        reply.index = index_;
    }
    return reply;
}

void bench_store::put(std::string const& key, std::string value)
{
    entries_[key] = {key, std::move(value), ++index_};
}

ports::store_status bench_store::swap(std::string const& key,
                                      std::uint64_t expected,
                                      std::string const* to)
{
    auto const found = entries_.find(key);
    std::uint64_t const version =
        found == entries_.end() ? 0 : found->second.version;
    if (version != expected)
    {
        return ports::store_status::conflict;
    }
    if (to == nullptr)
    {
        entries_.erase(key);
        return ports::store_status::done;
    }
    put(key, *to);
    return ports::store_status::done;
}

void bench_store::list(std::string const& prefix,
                       ports::store_reply& reply) const
{
    for (auto at = entries_.lower_bound(prefix);
         at != entries_.end() && at->first.starts_with(prefix);
         ++at)
    {
        reply.entries.push_back(at->second);
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
