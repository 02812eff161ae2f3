#include "core/membership/member.hpp"

#include "core/membership/witness_choice.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::membership
{

namespace
{

constexpr common::duration no_proof_age = std::chrono::hours(24 * 365);

} // namespace

member::member(settings settings,
               member_info self,
               std::uint64_t seed,
               safety_rules rules)
    : settings_(settings), random_(seed), roster_(self.role), proof_(rules),
      witness_(settings.fencing_delay), fencing_(settings, rules),
      lifecycle_(self.id.name),
      own_record_(std::move(self), settings.heartbeat_interval)
{
}

void member::start(common::time_point now, ports::actions& out)
{
    started_ = true;
    detect_pause(now, out);
    advance(now, out);
}

void member::tick(common::time_point now, ports::actions& out)
{
    detect_pause(now, out);
    advance(now, out);
}

// A paused process resumes with its old proofs and with frames in its buffers,
// while other members may have fenced it and taken over its claims. The time
// since its last activity reveals the pause before any decision is based on
// outdated state.
void member::detect_pause(common::time_point now, ports::actions& out)
{
    bool const paused =
        last_activity_ && now - *last_activity_ > settings_.pause_limit;
    if (paused)
    {
        ++counts_.pauses;
        proof_.invalidate_all(now);
        witness_.on_pause(now);
        own_record_.schedule_now(now);
        next_round_ = now;
        out.emplace_back(ports::reset_peers{});
        out.emplace_back(
            ports::log_event{ports::severity::warning,
                             "member_paused",
                             {{"member", self().id.name},
                              {"gap_ms",
                               std::to_string(common::to_milliseconds(
                                   now - *last_activity_))}}});
        update_phase_from_proof(now, out);
    }
    last_activity_ = now;
}

void member::advance(common::time_point now, ports::actions& out)
{
    if (!started_)
    {
        return;
    }
    advance_own_record(now, out);
    if (lifecycle_.is_participating())
    {
        request_member_list(now, out);
        request_promises(now, out);
        advance_fencing(now, out);
    }
    update_phase_from_proof(now, out);
}

void member::advance_own_record(common::time_point now, ports::actions& out)
{
    auto operation = own_record_.next(now, next_witnesses_, random_);
    if (!operation)
    {
        return;
    }
    if (std::holds_alternative<ports::store_read>(*operation))
    {
        ++counts_.own_reads;
    }
    else
    {
        ++counts_.own_writes;
    }
    call_store(now, call_kind::own_record, std::move(*operation), out);
}

void member::request_member_list(common::time_point now, ports::actions& out)
{
    if (list_in_flight_ || now < next_list_)
    {
        return;
    }
    list_in_flight_ = true;
    next_list_ = now + settings_.list_interval;
    ++counts_.lists;
    call_store(now,
               call_kind::list,
               ports::store_list{members_prefix(self().role)},
               out);
}

void member::update_phase_from_proof(common::time_point now,
                                     ports::actions& out)
{
    if (proof_age(now) >= settings_.proof_lifetime)
    {
        lifecycle_.on_proof(proof_source::none, out);
    }
    else
    {
        lifecycle_.on_proof(proof_.newest_is_from_store()
                                ? proof_source::store
                                : proof_source::witnesses,
                            out);
    }
}

void member::on_store_reply(common::time_point now,
                            ports::store_reply const& reply,
                            ports::actions& out)
{
    detect_pause(now, out);
    auto const it = calls_.find(reply.id.number);
    if (it == calls_.end())
    {
        return;
    }
    pending_call const finished_call = std::move(it->second);
    calls_.erase(it);
    switch (finished_call.kind)
    {
    case call_kind::own_record:
        on_own_reply(now, reply, out);
        break;
    case call_kind::list:
        on_list_reply(now, finished_call.sent_at, reply, out);
        break;
    case call_kind::fencing:
        fencing_.on_write_reply(now, finished_call.subject);
        next_list_ = now; // The list shows whether the write took effect.
        break;
    }
    advance(now, out);
}

void member::on_own_reply(common::time_point now,
                          ports::store_reply const& reply,
                          ports::actions& out)
{
    auto const update = own_record_.on_reply(now, reply);
    if (!update.fenced_reason.empty())
    {
        bool const was_participating = lifecycle_.is_participating();
        lifecycle_.on_fenced(update.fenced_reason, out);
        if (was_participating)
        {
            out.emplace_back(ports::rejoin{update.fenced_reason});
        }
        return;
    }
    if (update.accepted_sent_at)
    {
        lifecycle_.on_joined(out);
        proof_.on_heartbeat_accepted(now, *update.accepted_sent_at);
        roster_.update_record(
            now, own_record_.accepted_record(), own_record_.version());
    }
    if (own_record_.is_removed())
    {
        lifecycle_.on_removed(out);
    }
}

void member::on_list_reply(common::time_point now,
                           common::time_point sent_at,
                           ports::store_reply const& reply,
                           ports::actions& out)
{
    list_in_flight_ = false;
    if (reply.status != ports::store_status::done)
    {
        return;
    }
    common::failure reason;
    bool const applied = roster_.apply(now, sent_at, reply, reason);
    if (reason.code != common::result_code::ok)
    {
        out.emplace_back(ports::log_event{
            ports::severity::error,
            "member_list_unreadable",
            {{"member", self().id.name}, {"why", common::to_string(reason)}}});
    }
    if (!applied)
    {
        return;
    }
    next_list_ =
        std::min(next_list_, fencing_.next_read_at(now, self().id, roster_));
    witness_.on_list(now, roster_);
    next_witnesses_ =
        choose_witnesses(self().id, roster_.live(), settings_.witness_count);
    if (own_record_changed())
    {
        own_record_.request_read();
    }
}

// A list may be outdated and proves nothing about this member's own record, but
// a difference in it is a reason to read the record.
bool member::own_record_changed() const noexcept
{
    auto const* observed = roster_.find(self().id.name);
    if (observed == nullptr || !observed->readable)
    {
        return own_record_.has_joined() ||
               own_record_.predecessor().has_value();
    }
    bool const own = observed->value.info.id == self().id;
    if (own_record_.has_joined())
    {
        return !own || observed->value.fenced || observed->value.successor != 0;
    }
    return own_record_.predecessor() &&
           (own || observed->value.fenced ||
            observed->value.info.id != *own_record_.predecessor());
}

void member::on_instances(common::time_point now,
                          ports::instance_list const& list,
                          ports::actions& out)
{
    detect_pause(now, out);
    platform_.apply(list, self().id.name);
}

void member::set_config_revision(std::uint64_t revision) noexcept
{
    own_record_.set_config_revision(revision);
}

void member::begin_leaving(common::time_point now, ports::actions& out)
{
    detect_pause(now, out);
    own_record_.set_leaving();
    own_record_.schedule_now(now);
    advance(now, out);
}

void member::remove(common::time_point now, ports::actions& out)
{
    detect_pause(now, out);
    if (!lifecycle_.is_participating())
    {
        return;
    }
    lifecycle_.on_removing(out);
    own_record_.remove();
    if (own_record_.is_removed())
    {
        lifecycle_.on_removed(out);
    }
    advance(now, out);
}

bool member::is_removed() const noexcept
{
    return lifecycle_.current_phase() == member_phase::removed;
}

// Checks the time since the last activity as well: between the end of a pause
// and the next tick the pause has not been detected yet.
bool member::may_act(common::time_point now) const noexcept
{
    return lifecycle_.is_participating() && last_activity_ &&
           now - *last_activity_ <= settings_.pause_limit &&
           proof_age(now) < settings_.proof_lifetime;
}

common::duration member::proof_age(common::time_point now) const noexcept
{
    auto const newest = proof_.newest();
    return newest ? now - *newest : no_proof_age;
}

bool member::proved_by_store() const noexcept
{
    return proof_.newest_is_from_store();
}

member_phase member::current_phase() const noexcept
{
    return lifecycle_.current_phase();
}

member_info const& member::self() const noexcept
{
    return own_record_.info();
}

std::vector<member_info> const& member::live() const noexcept
{
    return roster_.live();
}

member_info const* member::find(ports::member_identity const& id) const noexcept
{
    auto const* info = find(std::string_view(id.name));
    return info != nullptr && info->id == id ? info : nullptr;
}

member_info const* member::find(std::string_view name) const noexcept
{
    auto const& live = roster_.live();
    auto const it =
        std::lower_bound(live.begin(),
                         live.end(),
                         name,
                         [](member_info const& info, std::string_view wanted)
                         {
                             return info.id.name < wanted;
                         });
    return it != live.end() && it->id.name == name ? &*it : nullptr;
}

bool member::is_fenced(ports::member_identity const& id) const noexcept
{
    return roster_.is_fenced(id);
}

roster const& member::records() const noexcept
{
    return roster_;
}

bool member::has_member_list() const noexcept
{
    return roster_.is_loaded();
}

member_counts const& member::counts() const noexcept
{
    return counts_;
}

void member::call_store(common::time_point now,
                        call_kind kind,
                        ports::store_operation operation,
                        ports::actions& out,
                        ports::member_identity const& subject)
{
    calls_.emplace(++last_call_, pending_call{kind, now, subject});
    out.emplace_back(
        ports::store_call{{ports::store_requester::membership, last_call_},
                          std::move(operation)});
}

} // namespace fuchsia::core::membership
