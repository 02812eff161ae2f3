#include "core/requests/entry_engine.hpp"

namespace fuchsia::core::requests
{

namespace
{

/// Returns the first id of requests, exchanges and forwarded requests. It
/// depends on the incarnation because the exchanges of two incarnations in one
/// process must not share an id. The top bits stay clear: the slot table uses
/// them for its own ids.
std::uint64_t first_id(ports::member_identity const& self) noexcept
{
    constexpr std::uint64_t mask = (std::uint64_t{1} << 30U) - 1;
    return ((self.incarnation & mask) << 32U) + 1;
}

entry_settings make_consistent(entry_settings settings)
{
    settings.slices.max_execution = settings.upstreams.max_execution;
    return settings;
}

} // namespace

entry_engine::entry_engine(entry_settings const& settings,
                           membership::member_info const& self,
                           std::uint64_t seed)
    : settings_(make_consistent(settings)), random_(seed),
      members_(settings_.membership, self, seed ^ 1U),
      claims_("entry", partition_names()), follower_(settings_.configuration),
      slots_(settings_.upstreams, seed ^ 2U), keys_(settings_.keys),
      queue_(settings_.max_queued), retries_(settings_.retries),
      peer_loads_(settings_.load_lifetime),
      key_imports_(settings_.keys.max_keys), next_id_(first_id(self.id))
{
}

void entry_engine::start(common::time_point now, ports::actions& out)
{
    resumed_at_ = now;
    last_event_at_ = now;
    members_.start(now, out);
    claims_.start(now, out);
    follower_.start(now, out);
}

void entry_engine::tick(common::time_point now, ports::actions& out)
{
    detect_pause(now, out);
    if (!retired_)
    {
        members_.tick(now, out);
        claims_.tick(now, members_, out);
        follower_.tick(now, out);
        sync_platform_state(now, out);
    }
    slots_.tick(now);
    keys_.tick(now);
    fire_timers(now, out);
    if (!may_send(now))
    {
        refuse_all_waiting(now, out);
    }
    if (!retired_)
    {
        request_slices(now, out);
        send_loads(now, out);
        advance_handovers(now, out);
    }
    process_waiting_work(now, out);
    advance_lifecycle(now, out);
}

void entry_engine::on_store_reply(common::time_point now,
                                  ports::store_reply const& reply,
                                  ports::actions& out)
{
    detect_pause(now, out);
    if (retired_)
    {
        return;
    }
    switch (reply.id.requester)
    {
    case ports::store_requester::membership:
        members_.on_store_reply(now, reply, out);
        break;
    case ports::store_requester::claims:
        claims_.on_store_reply(now, reply, members_, out);
        break;
    case ports::store_requester::configuration:
        follower_.on_store_reply(now, reply, out);
        break;
    default:
        break;
    }
    sync_platform_state(now, out);
    process_waiting_work(now, out);
}

void entry_engine::on_instances(common::time_point now,
                                ports::instance_list const& list,
                                ports::actions& out)
{
    detect_pause(now, out);
    slots_.on_instances(now, list);
    if (!retired_)
    {
        members_.on_instances(now, list, out);
        sync_platform_state(now, out);
    }
    process_waiting_work(now, out);
}

std::optional<common::time_point> entry_engine::next_timer() const noexcept
{
    if (timers_.empty())
    {
        return std::nullopt;
    }
    return timers_.begin()->first;
}

entry_status entry_engine::status(common::time_point now) const
{
    entry_status result;
    result.phase = lifecycle_.phase();
    result.may_act = members_.may_act(now);
    result.proof_age = members_.proof_age(now);
    result.revision = follower_.current().revision;
    result.members = members_.live().size();
    result.owned_partitions = claims_.owned(members_).size();
    result.free_slots = slots_.free_slots();
    result.usable_slots = slots_.usable_slots();
    result.queued = queue_.size();
    result.open = requests_.size();
    result.keys = keys_.size();
    result.key_bytes = keys_.bytes();
    return result;
}

entry_counts const& entry_engine::counts() const noexcept
{
    return counts_;
}

membership::member const& entry_engine::members() const noexcept
{
    return members_;
}

claims::claim_table const& entry_engine::claims() const noexcept
{
    return claims_;
}

config::configuration const& entry_engine::configuration() const noexcept
{
    return follower_.current();
}

std::uint32_t
entry_engine::in_flight(std::string const& customer) const noexcept
{
    auto const found = customers_.find(customer);
    return found == customers_.end() ? 0 : found->second.slice.in_flight();
}

upstreams::slot_table const& entry_engine::slots() const noexcept
{
    return slots_;
}

// Detects that the process was paused. A first sending may have waited in a
// socket buffer during the pause while a later sending of its key ran
// elsewhere. Requests that are read soon after a pause are therefore not
// confirmed as first sendings (see `key_memory`).
void entry_engine::detect_pause(common::time_point now, ports::actions& out)
{
    if (last_event_at_ &&
        now - *last_event_at_ > settings_.membership.pause_limit)
    {
        resumed_at_ = now;
        log(out,
            ports::severity::warning,
            "paused",
            {{"ms",
              std::to_string(common::to_milliseconds(now - *last_event_at_))}});
    }
    last_event_at_ = now;
}

void entry_engine::process_waiting_work(common::time_point now,
                                        ports::actions& out)
{
    send_queued(now, out);
    while (!customers_to_resume_.empty())
    {
        std::string const name = *customers_to_resume_.begin();
        customers_to_resume_.erase(customers_to_resume_.begin());
        resume_awaiting_slice(now, name, out);
    }
    send_queued(now, out);
}

void entry_engine::sync_platform_state(common::time_point now,
                                       ports::actions& out)
{
    sync_configuration(now, out);
    sync_members(now, out);
    sync_claims(now, out);
}

bool entry_engine::owns(common::time_point now,
                        std::uint32_t partition) const noexcept
{
    return claims_.owns(now, partition_name(partition), members_);
}

void entry_engine::log(ports::actions& out,
                       ports::severity level,
                       std::string event,
                       std::vector<ports::header> fields) const
{
    fields.insert(fields.begin(), {"member", members_.self().id.name});
    out.emplace_back(
        ports::log_event{level, std::move(event), std::move(fields)});
}

} // namespace fuchsia::core::requests
