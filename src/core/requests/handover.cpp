#include "core/requests/handover.hpp"

#include "core/common/hash.hpp"
#include "core/requests/key_memory.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::requests
{

namespace
{

/// A frame holds 4 MiB; one answer that is larger than the rest goes alone.
constexpr std::size_t max_message_keys = 512;
constexpr std::size_t max_message_bytes = std::size_t{1} << 20U;

std::size_t size_of(ports::remembered_key const& key)
{
    return key.customer.size() + key.key.size() + key.answer.body.size();
}

} // namespace

std::vector<ports::key_handover>
split_key_handover(std::uint32_t partition,
                   partition_handover const& from,
                   common::duration reach,
                   std::vector<ports::remembered_key> keys)
{
    ports::key_handover empty;
    empty.partition = partition;
    empty.epoch = from.epoch;
    empty.retention_us = static_cast<std::uint64_t>(reach.count());
    empty.slots_idle = from.slots_idle;
    empty.total_keys = static_cast<std::uint32_t>(keys.size());
    empty.last = false;

    std::vector<ports::key_handover> messages{empty};
    std::size_t bytes = 0;
    for (auto& key : keys)
    {
        bytes += size_of(key);
        bool const full = messages.back().keys.size() >= max_message_keys ||
                          bytes > max_message_bytes;
        if (full && !messages.back().keys.empty())
        {
            messages.push_back(empty);
            bytes = size_of(key);
        }
        messages.back().keys.push_back(std::move(key));
    }
    messages.back().last = true;
    return messages;
}

key_import_buffer::key_import_buffer(std::size_t max_keys) : max_keys_(max_keys)
{
}

bool key_import_buffer::on_message(common::time_point now,
                                   ports::member_identity const& from,
                                   ports::key_handover const& message)
{
    if (message.partition >= common::partition_count)
    {
        return false;
    }
    auto& known = incoming_[message.partition];
    if (message.epoch < known.epoch)
    {
        return false;
    }
    auto const reaches_from =
        now - common::duration(static_cast<std::int64_t>(message.retention_us));
    if (message.epoch > known.epoch || known.from != from)
    {
        known = {};
        known.from = from;
        known.epoch = message.epoch;
        known.reaches_from = reaches_from;
    }
    known.reaches_from = std::max(known.reaches_from, reaches_from);
    known.slots_idle = known.slots_idle && message.slots_idle;
    known.total = message.total_keys;
    if (count() + message.keys.size() > max_keys_)
    {
        return false;
    }
    for (auto const& key : message.keys)
    {
        known.keys.insert_or_assign(customer_key(key.customer, key.key), key);
    }
    return known.keys.size() == known.total;
}

std::optional<imported_keys>
key_import_buffer::take(std::uint32_t partition,
                        std::uint64_t epoch,
                        ports::member_identity const& before)
{
    auto const found = incoming_.find(partition);
    if (found == incoming_.end())
    {
        return std::nullopt;
    }
    incoming const taken = std::move(found->second);
    incoming_.erase(found);
    // Exactly the next epoch: had anybody owned it in between, keys may have
    // run that this handover does not know.
    if (taken.epoch + 1 != epoch || taken.from != before ||
        taken.keys.size() != taken.total)
    {
        return std::nullopt;
    }
    imported_keys imported;
    imported.predecessor = taken.from;
    imported.epoch = taken.epoch;
    imported.slots_idle = taken.slots_idle;
    imported.complete_since = taken.reaches_from;
    for (auto const& [name, key] : taken.keys)
    {
        imported.keys.push_back(key);
    }
    return imported;
}

std::size_t key_import_buffer::count() const noexcept
{
    std::size_t sum = 0;
    for (auto const& [partition, one] : incoming_)
    {
        sum += one.keys.size();
    }
    return sum;
}

} // namespace fuchsia::core::requests
