#include "core/membership/own_record.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::membership
{

namespace
{

/// Maximum number of unconfirmed writes that are kept. While the store loses
/// every reply, each heartbeat adds one, and only the newest of them can still
/// give a proof that has not expired.
constexpr std::size_t max_unconfirmed = 16;

/// Delay before a store call is retried that got no reply.
constexpr common::duration retry_interval = std::chrono::milliseconds(200);

} // namespace

own_record::own_record(member_info self, common::duration heartbeat_interval)
    : self_(std::move(self)), heartbeat_interval_(heartbeat_interval)
{
}

std::optional<ports::store_operation>
own_record::next(common::time_point now,
                 witness_list const& witnesses,
                 std::mt19937_64& random)
{
    if (in_flight_ != call_kind::none || now < next_call_at_)
    {
        return std::nullopt;
    }
    switch (step_)
    {
    case step::reading:
        in_flight_ = call_kind::read;
        return ports::store_read{key()};
    case step::marking:
    {
        in_flight_ = call_kind::mark;
        record marked = predecessor_record_;
        marked.successor = self_.id.incarnation;
        marked.write_id = random();
        return ports::store_write{key(), to_json(marked), predecessor_version_};
    }
    case step::writing:
        if (now < next_write_at_)
        {
            return std::nullopt;
        }
        return send_write(now, witnesses, random);
    case step::erasing:
        in_flight_ = call_kind::erase;
        return ports::store_erase{key(), version_};
    case step::waiting:
    case step::finished:
        break;
    }
    return std::nullopt;
}

ports::store_operation own_record::send_write(common::time_point now,
                                              witness_list const& witnesses,
                                              std::mt19937_64& random)
{
    in_flight_ = call_kind::write;
    next_write_at_ = now + heartbeat_interval_;
    if (unconfirmed_writes_.size() == max_unconfirmed)
    {
        unconfirmed_writes_.erase(unconfirmed_writes_.begin());
    }
    unconfirmed_writes_.push_back({next_record(witnesses, random), now});
    return ports::store_write{
        key(), to_json(unconfirmed_writes_.back().value), version_};
}

// While the outcome of a write is unknown, the next write carries the same
// witnesses, so that the store holds one of at most two lists.
record own_record::next_record(witness_list const& witnesses,
                               std::mt19937_64& random)
{
    record value;
    value.info = self_;
    value.heartbeat_count = ++heartbeat_count_;
    value.witnesses = unconfirmed_writes_.empty()
                          ? witnesses
                          : unconfirmed_writes_.back().value.witnesses;
    value.write_id = random();
    return value;
}

own_record_update own_record::on_reply(common::time_point now,
                                       ports::store_reply const& reply)
{
    own_record_update update;
    call_kind const kind = std::exchange(in_flight_, call_kind::none);
    if (reply.status == ports::store_status::unavailable ||
        reply.status == ports::store_status::unclear)
    {
        next_call_at_ = now + retry_interval;
    }
    switch (kind)
    {
    case call_kind::read:
        on_read_reply(reply, update);
        break;
    case call_kind::mark:
        on_mark_reply(reply);
        break;
    case call_kind::write:
        on_write_reply(reply, update);
        break;
    case call_kind::erase:
        on_erase_reply(reply);
        break;
    case call_kind::none:
        break;
    }
    continue_removal();
    return update;
}

void own_record::on_write_reply(ports::store_reply const& reply,
                                own_record_update& update)
{
    switch (reply.status)
    {
    case ports::store_status::done:
    {
        sent_write const write = unconfirmed_writes_.back();
        accept(write, reply.index, update);
        break;
    }
    case ports::store_status::unavailable:
        unconfirmed_writes_.pop_back();
        break;
    case ports::store_status::conflict:
        // This write had no effect: an earlier unconfirmed write or another
        // writer has changed the record.
        unconfirmed_writes_.pop_back();
        step_ = step::reading;
        break;
    case ports::store_status::unclear:
        step_ = step::reading;
        break;
    }
}

void own_record::on_read_reply(ports::store_reply const& reply,
                               own_record_update& update)
{
    if (reply.status != ports::store_status::done)
    {
        return;
    }
    std::uint64_t const read_version =
        reply.entries.empty() ? reply.index : reply.entries.front().version;
    if (joined_ && read_version < version_)
    {
        step_ = step::writing; // A lagging replica returned an older state.
        return;
    }
    if (reply.entries.empty())
    {
        resolve_absent(update);
        return;
    }
    auto const& entry = reply.entries.front();
    common::failure reason;
    auto value = parse_record(self_.role, self_.id.name, entry.value, reason);
    if (!value)
    {
        end_incarnation(
            "own record is unreadable: " + common::to_string(reason), update);
        return;
    }
    if (value->info.id == self_.id && !value->fenced && value->successor == 0)
    {
        resolve_own(*value, entry.version, update);
        return;
    }
    resolve_other(std::move(*value), entry.version, update);
}

void own_record::resolve_absent(own_record_update& update)
{
    if (removing_)
    {
        step_ = step::finished;
        return;
    }
    if (joined_)
    {
        end_incarnation("own record was removed from the store", update);
        return;
    }
    version_ = 0;
    predecessor_.reset();
    step_ = step::writing;
}

void own_record::resolve_own(record const& value,
                             std::uint64_t version,
                             own_record_update& update)
{
    step_ = step::writing;
    if (version <= version_)
    {
        return; // No unconfirmed write has taken effect so far.
    }
    auto const write =
        std::find_if(unconfirmed_writes_.begin(),
                     unconfirmed_writes_.end(),
                     [&value](sent_write const& candidate)
                     {
                         return candidate.value.write_id == value.write_id;
                     });
    if (write != unconfirmed_writes_.end())
    {
        sent_write const found = *write;
        accept(found, version, update);
        return;
    }
    joined_ = true;
    accepted_record_ = value;
    version_ = version;
    unconfirmed_writes_.clear();
}

void own_record::resolve_other(record value,
                               std::uint64_t version,
                               own_record_update& update)
{
    if (removing_)
    {
        step_ = step::finished;
        return;
    }
    if (joined_ || value.info.id == self_.id)
    {
        end_incarnation(value.fenced ? "fenced by another member"
                                     : "a newer process runs under this name",
                        update);
        return;
    }
    if (value.fenced)
    {
        version_ = version;
        predecessor_.reset();
        step_ = step::writing;
        return;
    }
    predecessor_ = value.info.id;
    predecessor_version_ = version;
    step_ = value.successor == 0 ? step::marking : step::waiting;
    predecessor_record_ = std::move(value);
}

// Requests a read of the record, also if the outcome of the mark is unknown: it
// does not matter which process wrote the mark that the record then has.
void own_record::on_mark_reply(ports::store_reply const& reply)
{
    if (reply.status != ports::store_status::unavailable)
    {
        step_ = step::reading;
    }
}

void own_record::on_erase_reply(ports::store_reply const& reply)
{
    switch (reply.status)
    {
    case ports::store_status::done:
        step_ = step::finished;
        break;
    case ports::store_status::unavailable:
        break;
    case ports::store_status::conflict:
    case ports::store_status::unclear:
        step_ = step::reading;
        break;
    }
}

void own_record::accept(sent_write const& write,
                        std::uint64_t version,
                        own_record_update& update)
{
    joined_ = true;
    accepted_record_ = write.value;
    version_ = version;
    update.accepted_sent_at = write.sent_at;
    unconfirmed_writes_.clear();
}

void own_record::end_incarnation(std::string reason, own_record_update& update)
{
    step_ = step::finished;
    update.fenced_reason = std::move(reason);
}

void own_record::request_read() noexcept
{
    if (step_ == step::writing || step_ == step::waiting)
    {
        // The reply to a call in flight resolves the state of the record.
        if (in_flight_ == call_kind::none)
        {
            step_ = step::reading;
        }
    }
}

void own_record::schedule_now(common::time_point now) noexcept
{
    next_write_at_ = now;
    next_call_at_ = now;
}

void own_record::set_config_revision(std::uint64_t revision) noexcept
{
    self_.config_revision = std::max(self_.config_revision, revision);
}

void own_record::set_leaving() noexcept
{
    self_.leaving = true;
}

void own_record::remove() noexcept
{
    removing_ = true;
    if (in_flight_ == call_kind::none)
    {
        continue_removal();
    }
}

// A member that has not joined has no record to erase. If the outcome of its
// first write is unknown, it reads the record first.
void own_record::continue_removal() noexcept
{
    if (!removing_ || step_ == step::finished || step_ == step::erasing)
    {
        return;
    }
    if (joined_ && step_ == step::writing)
    {
        step_ = step::erasing;
    }
    else if (!joined_ && step_ != step::reading)
    {
        step_ = unconfirmed_writes_.empty() ? step::finished : step::reading;
    }
}

bool own_record::is_removed() const noexcept
{
    return removing_ && step_ == step::finished;
}

bool own_record::has_joined() const noexcept
{
    return joined_;
}

std::uint64_t own_record::version() const noexcept
{
    return joined_ ? version_ : 0;
}

member_info const& own_record::info() const noexcept
{
    return self_;
}

record const& own_record::accepted_record() const noexcept
{
    return accepted_record_;
}

std::vector<witness_list> own_record::possible_witness_lists() const
{
    std::vector<witness_list> lists;
    if (!joined_)
    {
        return lists;
    }
    lists.push_back(accepted_record_.witnesses);
    for (auto const& write : unconfirmed_writes_)
    {
        auto const& list = write.value.witnesses;
        if (std::find(lists.begin(), lists.end(), list) == lists.end())
        {
            lists.push_back(list);
        }
    }
    return lists;
}

std::optional<ports::member_identity> const&
own_record::predecessor() const noexcept
{
    return predecessor_;
}

std::string own_record::key() const
{
    return members_prefix(self_.role) + self_.id.name;
}

} // namespace fuchsia::core::membership
