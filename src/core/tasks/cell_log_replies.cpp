#include "core/tasks/cell_log.hpp"

#include <utility>

// Replies of the store to calls of the cell log.
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
        // The log is damaged. Acting on part of it could run tasks twice.
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
        // The record of the takeover would overwrite a record that no snapshot
        // contains. This happens when several owners in a row fail before their
        // first snapshot.
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
        // Either another owner wrote the slot, or an earlier append of this
        // same record took effect and its reply was lost.
        step_ = step::checking;
        call_ = calls.send(call_owner::log,
                           cell_,
                           ports::store_read{record_key(cell_, record_.number)},
                           out);
        break;
    case ports::store_status::unavailable:
    case ports::store_status::unclear:
        // The retry writes the same bytes at the same version, so at most one
        // append takes effect.
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
            // Stale read from before the conflict; retry it.
            retry_at_ = now + settings_.retry_interval;
            return;
        }
    }
    on_slot_conflict(calls, out);
}

// Handles a slot that contains a record of another owner. During the takeover
// it may be the last append of the previous owner, so the log is read again.
// After the takeover it was written by a newer owner.
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
        // Either an earlier write of the snapshot took effect and its reply was
        // lost, or another owner wrote a snapshot.
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
