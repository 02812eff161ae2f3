#include "core/claims/claim_table.hpp"

#include <utility>

// What the table asks of the store, and what becomes of it.
namespace fuchsia::core::claims
{

void claim_table::drive_list(common::time_point now, ports::actions& out)
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
        call({call_kind::list, {}, {}},
             ports::store_watch{prefix_, view_.index(), settings_.watch_wait},
             out);
        return;
    }
    ++counts_.lists;
    call({call_kind::list, {}, {}}, ports::store_list{prefix_}, out);
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
    call({call_kind::claim, current.partition, value},
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
    call({call_kind::release, current.partition, value},
         ports::store_write{
             prefix_ + current.partition, to_json(value), current.version},
         out);
}

void claim_table::on_store_reply(common::time_point now,
                                 ports::store_reply const& reply,
                                 membership::member const& members,
                                 ports::actions& out)
{
    auto const place = calls_.find(reply.id.number);
    if (place == calls_.end())
    {
        return;
    }
    pending_call const answered = std::move(place->second);
    calls_.erase(place);
    set_self(members.self().id);
    switch (answered.kind)
    {
    case call_kind::list:
        on_list(now, reply);
        break;
    case call_kind::read:
        on_read(now, answered, reply);
        break;
    case call_kind::claim:
    case call_kind::release:
        on_write(now, answered, reply);
        break;
    case call_kind::erase:
        erasing_ = false;
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
                          pending_call const& answered,
                          ports::store_reply const& reply)
{
    --writes_;
    auto& state = progress_[answered.partition];
    state.calling = false;
    if (reply.status != ports::store_status::done)
    {
        state.retry = now + settings_.retry_interval;
        return;
    }
    state.read_back = false;
    view_.apply_read(answered.partition, reply);
}

// After a lost answer the write may have taken effect, or may yet. A claim
// that reads back as ours is ours, and one that does not is written again from
// the version read, which the lost one can't survive. A release is repeated
// until a newer version shows that it, or a later change, stands: the member
// never takes up again what it once began to release.
void claim_table::on_write(common::time_point now,
                           pending_call const& answered,
                           ports::store_reply const& reply)
{
    --writes_;
    auto& state = progress_[answered.partition];
    state.calling = false;
    switch (reply.status)
    {
    case ports::store_status::done:
        view_.take(answered.partition, answered.written, reply.index);
        break;
    case ports::store_status::unavailable:
        state.retry = now + settings_.retry_interval;
        break;
    case ports::store_status::conflict:
        state.read_back = true;
        break;
    case ports::store_status::unclear:
        state.read_back = true;
        state.retry = now + settings_.retry_interval;
        break;
    }
}

void claim_table::call(pending_call what,
                       ports::store_operation operation,
                       ports::actions& out)
{
    if (what.kind != call_kind::list && what.kind != call_kind::erase)
    {
        progress_[what.partition].calling = true;
        ++writes_;
    }
    calls_.emplace(++last_call_, std::move(what));
    out.emplace_back(ports::store_call{
        {ports::store_requester::claims, last_call_}, std::move(operation)});
}

} // namespace fuchsia::core::claims
