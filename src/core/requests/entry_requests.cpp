#include "core/requests/entry_engine.hpp"

#include <algorithm>
#include <utility>

// Admission and routing of requests: arrival checks, key lookup, the customer's
// slice and the choice of the entry. entry_slots.cpp then sends them to
// upstreams.
namespace fuchsia::core::requests
{

void entry_engine::on_caller_request(common::time_point now,
                                     std::uint64_t caller,
                                     ports::caller_request request,
                                     ports::actions& out)
{
    detect_pause(now, out);
    if (by_caller_.contains(caller))
    {
        return;
    }
    if (auto const code = arrival_refusal(now, request))
    {
        out.emplace_back(ports::caller_reply{
            caller,
            make_refusal_answer(*code, has_no_earlier_sending(request))});
        return;
    }
    auto const* limits = contract_of(request.customer);
    open_request new_request;
    new_request.caller = caller;
    new_request.received = now;
    new_request.request = std::move(request);
    if (new_request.request.deadline <= common::duration::zero())
    {
        bool const batch =
            new_request.request.kind == ports::request_class::batch;
        new_request.request.deadline =
            batch ? limits->batch_latency_target : limits->latency_target;
    }
    new_request.expires = now + new_request.request.deadline;
    set_key_and_idempotency(new_request, limits);
    auto& req = add_request(std::move(new_request));
    by_caller_.emplace(caller, req.id);
    admit(now, req, out);
    process_waiting_work(now, out);
}

void entry_engine::on_caller_disconnected(common::time_point now,
                                          std::uint64_t caller,
                                          ports::actions& out)
{
    detect_pause(now, out);
    auto const found = by_caller_.find(caller);
    if (found == by_caller_.end())
    {
        return;
    }
    auto& req = requests_.at(found->second);
    if (req.stage == request_stage::queued ||
        req.stage == request_stage::awaiting_slice ||
        req.stage == request_stage::awaiting_owner)
    {
        refuse(now, req, result_code::deadline_passed, out);
    }
    process_waiting_work(now, out);
}

std::optional<common::result_code>
entry_engine::arrival_refusal(common::time_point now,
                              ports::caller_request const& request) const
{
    bool const serving = lifecycle_.phase() == entry_phase::serving ||
                         lifecycle_.phase() == entry_phase::stop_announced;
    if (!serving && lifecycle_.phase() != entry_phase::joining)
    {
        return result_code::draining;
    }
    if (!may_send(now) || !serving)
    {
        return result_code::no_proof;
    }
    if (requests_.size() >= settings_.max_open_requests ||
        open_bytes_ + request.body.size() > settings_.max_open_bytes)
    {
        return result_code::queue_full;
    }
    if (contract_of(request.customer) == nullptr)
    {
        bool const withdrawn =
            follower_.current().withdrawn.contains(request.customer);
        return withdrawn ? result_code::contract_withdrawn
                         : result_code::unknown_customer;
    }
    return std::nullopt;
}

open_request& entry_engine::add_request(open_request request)
{
    request.id = next_id_++;
    open_bytes_ += request.request.body.size();
    ++unanswered_;
    std::uint64_t const id = request.id;
    return requests_.emplace(id, std::move(request)).first->second;
}

void entry_engine::set_key_and_idempotency(
    open_request& req, contracts::contract const* limits) const
{
    auto const& request = req.request;
    req.idempotent =
        limits == nullptr
            ? request.method != "POST"
            : contracts::is_idempotent(*limits, request.method, request.target);
    req.has_key = !req.idempotent && !request.idempotency_key.empty();
    if (req.has_key)
    {
        req.key = customer_key(request.customer, request.idempotency_key);
        req.partition = common::partition_of(req.key);
        req.fingerprint = fingerprint_of(request);
    }
}

bool entry_engine::is_first_sending_confirmed(
    open_request const& req) const noexcept
{
    if (!req.is_local())
    {
        return req.first_sending_confirmed;
    }
    // A pause shorter than the limit is not detected, so the limit is added to
    // the delivery time.
    auto const window_start =
        std::max(owners_.owner_of(req.partition).learned_at, resumed_at_);
    auto const max_delay =
        settings_.max_delivery_time + settings_.membership.pause_limit;
    return req.request.attempt == 1 && req.received - window_start >= max_delay;
}

contracts::contract const*
entry_engine::contract_of(std::string const& customer) const
{
    auto const& contracts = follower_.current().contracts;
    auto const found = contracts.find(customer);
    return found == contracts.end() ? nullptr : &found->second;
}

void entry_engine::admit(common::time_point now,
                         open_request& req,
                         ports::actions& out)
{
    bool const is_owner = req.has_key && owns(now, req.partition);
    if (is_owner && resolve_remembered_key(now, req, out))
    {
        return;
    }
    take_from_slice(now, req, out);
}

// Returns true if the key memory decides on the request: it is answered, or it
// waits for the answer to another sending of its key.
bool entry_engine::resolve_remembered_key(common::time_point now,
                                          open_request& req,
                                          ports::actions& out)
{
    auto const found = keys_.look_up(now,
                                     req.partition,
                                     req.key,
                                     req.fingerprint,
                                     is_first_sending_confirmed(req));
    switch (found.verdict)
    {
    case key_verdict::first_run:
        return false;
    case key_verdict::ended:
    {
        ++counts_.replayed_keys;
        ports::caller_answer const answer = *found.answer;
        finish(now, req.id, answer, out);
        return true;
    }
    case key_verdict::running:
        if (keys_.add_waiter(req.key, req.id))
        {
            ++counts_.joined_keys;
            req.stage = request_stage::awaiting_same_key;
            set_timer(req, req.expires);
            return true;
        }
        refuse(now, req, result_code::queue_full, out);
        return true;
    case key_verdict::mismatch:
        refuse(now, req, result_code::bad_header, out);
        return true;
    case key_verdict::history_incomplete:
        refuse(now, req, result_code::key_memory_lost, out);
        return true;
    case key_verdict::memory_full:
        refuse(now, req, result_code::queue_full, out);
        return true;
    }
    return true;
}

void entry_engine::take_from_slice(common::time_point now,
                                   open_request& req,
                                   ports::actions& out)
{
    auto const* limits = contract_of(req.request.customer);
    if (limits == nullptr)
    {
        refuse(now, req, result_code::contract_withdrawn, out);
        return;
    }
    auto& customer = customer_of(req.request.customer);
    auto const verdict =
        customer.awaiting_slice.empty()
            ? customer.slice.admit(now, req.request.kind, *limits)
            : contracts::slice_verdict::no_slice;
    if (verdict == contracts::slice_verdict::admitted)
    {
        req.counted_in_slice = true;
        route(now, req, out);
        return;
    }
    customer.slice.count_unmet_demand();
    // Waiting helps only if the owner of the customer's partition may grant a
    // larger slice.
    if (auto const code = slice_refusal(now, customer, verdict))
    {
        refuse(now, req, *code, out);
        return;
    }
    req.stage = request_stage::awaiting_slice;
    customer.awaiting_slice.push_back(req.id);
    set_timer(req, std::min(req.expires, now + settings_.slice_timeout));
    request_slice(now, req.request.customer, out);
}

void entry_engine::route(common::time_point now,
                         open_request& req,
                         ports::actions& out)
{
    if (!req.has_key)
    {
        dispatch(now, req, out);
        return;
    }
    if (owners_.owner_of(req.partition).member != members_.self().id)
    {
        forward_to_owner(now, req, out);
        return;
    }
    if (!owns(now, req.partition))
    {
        await_owner(now, req, out);
        return;
    }
    if (resolve_remembered_key(now, req, out))
    {
        return;
    }
    if (key_is_frozen(req.partition))
    {
        await_owner(now, req, out);
        return;
    }
    keys_.begin(req.partition, req.key, req.fingerprint);
    req.key_begun = true;
    dispatch(now, req, out);
}

// Lets a request wait while its partition changes its owner. A request that a
// peer forwarded is refused instead, and that peer waits for the new owner.
void entry_engine::await_owner(common::time_point now,
                               open_request& req,
                               ports::actions& out)
{
    if (!req.await_owner_until)
    {
        req.await_owner_until =
            std::min(req.expires, now + settings_.owner_change_timeout);
    }
    auto& waiting_ids = awaiting_owner_[req.partition];
    bool const must_refuse = !req.is_local() || now >= *req.await_owner_until ||
                             waiting_ids.size() >= settings_.max_awaiting_owner;
    if (must_refuse)
    {
        refuse(now, req, result_code::owner_unreachable, out);
        return;
    }
    req.stage = request_stage::awaiting_owner;
    waiting_ids.push_back(req.id);
    set_timer(req, req.await_owner_until);
}

void entry_engine::route_awaiting_owner(common::time_point now,
                                        std::uint32_t partition,
                                        ports::actions& out)
{
    auto const waiting_ids = std::exchange(awaiting_owner_[partition], {});
    for (std::uint64_t const id : waiting_ids)
    {
        auto const found = requests_.find(id);
        if (found != requests_.end() &&
            found->second.stage == request_stage::awaiting_owner)
        {
            found->second.stage = request_stage::arrived;
            set_timer(found->second, std::nullopt);
            route(now, found->second, out);
        }
    }
}

void entry_engine::fire_timers(common::time_point now, ports::actions& out)
{
    while (!timers_.empty() && timers_.begin()->first <= now)
    {
        auto const [due, id] = *timers_.begin();
        timers_.erase(timers_.begin());
        auto const found = requests_.find(id);
        if (found != requests_.end())
        {
            found->second.timer_due.reset();
            on_timer(now, found->second, out);
        }
    }
}

void entry_engine::on_timer(common::time_point now,
                            open_request& req,
                            ports::actions& out)
{
    bool const expired = req.expires <= now;
    switch (req.stage)
    {
    case request_stage::arrived:
    case request_stage::awaiting_slice:
        refuse(now,
               req,
               expired ? result_code::deadline_passed
                       : result_code::over_contract_in_flight,
               out);
        break;
    case request_stage::awaiting_owner:
        refuse(now,
               req,
               expired ? result_code::deadline_passed
                       : result_code::owner_unreachable,
               out);
        break;
    case request_stage::queued:
        refuse(now, req, result_code::deadline_passed, out);
        break;
    case request_stage::awaiting_same_key:
        refuse(now, req, result_code::deadline_after_send, out);
        break;
    case request_stage::at_upstream:
        // The slot stays taken until the end of the exchange is known. A peer
        // that forwarded the request checks the deadline itself and waits for
        // the final result.
        slots_.on_caller_timeout(now, req.attempt_id);
        if (req.is_local())
        {
            send_answer(
                req,
                make_refusal_answer(result_code::deadline_after_send, true),
                out);
        }
        break;
    case request_stage::at_peer:
        if (req.answered)
        {
            erase(req.id);
            break;
        }
        send_answer(req,
                    make_refusal_answer(result_code::deadline_after_send, true),
                    out);
        set_timer(
            req,
            std::max(now,
                     req.attempt_sent_at + settings_.upstreams.max_execution));
        break;
    case request_stage::awaiting_unseen_end:
        erase(req.id);
        break;
    }
}

void entry_engine::refuse_if_waiting(common::time_point now,
                                     std::uint64_t id,
                                     ports::actions& out)
{
    auto const found = requests_.find(id);
    if (found == requests_.end())
    {
        return;
    }
    auto& req = found->second;
    if (req.stage == request_stage::awaiting_slice ||
        req.stage == request_stage::awaiting_owner)
    {
        refuse(now, req, result_code::no_proof, out);
    }
}

void entry_engine::refuse_all_waiting(common::time_point now,
                                      ports::actions& out)
{
    while (auto const id = queue_.pop())
    {
        auto const found = requests_.find(*id);
        if (found != requests_.end())
        {
            found->second.stage = request_stage::arrived;
            refuse(now, found->second, result_code::no_proof, out);
        }
    }
    for (auto& [name, customer] : customers_)
    {
        for (std::uint64_t const id :
             std::exchange(customer.awaiting_slice, {}))
        {
            refuse_if_waiting(now, id, out);
        }
    }
    for (auto const& [partition, waiting_ids] :
         std::exchange(awaiting_owner_, {}))
    {
        for (std::uint64_t const id : waiting_ids)
        {
            refuse_if_waiting(now, id, out);
        }
    }
}

} // namespace fuchsia::core::requests
