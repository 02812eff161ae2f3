#include "core/tasks/cell_log.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

std::optional<std::size_t> slot_of(std::string const& cell,
                                   std::string_view key)
{
    std::string const prefix = cell_prefix(cell) + "log/";
    if (!key.starts_with(prefix))
    {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    std::size_t slot = 0;
    auto const* const end = key.data() + key.size();
    auto const parsed = std::from_chars(key.data(), end, slot);
    bool const valid = parsed.ec == std::errc{} && parsed.ptr == end;
    return valid && slot < log_slots ? std::optional(slot) : std::nullopt;
}

} // namespace

std::string cell_prefix(std::string const& cell)
{
    return "tasks/" + cell + "/";
}

std::string record_key(std::string const& cell, std::uint64_t number)
{
    return cell_prefix(cell) + "log/" + std::to_string(number % log_slots);
}

std::string snapshot_key(std::string const& cell)
{
    return cell_prefix(cell) + "snapshot";
}

std::optional<stored_cell>
replay(std::string const& cell,
       std::vector<ports::store_entry> const& entries,
       common::failure& reason)
{
    stored_cell out;
    std::map<std::uint64_t, log_record> records;
    for (auto const& entry : entries)
    {
        if (entry.key == snapshot_key(cell))
        {
            auto state = parse_cell_state(entry.value, reason);
            if (!state)
            {
                return std::nullopt;
            }
            out.state = std::move(*state);
            out.snapshot_version = entry.version;
            out.snapshot_record = out.state.last_record;
        }
        else if (auto const slot = slot_of(cell, entry.key))
        {
            auto record = parse_log_record(entry.value, reason);
            if (!record)
            {
                return std::nullopt;
            }
            out.versions[*slot] = entry.version;
            records.emplace(record->number, std::move(*record));
        }
    }
    for (auto const& [number, record] : records)
    {
        if (number <= out.state.last_record)
        {
            continue;
        }
        if (number != out.state.last_record + 1)
        {
            reason = {common::result_code::inconsistent,
                      record_key(cell, number),
                      "a record before it is missing"};
            return std::nullopt;
        }
        for (auto const& item : record.changes)
        {
            apply_change(out.state, item);
        }
        out.state.last_record = number;
        out.state.epoch = record.epoch;
    }
    return out;
}

cell_log::cell_log(std::string cell,
                   std::uint64_t incarnation,
                   std::uint64_t epoch,
                   cell_log_settings settings)
    : cell_(std::move(cell)),
      writer_(std::to_string(incarnation) + ":" + std::to_string(epoch) + ":"),
      epoch_(epoch), settings_(settings)
{
}

void cell_log::start(store_calls& calls, ports::actions& out)
{
    read(calls, out);
}

void cell_log::read(store_calls& calls, ports::actions& out)
{
    step_ = step::reading;
    taken_over_ = false;
    call_ = calls.send(
        call_owner::log, cell_, ports::store_list{cell_prefix(cell_)}, out);
}

bool cell_log::commit_due(common::time_point now) const noexcept
{
    if (pending_changes_.empty() || !pending_since_)
    {
        return false;
    }
    return urgent_ || pending_changes_.size() >= settings_.max_changes ||
           now - *pending_since_ >= settings_.commit_interval;
}

void cell_log::tick(common::time_point now,
                    store_calls& calls,
                    ports::actions& out)
{
    if (retry_at_ && now >= *retry_at_ && call_ == 0)
    {
        retry_at_.reset();
        if (step_ == step::reading)
        {
            read(calls, out);
        }
        else if (step_ == step::appending)
        {
            send_append(calls, out);
        }
        else if (step_ == step::checking)
        {
            call_ =
                calls.send(call_owner::log,
                           cell_,
                           ports::store_read{record_key(cell_, record_.number)},
                           out);
        }
    }
    bool const slot_free =
        stored_.state.last_record + 1 < stored_.snapshot_record + log_slots;
    if (step_ == step::ready && slot_free && commit_due(now) &&
        calls.may_write(now))
    {
        begin_append(calls, out);
    }
    bool const snapshot_ready =
        !next_snapshot_.empty() &&
        stored_.state.last_record >= next_snapshot_record_ &&
        snapshot_call_ == 0;
    bool const may_snapshot = active() || step_ == step::compacting;
    if (may_snapshot && snapshot_ready &&
        (!snapshot_retry_at_ || now >= *snapshot_retry_at_) &&
        calls.may_write(now))
    {
        send_snapshot(calls, out);
    }
}

void cell_log::begin_append(store_calls& calls, ports::actions& out)
{
    record_ = {};
    record_.number = stored_.state.last_record + 1;
    record_.epoch = epoch_;
    record_.writer = writer_ + std::to_string(++writes_);
    auto const count = std::min(pending_changes_.size(), settings_.max_changes);
    auto const last =
        pending_changes_.begin() + static_cast<std::ptrdiff_t>(count);
    record_.changes.assign(pending_changes_.begin(), last);
    pending_changes_.erase(pending_changes_.begin(), last);
    record_bytes_ = to_json(record_);
    if (pending_changes_.empty())
    {
        pending_since_.reset();
        urgent_ = false;
        // A snapshot must match one record exactly. Only while no change is
        // pending does the state contain the changes up to this record and no
        // others.
        auto const snapshot_interval = std::min<std::uint64_t>(
            settings_.records_per_snapshot, log_slots / 2);
        bool const snapshot_due =
            record_.number >= stored_.snapshot_record + snapshot_interval;
        if (snapshot_due && next_snapshot_.empty())
        {
            auto snapshot_state = stored_.state;
            snapshot_state.last_record = record_.number;
            snapshot_state.epoch = epoch_;
            next_snapshot_ = to_json(snapshot_state);
            next_snapshot_record_ = record_.number;
        }
    }
    send_append(calls, out);
}

void cell_log::send_append(store_calls& calls, ports::actions& out)
{
    step_ = step::appending;
    call_ = calls.send(
        call_owner::log,
        cell_,
        ports::store_write{record_key(cell_, record_.number),
                           record_bytes_,
                           stored_.versions[record_.number % log_slots]},
        out);
}

void cell_log::send_snapshot(store_calls& calls, ports::actions& out)
{
    ports::store_operation const write = ports::store_write{
        snapshot_key(cell_), next_snapshot_, stored_.snapshot_version};
    ports::store_operation const read = ports::store_read{snapshot_key(cell_)};
    snapshot_call_ = calls.send(
        call_owner::snapshot, cell_, snapshot_checking_ ? read : write, out);
}

bool cell_log::submit_change(common::time_point now,
                             tasks::change new_change,
                             bool urgent)
{
    if (!active() || !apply_change(stored_.state, new_change))
    {
        return false;
    }
    pending_changes_.push_back(std::move(new_change));
    urgent_ = urgent_ || urgent;
    if (!pending_since_)
    {
        pending_since_ = now;
    }
    return true;
}

std::vector<tasks::change> cell_log::take_committed()
{
    return std::exchange(committed_, {});
}

bool cell_log::active() const noexcept
{
    return taken_over_ && step_ != step::ownership_lost;
}

bool cell_log::ownership_lost() const noexcept
{
    return step_ == step::ownership_lost;
}

bool cell_log::idle() const noexcept
{
    return pending_changes_.empty() && step_ != step::appending &&
           step_ != step::checking && step_ != step::reading &&
           snapshot_call_ == 0;
}

std::size_t cell_log::pending_changes() const noexcept
{
    return pending_changes_.size();
}

cell_state const& cell_log::state() const noexcept
{
    return stored_.state;
}

common::failure const& cell_log::last_failure() const noexcept
{
    return failure_;
}

} // namespace fuchsia::core::tasks
