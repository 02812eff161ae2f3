#include "core/requests/entry_engine.hpp"

#include <algorithm>
#include <utility>

// What goes between entries: forwarded requests and their answers, free slots
// and configuration revisions.
namespace fuchsia::core::requests
{

namespace
{

template<class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

void entry_engine::on_peer(common::time_point now,
                           ports::peer_receive const& message,
                           ports::actions& out)
{
    detect_pause(now, out);
    if (retired_)
    {
        return;
    }
    auto const& from = message.from;
    if (is_live(from))
    {
        last_received_[from] = now;
    }
    auto const to_members = [&]
    {
        members_.on_peer(now, message, out);
        sync_platform_state(now, out);
    };
    auto const to_follower = [&]
    {
        auto const* info = members_.find(from);
        if (info != nullptr)
        {
            follower_.on_peer(now, message, info->peer_address, out);
            sync_platform_state(now, out);
        }
    };
    std::visit(
        overloaded{
            [&](ports::promise_request const& request)
            {
                on_peer_revision(now, request.config_revision, from, out);
                to_members();
            },
            [&](ports::promise_reply const& reply)
            {
                on_peer_revision(now, reply.config_revision, from, out);
                to_members();
            },
            [&](ports::consent_request const&)
            {
                to_members();
            },
            [&](ports::consent_reply const&)
            {
                to_members();
            },
            [&](ports::config_offer const&)
            {
                to_follower();
            },
            [&](ports::config_request const&)
            {
                to_follower();
            },
            [&](ports::load_report const& report)
            {
                if (is_live(from))
                {
                    peer_loads_.on_report(now, from, report);
                }
            },
            [&](ports::forwarded_request const& request)
            {
                on_forwarded(now, from, request, out);
            },
            [&](ports::forwarded_answer const& answer)
            {
                on_forwarded_answer(now, from, answer, out);
            },
            [&](ports::slice_request const& request)
            {
                auto const grant = grant_slice(now, from, request);
                if (grant)
                {
                    send_peer(from, *grant, out);
                }
            },
            [&](ports::slice_grant const& grant)
            {
                on_slice_grant(now, from, grant, out);
            },
            [&](ports::key_handover const& handover)
            {
                on_key_handover(now, from, handover, out);
            },
            [&](ports::key_handover_ack const& ack)
            {
                on_handover_ack(now, from, ack, out);
            },
        },
        message.message);
    process_waiting_work(now, out);
}

void entry_engine::forward_to_owner(common::time_point now,
                                    open_request& one,
                                    ports::actions& out)
{
    if (!may_send(now))
    {
        refuse(now, one, result_code::no_proof, out);
        return;
    }
    if (one.expires - now <= settings_.hop_margin)
    {
        refuse(now, one, result_code::deadline_passed, out);
        return;
    }
    auto const owner = owners_.owner_of(one.partition).member;
    if (!is_live(owner))
    {
        await_owner(now, one, out);
        return;
    }
    // A dead owner is buried some seconds after its death. What is forwarded
    // to it until then ends as unknown at the deadline; not sent, it ends as
    // not run at once.
    if (is_peer_silent(now, owner) ||
        !send_to_peer(now, one, owner, false, out))
    {
        refuse(now, one, result_code::owner_unreachable, out);
        return;
    }
    ++counts_.forwarded;
}

// One hop at most: only requests of our own callers, and each only once.
bool entry_engine::spill(common::time_point now,
                         open_request& one,
                         ports::actions& out)
{
    if (one.received_as_spill || one.spilled)
    {
        return false;
    }
    auto const peer = peer_loads_.take_most_free(now);
    if (!peer || !send_to_peer(now, one, *peer, true, out))
    {
        return false;
    }
    one.spilled = true;
    ++counts_.spilled;
    return true;
}

bool entry_engine::send_to_peer(common::time_point now,
                                open_request& one,
                                ports::member_identity const& to,
                                bool is_spill,
                                ports::actions& out)
{
    auto const left = one.expires - now - settings_.hop_margin;
    if (left <= common::duration::zero() || !is_live(to))
    {
        return false;
    }
    ports::forwarded_request message;
    message.id = next_id_++;
    message.spill = is_spill;
    message.request = one.request;
    message.request.deadline = left;
    if (!is_spill)
    {
        message.epoch = is_first_sending_confirmed(one)
                            ? owners_.owner_of(one.partition).epoch
                            : 0;
    }
    one.stage = request_stage::at_peer;
    one.attempt_id = message.id;
    one.peer = to;
    one.attempt_sent_at = now;
    by_attempt_.emplace(message.id, one.id);
    set_timer(one, one.expires);
    send_peer(to, std::move(message), out);
    return true;
}

void entry_engine::on_forwarded(common::time_point now,
                                ports::member_identity const& from,
                                ports::forwarded_request const& message,
                                ports::actions& out)
{
    if (!is_live(from) || !replays_.is_new(from, message.id))
    {
        return;
    }
    last_work_at_ = now;
    auto const refuse_now = [&](result_code code)
    {
        answer_peer(
            from,
            message.id,
            make_refusal_answer(code, has_no_earlier_sending(message.request)),
            out);
    };
    if (!may_send(now))
    {
        refuse_now(result_code::no_proof);
        return;
    }
    if (requests_.size() >= settings_.max_open_requests ||
        open_bytes_ + message.request.body.size() > settings_.max_open_bytes)
    {
        refuse_now(result_code::queue_full);
        return;
    }
    open_request fresh;
    fresh.forwarded_by = from;
    fresh.forwarded_id = message.id;
    fresh.received_as_spill = message.spill;
    fresh.request = message.request;
    fresh.received = now;
    fresh.expires = now + message.request.deadline;
    set_key_and_idempotency(fresh, contract_of(message.request.customer));
    // A spilled key was looked up by its owner, who sent it here.
    fresh.has_key = fresh.has_key && !message.spill;
    auto const& known = owners_.owner_of(fresh.partition);
    fresh.first_sending_confirmed = message.request.attempt == 1 &&
                                    message.epoch == known.epoch &&
                                    known.member == members_.self().id;
    auto& one = add_request(std::move(fresh));
    if (!message.spill)
    {
        // Only the owner may run it; it is never forwarded again.
        bool const ours = one.has_key && owns(now, one.partition);
        if (ours)
        {
            route(now, one, out);
        }
        else
        {
            refuse(now, one, result_code::owner_unreachable, out);
        }
        return;
    }
    bool const stopping = lifecycle_.phase() != entry_phase::serving;
    if (stopping || queue_.size() > 0 || !send_upstream(now, one, out))
    {
        refuse(now, one, result_code::no_free_slot, out);
    }
}

namespace
{

// Whether this sending may be running at the peer's upstream. "Unknown" alone
// does not say so: of a key that the peer's memory does not hold, or of a retry
// that it refuses, an earlier sending may have run, and this one has not.
// Charged as running, 30 such answers a second use up a contract of 900
// requests.
bool may_still_run(ports::caller_answer const& answer) noexcept
{
    using enum common::result_code;
    switch (answer.code)
    {
    case upstream_lost:
    case upstream_partial:
    case deadline_after_send:
    case owner_lost:
    case answer_too_large:
        return true;
    default:
        return false;
    }
}

} // namespace

void entry_engine::on_forwarded_answer(common::time_point now,
                                       ports::member_identity const& from,
                                       ports::forwarded_answer const& message,
                                       ports::actions& out)
{
    auto* one = find_attempt(message.id);
    if (one == nullptr || one->stage != request_stage::at_peer ||
        one->peer != from)
    {
        return;
    }
    by_attempt_.erase(message.id);
    peer_loads_.on_report(now, from, {message.free_slots, message.queued});
    bool const not_run = message.answer.outcome == common::outcome::not_run;
    bool const handed_over =
        message.answer.code == result_code::owner_unreachable;
    if (not_run && handed_over && one->has_key && !one->spilled &&
        !one->answered && now < one->expires)
    {
        one->stage = request_stage::arrived;
        await_owner(now, *one, out);
        return;
    }
    if (not_run && one->spilled && !one->answered && now < one->expires)
    {
        one->stage = request_stage::arrived;
        set_timer(*one, std::nullopt);
        dispatch(now, *one, out);
        return;
    }
    if (may_still_run(message.answer))
    {
        // It may run on there; the charge stays as long.
        send_answer(*one, message.answer, out);
        record_key_outcome(now, *one, message.answer, out);
        keep_until_ended(
            *one, one->attempt_sent_at + settings_.upstreams.max_execution);
        return;
    }
    finish(now, one->id, message.answer, out);
}

void entry_engine::answer_peer(ports::member_identity const& to,
                               std::uint64_t id,
                               ports::caller_answer answer,
                               ports::actions& out) const
{
    auto const load = own_load();
    send_peer(to,
              ports::forwarded_answer{
                  id, std::move(answer), load.free_slots, load.queued},
              out);
}

// The peer was buried or has left: its answers will not come any more.
void entry_engine::on_peer_lost(common::time_point now, ports::actions& out)
{
    std::vector<std::uint64_t> lost;
    for (auto const& [id, one] : requests_)
    {
        if (one.stage == request_stage::at_peer && !is_live(one.peer))
        {
            lost.push_back(id);
        }
    }
    for (std::uint64_t const id : lost)
    {
        auto const found = requests_.find(id);
        if (found == requests_.end())
        {
            continue;
        }
        auto& one = found->second;
        by_attempt_.erase(one.attempt_id);
        one.may_have_run = true;
        if (!one.idempotent || !retry(now, one, out))
        {
            finish_with_unknown_outcome(now, id, result_code::owner_lost, out);
        }
    }
}

void entry_engine::on_peer_revision(common::time_point now,
                                    std::uint64_t revision,
                                    ports::member_identity const& from,
                                    ports::actions& out)
{
    auto const* info = members_.find(from);
    if (info == nullptr || revision <= follower_.current().revision)
    {
        return;
    }
    if (revision > newest_reported_revision_)
    {
        newest_reported_revision_ = revision;
    }
    if (!behind_since_)
    {
        behind_since_ = now;
    }
    follower_.on_peer_revision(now, revision, from, info->peer_address, out);
}

void entry_engine::send_loads(common::time_point now, ports::actions& out)
{
    if (now < next_load_report_at_ || !may_send(now))
    {
        return;
    }
    next_load_report_at_ = now + settings_.load_interval;
    auto const report = own_load();
    auto const& live = members_.live();
    auto const count = std::min(live.size(), settings_.load_fanout);
    // The next few in turn, so that every peer hears of every other.
    for (std::size_t turn = 0; turn < count; ++turn)
    {
        auto const& info = live[next_load_peer_++ % live.size()];
        if (info.id != members_.self().id)
        {
            send_peer(info.id, report, out);
        }
    }
}

ports::load_report entry_engine::own_load() const noexcept
{
    bool const welcome = lifecycle_.phase() == entry_phase::serving;
    return {welcome ? slots_.free_slots() : 0,
            static_cast<std::uint32_t>(queue_.size())};
}

void entry_engine::send_peer(ports::member_identity const& to,
                             ports::peer_message message,
                             ports::actions& out) const
{
    auto const* info = members_.find(to);
    if (info != nullptr)
    {
        out.emplace_back(
            ports::peer_send{to, info->peer_address, std::move(message)});
    }
}

} // namespace fuchsia::core::requests
