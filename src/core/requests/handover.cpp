#include "core/requests/handover.hpp"

#include "core/common/hash.hpp"
#include "core/requests/key_memory.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::requests
{

namespace
{

/// Limits of one message. A frame holds 4 MiB, so an answer larger than
/// `max_message_bytes` gets a message of its own.
constexpr std::size_t max_message_keys = 512;
constexpr std::size_t max_message_bytes = std::size_t{1} << 20U;

std::size_t size_of(ports::remembered_key const& key)
{
    return key.customer.size() + key.key.size() + key.answer.body.size();
}

} // namespace

std::vector<ports::key_handover>
split_key_handover(std::uint32_t partition,
                   partition_handover const& handover,
                   common::duration history_length,
                   std::vector<ports::remembered_key> keys)
{
    ports::key_handover blank;
    blank.partition = partition;
    blank.epoch = handover.epoch;
    blank.retention_us = static_cast<std::uint64_t>(history_length.count());
    blank.slots_idle = handover.slots_idle;
    blank.total_keys = static_cast<std::uint32_t>(keys.size());
    blank.last = false;

    std::vector<ports::key_handover> messages{blank};
    std::size_t bytes = 0;
    for (auto& key : keys)
    {
        bytes += size_of(key);
        bool const full = messages.back().keys.size() >= max_message_keys ||
                          bytes > max_message_bytes;
        if (full && !messages.back().keys.empty())
        {
            messages.push_back(blank);
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
                                   ports::member_identity const& sender,
                                   ports::key_handover const& message)
{
    if (message.partition >= common::partition_count)
    {
        return false;
    }
    auto& handover = incoming_[message.partition];
    if (message.epoch < handover.epoch)
    {
        return false;
    }
    auto const complete_since =
        now - common::duration(static_cast<std::int64_t>(message.retention_us));
    if (message.epoch > handover.epoch || handover.sender != sender)
    {
        handover = {};
        handover.sender = sender;
        handover.epoch = message.epoch;
        handover.complete_since = complete_since;
    }
    handover.complete_since = std::max(handover.complete_since, complete_since);
    handover.slots_idle = handover.slots_idle && message.slots_idle;
    handover.total = message.total_keys;
    if (key_count() + message.keys.size() > max_keys_)
    {
        return false;
    }
    for (auto const& key : message.keys)
    {
        handover.keys.insert_or_assign(customer_key(key.customer, key.key),
                                       key);
    }
    return handover.keys.size() == handover.total;
}

std::optional<imported_keys>
key_import_buffer::take(std::uint32_t partition,
                        std::uint64_t epoch,
                        ports::member_identity const& predecessor)
{
    auto const found = incoming_.find(partition);
    if (found == incoming_.end())
    {
        return std::nullopt;
    }
    incoming_handover const handover = std::move(found->second);
    incoming_.erase(found);
    // The claim's epoch must directly follow the handover's. If another entry
    // owned the partition in between, keys may have run that this handover does
    // not contain.
    if (handover.epoch + 1 != epoch || handover.sender != predecessor ||
        handover.keys.size() != handover.total)
    {
        return std::nullopt;
    }
    imported_keys imported;
    imported.predecessor = handover.sender;
    imported.epoch = handover.epoch;
    imported.slots_idle = handover.slots_idle;
    imported.complete_since = handover.complete_since;
    for (auto const& [name, key] : handover.keys)
    {
        imported.keys.push_back(key);
    }
    return imported;
}

std::size_t key_import_buffer::key_count() const noexcept
{
    std::size_t sum = 0;
    for (auto const& [partition, handover] : incoming_)
    {
        sum += handover.keys.size();
    }
    return sum;
}

} // namespace fuchsia::core::requests
