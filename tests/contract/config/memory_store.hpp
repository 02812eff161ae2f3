#pragma once

#include "ports/actions.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fuchsia::tests
{

/// In-memory platform store for tests of decisions. The test answers the calls
/// one by one, each with a fault of its choice.
class memory_store
{
public:
    /// Fault injected into one call.
    enum class fault : std::uint8_t
    {
        none,
        unavailable,     ///< Not sent: no effect, status `unavailable`.
        lost_before,     ///< No effect, status `unclear`.
        lost_after,      ///< Effect, but status `unclear`.
        stale,           ///< Reads return the last snapshot.
        malformed_value, ///< Reads return truncated values.
    };

    /// Executes the call with the injected fault and returns its reply.
    ports::store_reply answer(ports::store_call const& call,
                              fault injected = fault::none)
    {
        ++calls;
        if (injected == fault::unavailable)
        {
            return {call.id, ports::store_status::unavailable, {}, 0};
        }
        if (injected == fault::lost_before)
        {
            return {call.id, ports::store_status::unclear, {}, 0};
        }
        auto reply = run(call, injected);
        if (injected == fault::lost_after)
        {
            return {call.id, ports::store_status::unclear, {}, 0};
        }
        return reply;
    }

    /// Saves the current contents for later stale reads.
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

    /// Returns the value of `key`; empty if there is none.
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

    std::uint64_t calls = 0; ///< Number of calls answered.

private:
    ports::store_reply run(ports::store_call const& call, fault injected)
    {
        ports::store_reply reply{
            call.id, ports::store_status::done, {}, index_};
        bool const stale = injected == fault::stale;
        auto const& visible = stale ? snapshot_ : entries_;
        reply.index = stale ? snapshot_index_ : index_;
        if (auto const* read = std::get_if<ports::store_read>(&call.operation))
        {
            auto const found = visible.find(read->key);
            if (found != visible.end())
            {
                reply.entries.push_back(found->second);
            }
        }
        else if (auto const* list =
                     std::get_if<ports::store_list>(&call.operation))
        {
            collect(visible, list->prefix, reply);
        }
        else if (auto const* watch =
                     std::get_if<ports::store_watch>(&call.operation))
        {
            collect(visible, watch->prefix, reply);
        }
        else if (auto const* write =
                     std::get_if<ports::store_write>(&call.operation))
        {
            change(write->key, &write->value, write->expected_version, reply);
        }
        else if (auto const* erase_call =
                     std::get_if<ports::store_erase>(&call.operation))
        {
            change(
                erase_call->key, nullptr, erase_call->expected_version, reply);
        }
        if (injected == fault::malformed_value)
        {
            for (auto& entry : reply.entries)
            {
                entry.value.resize(entry.value.size() / 2);
            }
        }
        return reply;
    }

    static void
    collect(std::map<std::string, ports::store_entry> const& visible,
            std::string const& prefix,
            ports::store_reply& reply)
    {
        for (auto const& [key, entry] : visible)
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
