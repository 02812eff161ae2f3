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
               safety_rules parts)
    : settings_(settings), random_(seed), roster_(self.role), proof_(parts),
      witness_(settings.fencing_delay), fencing_(settings, parts),
      lifecycle_(self.id.name),
      own_(std::move(self), settings.heartbeat_interval)
{
}

void member::start(common::time_point now, ports::actions& out)
{
    started_ = true;
    detect_pause(now, out);
    drive(now, out);
}

void member::tick(common::time_point now, ports::actions& out)
{
    detect_pause(now, out);
    drive(now, out);
}

// A frozen process wakes with its old proofs and with frames in its buffers,
// while others may have buried it and taken over. The gap since it last did
// anything shows that, before anything is decided on what it believed.
void member::detect_pause(common::time_point now, ports::actions& out)
{
    bool const paused = last_seen_ && now - *last_seen_ > settings_.pause_limit;
    if (paused)
    {
        ++counts_.pauses;
        proof_.invalidate_all(now);
        witness_.after_pause(now);
        own_.hurry(now);
        next_round_ = now;
        out.emplace_back(ports::reset_peers{});
        out.emplace_back(ports::log_event{
            ports::severity::warning,
            "member_paused",
            {{"member", self().id.name},
             {"gap_ms",
              std::to_string(common::to_milliseconds(now - *last_seen_))}}});
        update_phase_from_proof(now, out);
    }
    last_seen_ = now;
}

void member::drive(common::time_point now, ports::actions& out)
{
    if (!started_)
    {
        return;
    }
    drive_own(now, out);
    if (lifecycle_.takes_part())
    {
        drive_list(now, out);
        drive_rounds(now, out);
        advance_fencing(now, out);
    }
    update_phase_from_proof(now, out);
}

void member::drive_own(common::time_point now, ports::actions& out)
{
    auto operation = own_.next(now, wanted_witnesses_, random_);
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
    call(now, call_kind::own, std::move(*operation), out);
}

void member::drive_list(common::time_point now, ports::actions& out)
{
    if (list_in_flight_ || now < next_list_)
    {
        return;
    }
    list_in_flight_ = true;
    next_list_ = now + settings_.list_interval;
    ++counts_.lists;
    call(now,
         call_kind::list,
         ports::store_list{members_prefix(self().role)},
         out);
}

void member::update_phase_from_proof(common::time_point now,
                                     ports::actions& out)
{
    if (proof_age(now) >= settings_.proof_lifetime)
    {
        lifecycle_.proved(proof_source::none, out);
    }
    else
    {
        lifecycle_.proved(proof_.newest_is_from_store()
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
    auto const place = calls_.find(reply.id.number);
    if (place == calls_.end())
    {
        return;
    }
    pending_call const answered = std::move(place->second);
    calls_.erase(place);
    switch (answered.kind)
    {
    case call_kind::own:
        on_own_reply(now, reply, out);
        break;
    case call_kind::list:
        on_list_reply(now, answered.sent, reply, out);
        break;
    case call_kind::fencing:
        fencing_.on_write_reply(now, answered.subject);
        next_list_ = now; // Shows what became of it.
        break;
    }
    drive(now, out);
}

void member::on_own_reply(common::time_point now,
                          ports::store_reply const& reply,
                          ports::actions& out)
{
    auto const news = own_.on_reply(now, reply);
    if (!news.fenced_reason.empty())
    {
        bool const took_part = lifecycle_.takes_part();
        lifecycle_.fenced(news.fenced_reason, out);
        if (took_part)
        {
            out.emplace_back(ports::rejoin{news.fenced_reason});
        }
        return;
    }
    if (news.accepted_sent)
    {
        lifecycle_.joined(out);
        proof_.store_accepted(now, *news.accepted_sent);
        roster_.note(now, own_.standing(), own_.version());
    }
    if (own_.removed())
    {
        lifecycle_.removed(out);
    }
}

void member::on_list_reply(common::time_point now,
                           common::time_point sent,
                           ports::store_reply const& reply,
                           ports::actions& out)
{
    list_in_flight_ = false;
    if (reply.status != ports::store_status::done)
    {
        return;
    }
    common::failure reason;
    bool const taken = roster_.apply(now, sent, reply, reason);
    if (reason.code != common::result_code::ok)
    {
        out.emplace_back(ports::log_event{
            ports::severity::error,
            "member_list_unreadable",
            {{"member", self().id.name}, {"why", common::to_string(reason)}}});
    }
    if (!taken)
    {
        return;
    }
    next_list_ =
        std::min(next_list_, fencing_.next_read_at(now, self().id, roster_));
    witness_.learn(now, roster_);
    wanted_witnesses_ =
        choose_witnesses(self().id, roster_.live(), settings_.witness_count);
    if (own_record_changed())
    {
        own_.look_again();
    }
}

// A list is no proof of anything about the own record, but a reason to look.
bool member::own_record_changed() const noexcept
{
    auto const* seen = roster_.find(self().id.name);
    if (seen == nullptr || !seen->readable)
    {
        return own_.joined() || own_.predecessor().has_value();
    }
    bool const own = seen->value.info.id == self().id;
    if (own_.joined())
    {
        return !own || seen->value.fenced || seen->value.successor != 0;
    }
    return own_.predecessor() && (own || seen->value.fenced ||
                                  seen->value.info.id != *own_.predecessor());
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
    own_.set_config_revision(revision);
}

void member::begin_leaving(common::time_point now, ports::actions& out)
{
    detect_pause(now, out);
    own_.set_leaving();
    own_.hurry(now);
    drive(now, out);
}

void member::remove(common::time_point now, ports::actions& out)
{
    detect_pause(now, out);
    if (!lifecycle_.takes_part())
    {
        return;
    }
    lifecycle_.removing(out);
    own_.remove();
    if (own_.removed())
    {
        lifecycle_.removed(out);
    }
    drive(now, out);
}

bool member::is_removed() const noexcept
{
    return lifecycle_.current_phase() == member_phase::removed;
}

// Asked between a wake-up and the next tick, the gap is not noticed yet.
bool member::may_act(common::time_point now) const noexcept
{
    return lifecycle_.takes_part() && last_seen_ &&
           now - *last_seen_ <= settings_.pause_limit &&
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
    return own_.info();
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
    auto const place =
        std::lower_bound(live.begin(),
                         live.end(),
                         name,
                         [](member_info const& info, std::string_view wanted)
                         {
                             return info.id.name < wanted;
                         });
    return place != live.end() && place->id.name == name ? &*place : nullptr;
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
    return roster_.known();
}

member_counts const& member::counts() const noexcept
{
    return counts_;
}

void member::call(common::time_point now,
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
