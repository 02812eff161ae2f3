#pragma once

#include "ports/actions.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fuchsia::tests
{

/// The platform's store in memory, for decision tests. Calls are answered one
/// by one by the test, each with a fault of its choice.
class memory_store
{
public:
    /// What becomes of one call.
    enum class fault : std::uint8_t
    {
        none,
        unavailable,     ///< Not sent, no effect.
        lost_before,     ///< No effect, no answer.
        lost_after,      ///< Effect, no answer.
        stale,           ///< Read or list answered from the last snapshot.
        malformed_value, ///< Read or list whose values are cut short.
    };

    ports::store_reply answer(ports::store_call const& call,
                              fault how = fault::none)
    {
        ++calls;
        if (how == fault::unavailable)
        {
            return {call.id, ports::store_status::unavailable, {}, 0};
        }
        if (how == fault::lost_before)
        {
            return {call.id, ports::store_status::unclear, {}, 0};
        }
        auto reply = run(call, how);
        if (how == fault::lost_after)
        {
            return {call.id, ports::store_status::unclear, {}, 0};
        }
        return reply;
    }

    /// Later stale reads see the store as it is now.
    void take_snapshot()
    {
        snapshot_ = entries_;
        snapshot_index_ = index_;
    }

    void put(std::string const& key, std::string const& value)
    {
        entries_[key] = {key, value, ++index_};
    }

    void erase(std::string const& key)
    {
        ++index_;
        entries_.erase(key);
    }

    /// Value of `key`; empty where there is none.
    std::string value(std::string const& key) const
    {
        auto const found = entries_.find(key);
        return found == entries_.end() ? std::string{} : found->second.value;
    }

    std::vector<std::string> keys(std::string const& prefix) const
    {
        std::vector<std::string> found;
        for (auto const& [key, entry] : entries_)
        {
            if (key.starts_with(prefix))
            {
                found.push_back(key);
            }
        }
        return found;
    }

    std::uint64_t calls = 0;

private:
    ports::store_reply run(ports::store_call const& call, fault how)
    {
        ports::store_reply reply{
            call.id, ports::store_status::done, {}, index_};
        bool const stale = how == fault::stale;
        auto const& seen = stale ? snapshot_ : entries_;
        reply.index = stale ? snapshot_index_ : index_;
        if (auto const* read = std::get_if<ports::store_read>(&call.operation))
        {
            auto const found = seen.find(read->key);
            if (found != seen.end())
            {
                reply.entries.push_back(found->second);
            }
        }
        else if (auto const* list =
                     std::get_if<ports::store_list>(&call.operation))
        {
            collect(seen, list->prefix, reply);
        }
        else if (auto const* watch =
                     std::get_if<ports::store_watch>(&call.operation))
        {
            collect(seen, watch->prefix, reply);
        }
        else if (auto const* write =
                     std::get_if<ports::store_write>(&call.operation))
        {
            change(write->key, &write->value, write->expected_version, reply);
        }
        else if (auto const* gone =
                     std::get_if<ports::store_erase>(&call.operation))
        {
            change(gone->key, nullptr, gone->expected_version, reply);
        }
        if (how == fault::malformed_value)
        {
            for (auto& entry : reply.entries)
            {
                entry.value.resize(entry.value.size() / 2);
            }
        }
        return reply;
    }

    static void collect(std::map<std::string, ports::store_entry> const& seen,
                        std::string const& prefix,
                        ports::store_reply& reply)
    {
        for (auto const& [key, entry] : seen)
        {
            if (key.starts_with(prefix))
            {
                reply.entries.push_back(entry);
            }
        }
    }

    void change(std::string const& key,
                std::string const* value,
                std::uint64_t expected,
                ports::store_reply& reply)
    {
        auto const found = entries_.find(key);
        auto const version =
            found == entries_.end() ? 0 : found->second.version;
        if (version != expected)
        {
            reply.status = ports::store_status::conflict;
            return;
        }
        if (value == nullptr)
        {
            erase(key);
        }
        else
        {
            put(key, *value);
        }
        reply.index = index_;
    }

    std::map<std::string, ports::store_entry> entries_;
    std::map<std::string, ports::store_entry> snapshot_;
    std::uint64_t index_ = 10;
    std::uint64_t snapshot_index_ = 10;
};

} // namespace fuchsia::tests
