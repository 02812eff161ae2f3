#include "programs/planner/administration_removal.hpp"

#include <utility>

namespace fuchsia::programs::planner
{

namespace
{

using core::common::result_code;

constexpr core::common::duration retry_interval =
    std::chrono::milliseconds(200);
/// Time before a removal is given up, in addition to the time for which the
/// record must stay unchanged.
constexpr core::common::duration extra_time = std::chrono::seconds(5);

} // namespace

member_removal::member_removal(core::common::duration fence_after,
                               std::string role,
                               std::string name,
                               std::uint64_t write_id)
    : fence_after_(fence_after), role_(std::move(role)), name_(std::move(name)),
      key_(core::membership::members_prefix(role_) + name_), write_id_(write_id)
{
}

void member_removal::start(core::common::time_point now,
                           std::uint64_t& next_call,
                           ports::actions& out)
{
    deadline_ = now + fence_after_ + extra_time;
    next_call_at_ = now;
    tick(now, next_call, out);
}

void member_removal::tick(core::common::time_point now,
                          std::uint64_t& next_call,
                          ports::actions& out)
{
    if (result_ || call_in_flight_ || now < next_call_at_)
    {
        return;
    }
    if (now >= deadline_)
    {
        finish(result_code::store_unavailable,
               "the store did not answer in time; nothing was changed");
        return;
    }
    ports::store_operation operation = ports::store_read{key_};
    if (!next_is_read_)
    {
        auto fenced_record = *last_record_;
        fenced_record.fenced = true;
        fenced_record.write_id = write_id_;
        operation = ports::store_write{key_, to_json(fenced_record), version_};
    }
    call_in_flight_ = next_call++;
    out.emplace_back(ports::store_call{
        {ports::store_requester::administration, *call_in_flight_},
        std::move(operation)});
}

bool member_removal::on_store_reply(core::common::time_point now,
                                    ports::store_reply const& reply,
                                    std::uint64_t& next_call,
                                    ports::actions& out)
{
    if (!call_in_flight_ || reply.id.number != *call_in_flight_)
    {
        return false;
    }
    call_in_flight_.reset();
    if (next_is_read_)
    {
        on_record(now, reply);
    }
    else
    {
        on_write(now, reply.status);
    }
    tick(now, next_call, out);
    return true;
}

std::string const& member_removal::key() const noexcept
{
    return key_;
}

std::optional<core::common::failure> const&
member_removal::result() const noexcept
{
    return result_;
}

void member_removal::on_record(core::common::time_point now,
                               ports::store_reply const& reply)
{
    if (reply.status != ports::store_status::done)
    {
        wait_before_next_call(now, retry_interval);
        return;
    }
    if (reply.entries.empty())
    {
        // If the record existed at the first read, the member itself or another
        // removed it meanwhile.
        finish(last_record_ ? result_code::ok : result_code::not_found,
               "the store has no record of it");
        return;
    }
    auto const& entry = reply.entries.front();
    core::common::failure reason;
    auto record =
        core::membership::parse_record(role_, name_, entry.value, reason);
    if (!record)
    {
        finish(reason.code, reason.why);
        return;
    }
    if (record->fenced)
    {
        finish(result_code::ok, {});
        return;
    }
    if (last_record_ && entry.version != version_)
    {
        write_unclear_ = false;
        finish(result_code::conflict, "it beat meanwhile: it is running");
        return;
    }
    // If the record is unchanged after a write whose answer was lost, the same
    // write is sent again.
    wait_before_next_call(now, last_record_ ? retry_interval : fence_after_);
    last_record_ = std::move(record);
    version_ = entry.version;
    next_is_read_ = false;
}

void member_removal::on_write(core::common::time_point now,
                              ports::store_status status)
{
    switch (status)
    {
    case ports::store_status::done:
        finish(result_code::ok, {});
        return;
    case ports::store_status::unavailable:
        wait_before_next_call(now, retry_interval);
        return;
    case ports::store_status::unclear:
        write_unclear_ = true;
        [[fallthrough]];
    case ports::store_status::conflict:
        next_is_read_ = true;
        next_call_at_ = now;
        return;
    }
}

void member_removal::wait_before_next_call(core::common::time_point now,
                                           core::common::duration length)
{
    next_call_at_ = now + length;
}

void member_removal::finish(result_code code, std::string why)
{
    if (code != result_code::ok && write_unclear_)
    {
        code = result_code::store_unclear;
        why = "the answer was lost and reading back did not settle it";
    }
    result_ = core::common::failure{code, key_, std::move(why)};
}

} // namespace fuchsia::programs::planner
