#include "core/requests/entry_engine.hpp"

#include <algorithm>
#include <utility>

// Sends and handles messages between entries: forwarded requests and their
// answers, load reports and configuration revisions. Dispatches the others.
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
    auto const pass_to_members = [&]
    {
        members_.on_peer(now, message, out);
        sync_platform_state(now, out);
    };
    auto const pass_to_follower = [&]
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
                pass_to_members();
            },
            [&](ports::promise_reply const& reply)
            {
                on_peer_revision(now, reply.config_revision, from, out);
                pass_to_members();
            },
            [&](ports::consent_request const&)
            {
                pass_to_members();
            },
            [&](ports::consent_reply const&)
            {
                pass_to_members();
            },
            [&](ports::config_offer const&)
            {
                pass_to_follower();
            },
            [&](ports::config_request const&)
            {
                pass_to_follower();
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
                                    open_request& req,
                                    ports::actions& out)
{
    if (!may_send(now))
    {
        refuse(now, req, result_code::no_proof, out);
        return;
    }
    if (req.expires - now <= settings_.hop_margin)
    {
        refuse(now, req, result_code::deadline_passed, out);
        return;
    }
    auto const owner = owners_.owner_of(req.partition).member;
    if (!is_live(owner))
    {
        await_owner(now, req, out);
        return;
    }
    // A crashed owner is fenced some seconds after its crash. A request that is
    // forwarded to it in between ends as "unknown" at its deadline. A refusal
    // ends the request as "not run" at once.
    if (is_peer_silent(now, owner) ||
        !send_to_peer(now, req, owner, false, out))
    {
        refuse(now, req, result_code::owner_unreachable, out);
        return;
    }
    ++counts_.forwarded;
}

// Forwards a request to the peer that reported the most free slots. A request
// is spilled at most once: one that arrived as a spill, or was spilled before,
// is not spilled.
bool entry_engine::spill(common::time_point now,
                         open_request& req,
                         ports::actions& out)
{
    if (req.received_as_spill || req.spilled)
    {
        return false;
    }
    auto const peer = peer_loads_.take_most_free(now);
    if (!peer || !send_to_peer(now, req, *peer, true, out))
    {
        return false;
    }
    req.spilled = true;
    ++counts_.spilled;
    return true;
}

bool entry_engine::send_to_peer(common::time_point now,
                                open_request& req,
                                ports::member_identity const& target,
                                bool is_spill,
                                ports::actions& out)
{
    auto const remaining = req.expires - now - settings_.hop_margin;
    if (remaining <= common::duration::zero() || !is_live(target))
    {
        return false;
    }
    ports::forwarded_request message;
    message.id = next_id_++;
    message.spill = is_spill;
    message.request = req.request;
    message.request.deadline = remaining;
    if (!is_spill)
    {
        message.epoch = is_first_sending_confirmed(req)
                            ? owners_.owner_of(req.partition).epoch
                            : 0;
    }
    req.stage = request_stage::at_peer;
    req.attempt_id = message.id;
    req.peer = target;
    req.attempt_sent_at = now;
    by_attempt_.emplace(message.id, req.id);
    set_timer(req, req.expires);
    send_peer(target, std::move(message), out);
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
    open_request new_request;
    new_request.forwarded_by = from;
    new_request.forwarded_id = message.id;
    new_request.received_as_spill = message.spill;
    new_request.request = message.request;
    new_request.received = now;
    new_request.expires = now + message.request.deadline;
    set_key_and_idempotency(new_request, contract_of(message.request.customer));
    // A spilled request with a key comes from the owner of that key, which has
    // already looked up the key. It is handled here as a request without a key.
    new_request.has_key = new_request.has_key && !message.spill;
    auto const& owner_info = owners_.owner_of(new_request.partition);
    new_request.first_sending_confirmed =
        message.request.attempt == 1 && message.epoch == owner_info.epoch &&
        owner_info.member == members_.self().id;
    auto& req = add_request(std::move(new_request));
    if (!message.spill)
    {
        // Only the owner may run the request. A forwarded request is never
        // forwarded again.
        bool const is_owner = req.has_key && owns(now, req.partition);
        if (is_owner)
        {
            route(now, req, out);
        }
        else
        {
            refuse(now, req, result_code::owner_unreachable, out);
        }
        return;
    }
    bool const stopping = lifecycle_.phase() != entry_phase::serving;
    if (stopping || queue_.size() > 0 || !send_upstream(now, req, out))
    {
        refuse(now, req, result_code::no_free_slot, out);
    }
}

namespace
{

// Whether the sending that `answer` belongs to may still run on an upstream of
// the peer. The outcome "unknown" alone does not imply that it may: if the
// peer's key memory does not hold the key, or if the peer refuses a retry, an
// earlier sending may have run but this sending has not. If such answers
// counted as running requests, 30 of them per second would use up a contract of
// 900 requests.
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
    auto* req = find_attempt(message.id);
    if (req == nullptr || req->stage != request_stage::at_peer ||
        req->peer != from)
    {
        return;
    }
    by_attempt_.erase(message.id);
    peer_loads_.on_report(now, from, {message.free_slots, message.queued});
    bool const not_run = message.answer.outcome == common::outcome::not_run;
    bool const peer_is_not_owner =
        message.answer.code == result_code::owner_unreachable;
    if (not_run && peer_is_not_owner && req->has_key && !req->spilled &&
        !req->answered && now < req->expires)
    {
        req->stage = request_stage::arrived;
        await_owner(now, *req, out);
        return;
    }
    if (not_run && req->spilled && !req->answered && now < req->expires)
    {
        req->stage = request_stage::arrived;
        set_timer(*req, std::nullopt);
        dispatch(now, *req, out);
        return;
    }
    if (may_still_run(message.answer))
    {
        // The request may still run on the peer's upstream, and uses capacity
        // of the slice until the maximum execution time has passed.
        send_answer(*req, message.answer, out);
        record_key_outcome(now, *req, message.answer, out);
        keep_until_execution_ends(
            *req, req->attempt_sent_at + settings_.upstreams.max_execution);
        return;
    }
    finish(now, req->id, message.answer, out);
}

void entry_engine::answer_peer(ports::member_identity const& target,
                               std::uint64_t id,
                               ports::caller_answer answer,
                               ports::actions& out) const
{
    auto const load = own_load();
    send_peer(target,
              ports::forwarded_answer{
                  id, std::move(answer), load.free_slots, load.queued},
              out);
}

// Ends or retries the requests that were sent to peers which were fenced or
// have left, since these peers will not answer.
void entry_engine::on_peer_lost(common::time_point now, ports::actions& out)
{
    std::vector<std::uint64_t> lost_ids;
    for (auto const& [id, req] : requests_)
    {
        if (req.stage == request_stage::at_peer && !is_live(req.peer))
        {
            lost_ids.push_back(id);
        }
    }
    for (std::uint64_t const id : lost_ids)
    {
        auto const found = requests_.find(id);
        if (found == requests_.end())
        {
            continue;
        }
        auto& req = found->second;
        by_attempt_.erase(req.attempt_id);
        req.may_have_run = true;
        if (!req.idempotent || !retry(now, req, out))
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
    // Round robin over the members, so that each of them in turn gets the load
    // of this entry.
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
    bool const accepts_work = lifecycle_.phase() == entry_phase::serving;
    return {accepts_work ? slots_.free_slots() : 0,
            static_cast<std::uint32_t>(queue_.size())};
}

void entry_engine::send_peer(ports::member_identity const& target,
                             ports::peer_message message,
                             ports::actions& out) const
{
    auto const* info = members_.find(target);
    if (info != nullptr)
    {
        out.emplace_back(
            ports::peer_send{target, info->peer_address, std::move(message)});
    }
}

} // namespace fuchsia::core::requests
