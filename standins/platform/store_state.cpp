#include "standins/platform/store_state.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace fuchsia::standins::platform
{

namespace
{

bool matches(held_query const& query, std::string_view key)
{
    return query.recurse ? key.starts_with(query.key) : key == query.key;
}

std::string session_id(std::uint64_t number)
{
    char text[40];
    std::snprintf(text,
                  sizeof(text),
                  "5e55104a-0000-4000-8000-%012llx",
                  static_cast<unsigned long long>(number));
    return text;
}

} // namespace

store_state::store_state(store_limits limits) : limits_(limits)
{
}

std::uint64_t store_state::index() const noexcept
{
    return index_;
}

stored_value const* store_state::find(std::string_view key) const
{
    auto const found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

std::pair<store_state::entries::const_iterator,
          store_state::entries::const_iterator>
store_state::below(std::string_view prefix) const
{
    auto const first = entries_.lower_bound(prefix);
    auto last = first;
    while (last != entries_.end() && last->first.starts_with(prefix))
    {
        ++last;
    }
    return {first, last};
}

bool store_state::within_limits(std::string_view key,
                                std::string const& value) const
{
    return !key.empty() && key.size() <= limits_.key_bytes &&
           value.size() <= limits_.value_bytes &&
           (entries_.size() < limits_.keys || find(key) != nullptr);
}

change_result store_state::write(std::string_view key,
                                 std::string value,
                                 std::optional<std::uint64_t> expected)
{
    if (!within_limits(key, value))
    {
        return {change_status::too_large, 0};
    }
    auto const* current = find(key);
    std::uint64_t const version =
        current == nullptr ? 0 : current->modify_index;
    if (expected && *expected != version)
    {
        return {change_status::conflict, version};
    }
    ++index_;
    auto& entry = entries_[std::string(key)];
    entry.value = std::move(value);
    entry.create_index = version == 0 ? index_ : entry.create_index;
    entry.modify_index = index_;
    on_change(key);
    return {change_status::done, index_};
}

change_result store_state::erase(std::string_view key,
                                 std::optional<std::uint64_t> expected)
{
    auto const found = entries_.find(key);
    std::uint64_t const version =
        found == entries_.end() ? 0 : found->second.modify_index;
    if (expected && *expected != version)
    {
        return {change_status::conflict, version};
    }
    if (found == entries_.end())
    {
        return {change_status::done, index_};
    }
    ++index_;
    entries_.erase(found);
    tombstones_.push_back({std::string(key), index_});
    if (tombstones_.size() > limits_.tombstones)
    {
        newest_evicted_index_ = tombstones_.front().index;
        tombstones_.pop_front();
    }
    on_change(key);
    return {change_status::done, index_};
}

std::optional<std::string>
store_state::open_session(core::common::time_point now,
                          core::common::duration ttl)
{
    if (sessions_.size() >= limits_.sessions)
    {
        return std::nullopt;
    }
    auto id = session_id(++sessions_opened_);
    sessions_[id] = {ttl, now + ttl};
    return id;
}

bool store_state::renew_session(core::common::time_point now,
                                std::string_view id)
{
    auto const found = sessions_.find(id);
    if (found == sessions_.end() || found->second.deadline <= now)
    {
        return false;
    }
    found->second.deadline = now + found->second.ttl;
    return true;
}

bool store_state::end_session(std::string_view id)
{
    auto const found = sessions_.find(id);
    if (found == sessions_.end())
    {
        return false;
    }
    std::string const ended = found->first;
    sessions_.erase(found);
    release_all_keys(ended);
    return true;
}

change_result store_state::acquire(std::string_view key,
                                   std::string value,
                                   std::string_view session)
{
    auto const* current = find(key);
    bool const held_by_other = current != nullptr &&
                               !current->session.empty() &&
                               current->session != session;
    if (held_by_other || sessions_.find(session) == sessions_.end())
    {
        return {change_status::conflict, 0};
    }
    bool const is_new_holder = current == nullptr || current->session.empty();
    auto const result = write(key, std::move(value), std::nullopt);
    if (result.status == change_status::done)
    {
        auto& entry = entries_.find(key)->second;
        entry.session = session;
        entry.lock_index += is_new_holder ? 1 : 0;
    }
    return result;
}

change_result store_state::release(std::string_view key,
                                   std::string value,
                                   std::string_view session)
{
    auto const* current = find(key);
    if (current == nullptr || session.empty() || current->session != session)
    {
        return {change_status::conflict, 0};
    }
    auto const result = write(key, std::move(value), std::nullopt);
    if (result.status == change_status::done)
    {
        entries_.find(key)->second.session.clear();
    }
    return result;
}

void store_state::release_all_keys(std::string_view session)
{
    for (auto& [key, entry] : entries_)
    {
        if (entry.session == session)
        {
            entry.session.clear();
            entry.modify_index = ++index_;
            on_change(key);
        }
    }
}

void store_state::on_change(std::string_view key)
{
    auto const first_due =
        std::stable_partition(waiting_queries_.begin(),
                              waiting_queries_.end(),
                              [key](held_query const& query)
                              {
                                  return !matches(query, key);
                              });
    std::move(
        first_due, waiting_queries_.end(), std::back_inserter(due_queries_));
    waiting_queries_.erase(first_due, waiting_queries_.end());
}

std::uint64_t store_state::newest_change(std::string_view key,
                                         bool recurse) const
{
    // A query with an index below that of an evicted tombstone may have missed
    // a deletion, so it must be answered at once.
    std::uint64_t newest = newest_evicted_index_;
    held_query const query{0, std::string(key), recurse, 0, {}};
    for (auto const& deletion : tombstones_)
    {
        if (matches(query, deletion.key))
        {
            newest = std::max(newest, deletion.index);
        }
    }
    if (!recurse)
    {
        auto const* entry = find(key);
        return entry == nullptr ? newest
                                : std::max(newest, entry->modify_index);
    }
    auto const [first, last] = below(key);
    for (auto entry = first; entry != last; ++entry)
    {
        newest = std::max(newest, entry->second.modify_index);
    }
    return newest;
}

bool store_state::hold(held_query query)
{
    if (waiting_queries_.size() >= limits_.held_queries || query.index == 0 ||
        newest_change(query.key, query.recurse) > query.index)
    {
        return false;
    }
    waiting_queries_.push_back(std::move(query));
    return true;
}

void store_state::drop(std::uint64_t number)
{
    auto const has_number = [number](held_query const& query)
    {
        return query.number == number;
    };
    std::erase_if(waiting_queries_, has_number);
    std::erase_if(due_queries_, has_number);
}

std::vector<held_query> store_state::take_due(core::common::time_point now)
{
    std::vector<std::string> ended;
    for (auto const& [id, lease] : sessions_)
    {
        if (lease.deadline <= now)
        {
            ended.push_back(id);
        }
    }
    for (auto const& id : ended)
    {
        end_session(id);
    }
    auto const first_due =
        std::stable_partition(waiting_queries_.begin(),
                              waiting_queries_.end(),
                              [now](held_query const& query)
                              {
                                  return query.deadline > now;
                              });
    std::move(
        first_due, waiting_queries_.end(), std::back_inserter(due_queries_));
    waiting_queries_.erase(first_due, waiting_queries_.end());
    return std::exchange(due_queries_, {});
}

} // namespace fuchsia::standins::platform
