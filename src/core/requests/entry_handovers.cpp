#include "core/requests/entry_engine.hpp"

#include <algorithm>

// Partitions that change hands as planned, in a stop or because a member
// joined: what runs ends first, the successor gets the keys, then the claim is
// given up.
namespace fuchsia::core::requests
{

void entry_engine::start_handover(common::time_point now,
                                  std::uint32_t partition,
                                  claims::claim_change const& change)
{
    auto& one = handovers_[partition];
    bool const sent = one.stage == handover_stage::awaiting_acknowledgement;
    if (sent && one.successor != change.assigned_to)
    {
        // The successor changed after the keys were sent: send them again.
        one.stage_began = now;
        one.last_sent = {};
    }
    one.successor = change.assigned_to;
    one.epoch = change.current.epoch;
}

void entry_engine::advance_handovers(common::time_point now,
                                     ports::actions& out)
{
    std::size_t active = 0;
    for (auto const& [partition, one] : handovers_)
    {
        active += one.stage != handover_stage::waiting ? 1 : 0;
    }
    std::vector<std::uint32_t> cancelled;
    for (auto& [partition, one] : handovers_)
    {
        if (one.stage == handover_stage::waiting)
        {
            // While the store is silent no claim can move: the partition would
            // be served by nobody until it answers again.
            if (active >= settings_.max_handovers ||
                !members_.proved_by_store())
            {
                continue;
            }
            ++active;
            enter_stage(now, one, handover_stage::draining_slots);
            slots_.release(partition);
        }
        bool const unsent = one.stage == handover_stage::draining_slots ||
                            one.stage == handover_stage::draining_keys;
        if (unsent && one.successor == members_.self().id)
        {
            cancelled.push_back(partition);
            continue;
        }
        advance_handover(now, partition, one, out);
    }
    for (std::uint32_t const partition : cancelled)
    {
        handovers_.erase(partition);
        slots_.acquire(now, partition, true);
    }
}

void entry_engine::advance_handover(common::time_point now,
                                    std::uint32_t partition,
                                    partition_handover& one,
                                    ports::actions& out)
{
    bool const patient =
        now - one.stage_began < settings_.handover_stage_timeout;
    switch (one.stage)
    {
    case handover_stage::waiting:
        break;
    case handover_stage::draining_slots:
        if (slots_.is_idle(partition) || !patient)
        {
            enter_stage(now, one, handover_stage::draining_keys);
        }
        break;
    case handover_stage::draining_keys:
        if (keys_.running(partition) == 0 || !patient)
        {
            one.slots_idle = slots_.is_idle(partition);
            enter_stage(now, one, handover_stage::awaiting_acknowledgement);
            send_keys(now, partition, one, out);
        }
        break;
    case handover_stage::awaiting_acknowledgement:
        if (one.successor.name.empty() || !patient)
        {
            enter_stage(now, one, handover_stage::releasing);
            claims_.release(now, partition_name(partition), out);
        }
        else if (now - one.last_sent >= settings_.handover_retry_interval)
        {
            send_keys(now, partition, one, out);
        }
        break;
    case handover_stage::releasing:
        break;
    }
}

void entry_engine::enter_stage(common::time_point now,
                               partition_handover& one,
                               handover_stage stage)
{
    one.stage = stage;
    one.stage_began = now;
}

void entry_engine::send_keys(common::time_point now,
                             std::uint32_t partition,
                             partition_handover& one,
                             ports::actions& out)
{
    one.last_sent = now;
    auto messages = split_key_handover(partition,
                                       one,
                                       keys_.history_length(now, partition),
                                       keys_.export_keys(now, partition));
    for (auto& message : messages)
    {
        send_peer(one.successor, std::move(message), out);
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
    auto& one = found->second;
    if (one.stage != handover_stage::awaiting_acknowledgement ||
        one.successor != from || one.epoch != ack.epoch)
    {
        return;
    }
    ++counts_.handovers;
    enter_stage(now, one, handover_stage::releasing);
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
                               open_request const& one) const noexcept
{
    if (!one.key_begun)
    {
        return true;
    }
    auto const found = handovers_.find(one.partition);
    bool const sent =
        found != handovers_.end() &&
        found->second.stage >= handover_stage::awaiting_acknowledgement;
    return !sent && owns(now, one.partition);
}

} // namespace fuchsia::core::requests
