#include "core/claims/claim_table.hpp"

#include <utility>

// Store calls of the claim table and the handling of their replies.
namespace fuchsia::core::claims
{

void claim_table::poll_list(common::time_point now, ports::actions& out)
{
    if (list_in_flight_ || now < next_list_)
    {
        return;
    }
    list_in_flight_ = true;
    next_list_ = now + settings_.min_watch_interval;
    if (view_.is_loaded())
    {
        ++counts_.watches;
        send_call(
            {call_kind::list, {}, {}},
            ports::store_watch{prefix_, view_.index(), settings_.watch_wait},
            out);
        return;
    }
    ++counts_.lists;
    send_call({call_kind::list, {}, {}}, ports::store_list{prefix_}, out);
}

void claim_table::write_claim(claim const& current, ports::actions& out)
{
    claim_record value;
    value.owner = self_;
    if (current.owner.name.empty())
    {
        value.released_by = current.released_by;
    }
    value.epoch = current.epoch + 1;
    value.write_id = random_();
    ++counts_.writes;
    send_call({call_kind::claim, current.partition, value},
              ports::store_write{
                  prefix_ + current.partition, to_json(value), current.version},
              out);
}

void claim_table::write_release(claim const& current, ports::actions& out)
{
    claim_record value;
    value.released_by = self_;
    value.handed_to = progress_[current.partition].requested_successor;
    value.epoch = current.epoch;
    value.write_id = random_();
    ++counts_.writes;
    send_call({call_kind::release, current.partition, value},
              ports::store_write{
                  prefix_ + current.partition, to_json(value), current.version},
              out);
}

void claim_table::on_store_reply(common::time_point now,
                                 ports::store_reply const& reply,
                                 membership::member const& members,
                                 ports::actions& out)
{
    auto const found = calls_.find(reply.id.number);
    if (found == calls_.end())
    {
        return;
    }
    pending_call const request = std::move(found->second);
    calls_.erase(found);
    set_self(members.self().id);
    switch (request.kind)
    {
    case call_kind::list:
        on_list(now, reply);
        break;
    case call_kind::read:
        on_read(now, request, reply);
        break;
    case call_kind::claim:
    case call_kind::release:
        on_write(now, request, reply);
        break;
    case call_kind::erase:
        erase_in_flight_ = false;
        break;
    }
    tick(now, members, out);
}

void claim_table::on_list(common::time_point now,
                          ports::store_reply const& reply)
{
    list_in_flight_ = false;
    if (reply.status != ports::store_status::done)
    {
        next_list_ = now + settings_.retry_interval;
        return;
    }
    view_.apply_list(reply);
}

void claim_table::on_read(common::time_point now,
                          pending_call const& request,
                          ports::store_reply const& reply)
{
    --writes_in_flight_;
    auto& state = progress_[request.partition];
    state.call_in_flight = false;
    if (reply.status != ports::store_status::done)
    {
        state.retry_at = now + settings_.retry_interval;
        return;
    }
    state.needs_read_back = false;
    view_.apply_read(request.partition, reply);
}

// A write whose reply was lost may have taken effect or may still do so. A
// claim that reads back with this member as owner is its own; otherwise it is
// written again with the version just read, after which the lost write can only
// fail. A release is repeated until a newer version shows that it, or a later
// change, is stored: the member never resumes a partition that it has begun to
// release.
void claim_table::on_write(common::time_point now,
                           pending_call const& request,
                           ports::store_reply const& reply)
{
    --writes_in_flight_;
    auto& state = progress_[request.partition];
    state.call_in_flight = false;
    switch (reply.status)
    {
    case ports::store_status::done:
        view_.apply_claim(
            request.partition, request.written_record, reply.index);
        break;
    case ports::store_status::unavailable:
        state.retry_at = now + settings_.retry_interval;
        break;
    case ports::store_status::conflict:
        state.needs_read_back = true;
        break;
    case ports::store_status::unclear:
        state.needs_read_back = true;
        state.retry_at = now + settings_.retry_interval;
        break;
    }
}

void claim_table::send_call(pending_call pending,
                            ports::store_operation operation,
                            ports::actions& out)
{
    if (pending.kind != call_kind::list && pending.kind != call_kind::erase)
    {
        progress_[pending.partition].call_in_flight = true;
        ++writes_in_flight_;
    }
    calls_.emplace(++last_call_id_, std::move(pending));
    out.emplace_back(ports::store_call{
        {ports::store_requester::claims, last_call_id_}, std::move(operation)});
}

} // namespace fuchsia::core::claims
