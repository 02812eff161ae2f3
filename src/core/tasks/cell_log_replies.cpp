#include "core/tasks/cell_log.hpp"

#include <utility>

// What the store answers, and what then stands.
namespace fuchsia::core::tasks
{

void cell_log::on_store_reply(common::time_point now,
                              call_tag const& tag,
                              ports::store_reply const& reply,
                              store_calls& calls,
                              ports::actions& out)
{
    if (tag.number == snapshot_call_)
    {
        snapshot_call_ = 0;
        on_snapshot(now, reply, calls, out);
        return;
    }
    if (tag.number != call_)
    {
        return;
    }
    call_ = 0;
    switch (step_)
    {
    case step::reading:
        on_listed(now, reply, calls, out);
        break;
    case step::appending:
        on_appended(now, reply, calls, out);
        break;
    case step::checking:
        on_checked(now, reply, calls, out);
        break;
    case step::compacting:
    case step::ready:
    case step::ownership_lost:
        break;
    }
}

void cell_log::on_listed(common::time_point now,
                         ports::store_reply const& reply,
                         store_calls& calls,
                         ports::actions& out)
{
    if (reply.status != ports::store_status::done)
    {
        retry_at_ = now + settings_.retry_interval;
        return;
    }
    auto stored = replay(cell_, reply.entries, failure_);
    if (!stored)
    {
        // Damage: acting on half a log could run tasks twice.
        retry_at_ = now + settings_.retry_interval * 10;
        return;
    }
    if (stored->state.epoch > epoch_)
    {
        step_ = step::ownership_lost;
        return;
    }
    stored_ = std::move(*stored);
    pending_changes_.clear();
    pending_since_.reset();
    next_snapshot_.clear();
    snapshot_checking_ = false;
    if (stored_.state.last_record + 1 >= stored_.snapshot_record + log_slots)
    {
        // The takeover's record would overwrite one that no snapshot holds:
        // owners that die before their first snapshot bring this about.
        step_ = step::compacting;
        stored_.state.epoch = epoch_;
        next_snapshot_ = to_json(stored_.state);
        next_snapshot_record_ = stored_.state.last_record;
        return;
    }
    begin_append(calls, out);
}

void cell_log::on_appended(common::time_point now,
                           ports::store_reply const& reply,
                           store_calls& calls,
                           ports::actions& out)
{
    switch (reply.status)
    {
    case ports::store_status::done:
        complete_append(reply.index);
        break;
    case ports::store_status::conflict:
        // Either another owner took the slot, or an earlier send of this very
        // record took effect and its answer was lost.
        step_ = step::checking;
        call_ = calls.send(call_owner::log,
                           cell_,
                           ports::store_read{record_key(cell_, record_.number)},
                           out);
        break;
    case ports::store_status::unavailable:
    case ports::store_status::unclear:
        // The same bytes at the same version: at most one send takes effect.
        retry_at_ = now + settings_.retry_interval;
        break;
    }
}

void cell_log::on_checked(common::time_point now,
                          ports::store_reply const& reply,
                          store_calls& calls,
                          ports::actions& out)
{
    if (reply.status != ports::store_status::done)
    {
        retry_at_ = now + settings_.retry_interval;
        return;
    }
    if (!reply.entries.empty())
    {
        auto const& entry = reply.entries.front();
        common::failure reason;
        auto const stored = parse_log_record(entry.value, reason);
        if (stored && stored->writer == record_.writer)
        {
            complete_append(entry.version);
            return;
        }
        if (entry.version == stored_.versions[record_.number % log_slots])
        {
            // A read older than the conflict: ask again.
            retry_at_ = now + settings_.retry_interval;
            return;
        }
    }
    on_slot_conflict(calls, out);
}

// The slot holds another's record. While taking over that may be the last
// append of the old owner: read again. Afterwards it is a newer owner's.
void cell_log::on_slot_conflict(store_calls& calls, ports::actions& out)
{
    if (taken_over_)
    {
        step_ = step::ownership_lost;
        return;
    }
    read(calls, out);
}

void cell_log::complete_append(std::uint64_t version)
{
    stored_.versions[record_.number % log_slots] = version;
    stored_.state.last_record = record_.number;
    stored_.state.epoch = epoch_;
    std::move(record_.changes.begin(),
              record_.changes.end(),
              std::back_inserter(committed_));
    record_.changes.clear();
    taken_over_ = true;
    step_ = step::ready;
}

void cell_log::on_snapshot(common::time_point now,
                           ports::store_reply const& reply,
                           store_calls& calls,
                           ports::actions& out)
{
    snapshot_retry_at_ = now + settings_.retry_interval;
    if (reply.status == ports::store_status::conflict)
    {
        // An earlier send took effect unseen, or another owner wrote one.
        snapshot_checking_ = true;
        snapshot_retry_at_ = now;
        return;
    }
    if (reply.status != ports::store_status::done)
    {
        return;
    }
    if (!snapshot_checking_)
    {
        on_snapshot_stored(reply.index, calls, out);
        return;
    }
    snapshot_checking_ = false;
    common::failure reason;
    auto const stored =
        reply.entries.empty()
            ? std::nullopt
            : parse_cell_state(reply.entries.front().value, reason);
    if (!stored)
    {
        return;
    }
    if (stored->epoch > epoch_)
    {
        step_ = step::ownership_lost;
        return;
    }
    stored_.snapshot_version = reply.entries.front().version;
    if (stored->epoch == epoch_ && stored->last_record == next_snapshot_record_)
    {
        on_snapshot_stored(stored_.snapshot_version, calls, out);
    }
}

void cell_log::on_snapshot_stored(std::uint64_t version,
                                  store_calls& calls,
                                  ports::actions& out)
{
    stored_.snapshot_version = version;
    stored_.snapshot_record = next_snapshot_record_;
    next_snapshot_.clear();
    if (step_ == step::compacting)
    {
        begin_append(calls, out);
    }
}

} // namespace fuchsia::core::tasks
