#include "core/requests/entry_engine.hpp"

#include <algorithm>

// Planned handovers of partitions, in a stop or after a member joined: running
// requests complete first, then the successor gets the keys, then the claim is
// released.
namespace fuchsia::core::requests
{

void entry_engine::start_handover(common::time_point now,
                                  std::uint32_t partition,
                                  claims::claim_change const& change)
{
    auto& handover = handovers_[partition];
    bool const keys_sent =
        handover.stage == handover_stage::awaiting_acknowledgement;
    if (keys_sent && handover.successor != change.assigned_to)
    {
        // The successor changed after the keys were sent, so they are sent
        // again to the new one.
        handover.stage_began = now;
        handover.last_sent = {};
    }
    handover.successor = change.assigned_to;
    handover.epoch = change.current.epoch;
}

void entry_engine::advance_handovers(common::time_point now,
                                     ports::actions& out)
{
    std::size_t active = 0;
    for (auto const& [partition, handover] : handovers_)
    {
        active += handover.stage != handover_stage::waiting ? 1 : 0;
    }
    std::vector<std::uint32_t> cancelled;
    for (auto& [partition, handover] : handovers_)
    {
        if (handover.stage == handover_stage::waiting)
        {
            // While the store does not answer, no claim can change its owner:
            // nobody would serve the partition until the store answers again.
            if (active >= settings_.max_handovers ||
                !members_.proved_by_store())
            {
                continue;
            }
            ++active;
            enter_stage(now, handover, handover_stage::draining_slots);
            slots_.release(partition);
        }
        bool const keys_unsent =
            handover.stage == handover_stage::draining_slots ||
            handover.stage == handover_stage::draining_keys;
        if (keys_unsent && handover.successor == members_.self().id)
        {
            cancelled.push_back(partition);
            continue;
        }
        advance_handover(now, partition, handover, out);
    }
    for (std::uint32_t const partition : cancelled)
    {
        handovers_.erase(partition);
        slots_.acquire(now, partition, true);
    }
}

void entry_engine::advance_handover(common::time_point now,
                                    std::uint32_t partition,
                                    partition_handover& handover,
                                    ports::actions& out)
{
    bool const within_timeout =
        now - handover.stage_began < settings_.handover_stage_timeout;
    switch (handover.stage)
    {
    case handover_stage::waiting:
        break;
    case handover_stage::draining_slots:
        if (slots_.is_idle(partition) || !within_timeout)
        {
            enter_stage(now, handover, handover_stage::draining_keys);
        }
        break;
    case handover_stage::draining_keys:
        if (keys_.running(partition) == 0 || !within_timeout)
        {
            handover.slots_idle = slots_.is_idle(partition);
            enter_stage(
                now, handover, handover_stage::awaiting_acknowledgement);
            send_keys(now, partition, handover, out);
        }
        break;
    case handover_stage::awaiting_acknowledgement:
        if (handover.successor.name.empty() || !within_timeout)
        {
            enter_stage(now, handover, handover_stage::releasing);
            claims_.release(now, partition_name(partition), out);
        }
        else if (now - handover.last_sent >= settings_.handover_retry_interval)
        {
            send_keys(now, partition, handover, out);
        }
        break;
    case handover_stage::releasing:
        break;
    }
}

void entry_engine::enter_stage(common::time_point now,
                               partition_handover& handover,
                               handover_stage stage)
{
    handover.stage = stage;
    handover.stage_began = now;
}

void entry_engine::send_keys(common::time_point now,
                             std::uint32_t partition,
                             partition_handover& handover,
                             ports::actions& out)
{
    handover.last_sent = now;
    auto messages = split_key_handover(partition,
                                       handover,
                                       keys_.history_length(now, partition),
                                       keys_.export_keys(now, partition));
    for (auto& message : messages)
    {
        send_peer(handover.successor, std::move(message), out);
    }
}

void entry_engine::on_key_handover(common::time_point now,
                                   ports::member_identity const& from,
                                   ports::key_handover const& message,
                                   ports::actions& out)
{
    if (is_live(from) && key_imports_.on_message(now, from, message))
    {
        send_peer(from,
                  ports::key_handover_ack{message.partition, message.epoch},
                  out);
    }
}

void entry_engine::on_handover_ack(common::time_point now,
                                   ports::member_identity const& from,
                                   ports::key_handover_ack const& ack,
                                   ports::actions& out)
{
    auto const found = handovers_.find(ack.partition);
    if (found == handovers_.end())
    {
        return;
    }
    auto& handover = found->second;
    if (handover.stage != handover_stage::awaiting_acknowledgement ||
        handover.successor != from || handover.epoch != ack.epoch)
    {
        return;
    }
    ++counts_.handovers;
    enter_stage(now, handover, handover_stage::releasing);
    claims_.release(now, partition_name(ack.partition), out);
    log(out,
        ports::severity::info,
        "partition_handed_over",
        {{"partition", partition_name(ack.partition)}, {"to", from.name}});
}

bool entry_engine::key_is_frozen(std::uint32_t partition) const noexcept
{
    auto const found = handovers_.find(partition);
    return found != handovers_.end() &&
           found->second.stage >= handover_stage::draining_keys;
}

bool entry_engine::key_may_run(common::time_point now,
                               open_request const& req) const noexcept
{
    if (!req.key_begun)
    {
        return true;
    }
    auto const found = handovers_.find(req.partition);
    bool const keys_sent =
        found != handovers_.end() &&
        found->second.stage >= handover_stage::awaiting_acknowledgement;
    return !keys_sent && owns(now, req.partition);
}

} // namespace fuchsia::core::requests
