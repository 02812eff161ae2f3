#include "core/requests/entry_engine.hpp"

#include <utility>

// Partitions that this entry acquires and loses.
namespace fuchsia::core::requests
{

void entry_engine::sync_claims(common::time_point now, ports::actions& out)
{
    auto const changes = claims_.take_changes();
    for (auto const& change : changes)
    {
        on_claim_change(now, change, out);
    }
    if (changes.empty())
    {
        return;
    }
    for (std::uint32_t const partition : owners_.refresh(now, claims_))
    {
        request_slices_from_new_owner(partition);
        route_awaiting_owner(now, partition, out);
    }
}

void entry_engine::on_claim_change(common::time_point now,
                                   claims::claim_change const& change,
                                   ports::actions& out)
{
    std::uint32_t const partition = partition_number(change.current.partition);
    if (partition == common::partition_count)
    {
        return;
    }
    switch (change.kind)
    {
    case claims::claim_change_kind::acquired:
        on_partition_acquired(now, partition, change, out);
        break;
    case claims::claim_change_kind::handover_requested:
        start_handover(now, partition, change);
        break;
    case claims::claim_change_kind::lost:
        on_partition_lost(now, partition, out);
        break;
    case claims::claim_change_kind::owner_changed:
        break;
    }
}

// Opens the key memory and the slots of a new partition. The key history is
// complete only if no member owned the partition before or if the predecessor
// handed over all its keys.
void entry_engine::on_partition_acquired(common::time_point now,
                                         std::uint32_t partition,
                                         claims::claim_change const& change,
                                         ports::actions& out)
{
    bool const first_owner =
        change.previous_owner.name.empty() && change.current.epoch <= 1;
    auto const imported = key_imports_.take(
        partition, change.current.epoch, change.previous_owner);
    handovers_.erase(partition);
    if (first_owner)
    {
        keys_.open(partition, std::nullopt);
    }
    else if (imported && keys_.import_keys(now, partition, imported->keys))
    {
        keys_.open(partition, imported->complete_since);
    }
    else
    {
        keys_.open(partition, now);
        ++counts_.takeovers;
    }
    slots_.acquire(
        now, partition, first_owner || (imported && imported->slots_idle));
    if (first_owner)
    {
        takeovers_[partition].reset();
    }
    else
    {
        takeover new_takeover{now, {}};
        for (auto const& [id, gone_since] : known_members_)
        {
            new_takeover.possible_slice_holders.push_back(id);
        }
        if (!change.previous_owner.name.empty())
        {
            new_takeover.possible_slice_holders.push_back(
                change.previous_owner);
        }
        takeovers_[partition] = std::move(new_takeover);
    }
    log(out,
        ports::severity::info,
        "partition_acquired",
        {{"partition", change.current.partition},
         {"epoch", std::to_string(change.current.epoch)},
         {"before", change.previous_owner.name},
         {"keys", imported ? std::to_string(imported->keys.size()) : "none"}});
}

void entry_engine::on_partition_lost(common::time_point now,
                                     std::uint32_t partition,
                                     ports::actions& out)
{
    slots_.release(partition);
    handovers_.erase(partition);
    takeovers_[partition].reset();
    std::erase_if(ledgers_,
                  [partition](auto const& ledger)
                  {
                      return common::partition_of(ledger.first) == partition;
                  });
    for (std::uint64_t const waiter : keys_.close(partition))
    {
        if (requests_.contains(waiter))
        {
            finish_with_unknown_outcome(
                now, waiter, result_code::owner_lost, out);
        }
    }
    log(out,
        ports::severity::info,
        "partition_lost",
        {{"partition", partition_name(partition)}});
}

} // namespace fuchsia::core::requests
