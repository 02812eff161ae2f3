#include "core/requests/entry_engine.hpp"

#include <algorithm>
#include <utility>

// The way of one request: from the door over its key and its customer's slice;
// from there entry_slots.cpp takes it to an upstream.
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
    open_request fresh;
    fresh.caller = caller;
    fresh.received = now;
    fresh.request = std::move(request);
    if (fresh.request.deadline <= common::duration::zero())
    {
        bool const batch = fresh.request.kind == ports::request_class::batch;
        fresh.request.deadline =
            batch ? limits->batch_latency_target : limits->latency_target;
    }
    fresh.expires = now + fresh.request.deadline;
    set_key_and_idempotency(fresh, limits);
    auto& one = add_request(std::move(fresh));
    by_caller_.emplace(caller, one.id);
    admit(now, one, out);
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
    auto& one = requests_.at(found->second);
    if (one.stage == request_stage::queued ||
        one.stage == request_stage::awaiting_slice ||
        one.stage == request_stage::awaiting_owner)
    {
        refuse(now, one, result_code::deadline_passed, out);
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
    open_request& one, contracts::contract const* limits) const
{
    auto const& request = one.request;
    one.idempotent =
        limits == nullptr
            ? request.method != "POST"
            : contracts::is_idempotent(*limits, request.method, request.target);
    one.has_key = !one.idempotent && !request.idempotency_key.empty();
    if (one.has_key)
    {
        one.key = customer_key(request.customer, request.idempotency_key);
        one.partition = common::partition_of(one.key);
        one.fingerprint = fingerprint_of(request);
    }
}

bool entry_engine::is_first_sending_confirmed(
    open_request const& one) const noexcept
{
    if (!one.is_local())
    {
        return one.first_sending_confirmed;
    }
    // A pause shorter than the limit is not noticed, so it counts as delay.
    auto const began =
        std::max(owners_.owner_of(one.partition).learned_at, resumed_at_);
    auto const late =
        settings_.max_delivery_time + settings_.membership.pause_limit;
    return one.request.attempt == 1 && one.received - began >= late;
}

contracts::contract const*
entry_engine::contract_of(std::string const& customer) const
{
    auto const& contracts = follower_.current().contracts;
    auto const found = contracts.find(customer);
    return found == contracts.end() ? nullptr : &found->second;
}

void entry_engine::admit(common::time_point now,
                         open_request& one,
                         ports::actions& out)
{
    bool const own_key = one.has_key && owns(now, one.partition);
    if (own_key && resolve_remembered_key(now, one, out))
    {
        return;
    }
    take_from_slice(now, one, out);
}

// True where the key's memory answers, or has the request wait for another
// sending's answer.
bool entry_engine::resolve_remembered_key(common::time_point now,
                                          open_request& one,
                                          ports::actions& out)
{
    auto const found = keys_.look_up(now,
                                     one.partition,
                                     one.key,
                                     one.fingerprint,
                                     is_first_sending_confirmed(one));
    switch (found.verdict)
    {
    case key_verdict::first_run:
        return false;
    case key_verdict::ended:
    {
        ++counts_.replayed_keys;
        ports::caller_answer const answer = *found.answer;
        finish(now, one.id, answer, out);
        return true;
    }
    case key_verdict::running:
        if (keys_.add_waiter(one.key, one.id))
        {
            ++counts_.joined_keys;
            one.stage = request_stage::awaiting_same_key;
            set_timer(one, one.expires);
            return true;
        }
        refuse(now, one, result_code::queue_full, out);
        return true;
    case key_verdict::mismatch:
        refuse(now, one, result_code::bad_header, out);
        return true;
    case key_verdict::history_incomplete:
        refuse(now, one, result_code::key_memory_lost, out);
        return true;
    case key_verdict::memory_full:
        refuse(now, one, result_code::queue_full, out);
        return true;
    }
    return true;
}

void entry_engine::take_from_slice(common::time_point now,
                                   open_request& one,
                                   ports::actions& out)
{
    auto const* limits = contract_of(one.request.customer);
    if (limits == nullptr)
    {
        refuse(now, one, result_code::contract_withdrawn, out);
        return;
    }
    auto& customer = customer_of(one.request.customer);
    auto const verdict =
        customer.awaiting_slice.empty()
            ? customer.slice.admit(now, one.request.kind, *limits)
            : contracts::slice_verdict::no_slice;
    if (verdict == contracts::slice_verdict::admitted)
    {
        one.counted_in_slice = true;
        route(now, one, out);
        return;
    }
    customer.slice.count_unmet_demand();
    // Waiting is of use only where the customer's owner may lend more.
    if (auto const code = slice_refusal(now, customer, verdict))
    {
        refuse(now, one, *code, out);
        return;
    }
    one.stage = request_stage::awaiting_slice;
    customer.awaiting_slice.push_back(one.id);
    set_timer(one, std::min(one.expires, now + settings_.slice_timeout));
    request_slice(now, one.request.customer, out);
}

void entry_engine::route(common::time_point now,
                         open_request& one,
                         ports::actions& out)
{
    if (!one.has_key)
    {
        dispatch(now, one, out);
        return;
    }
    if (owners_.owner_of(one.partition).member != members_.self().id)
    {
        forward_to_owner(now, one, out);
        return;
    }
    if (!owns(now, one.partition))
    {
        await_owner(now, one, out);
        return;
    }
    if (resolve_remembered_key(now, one, out))
    {
        return;
    }
    if (key_is_frozen(one.partition))
    {
        await_owner(now, one, out);
        return;
    }
    keys_.begin(one.partition, one.key, one.fingerprint);
    one.key_begun = true;
    dispatch(now, one, out);
}

// The key's partition is on its way to another owner: waits a moment for that.
// A request that was forwarded here goes back to where it came from instead.
void entry_engine::await_owner(common::time_point now,
                               open_request& one,
                               ports::actions& out)
{
    if (!one.await_owner_until)
    {
        one.await_owner_until =
            std::min(one.expires, now + settings_.owner_change_timeout);
    }
    auto& waiting = awaiting_owner_[one.partition];
    bool const in_vain = !one.is_local() || now >= *one.await_owner_until ||
                         waiting.size() >= settings_.max_awaiting_owner;
    if (in_vain)
    {
        refuse(now, one, result_code::owner_unreachable, out);
        return;
    }
    one.stage = request_stage::awaiting_owner;
    waiting.push_back(one.id);
    set_timer(one, one.await_owner_until);
}

void entry_engine::route_awaiting_owner(common::time_point now,
                                        std::uint32_t partition,
                                        ports::actions& out)
{
    auto const waiting = std::exchange(awaiting_owner_[partition], {});
    for (std::uint64_t const id : waiting)
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
        auto const [when, id] = *timers_.begin();
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
                            open_request& one,
                            ports::actions& out)
{
    bool const expired = one.expires <= now;
    switch (one.stage)
    {
    case request_stage::arrived:
    case request_stage::awaiting_slice:
        refuse(now,
               one,
               expired ? result_code::deadline_passed
                       : result_code::over_contract_in_flight,
               out);
        break;
    case request_stage::awaiting_owner:
        refuse(now,
               one,
               expired ? result_code::deadline_passed
                       : result_code::owner_unreachable,
               out);
        break;
    case request_stage::queued:
        refuse(now, one, result_code::deadline_passed, out);
        break;
    case request_stage::awaiting_same_key:
        refuse(now, one, result_code::deadline_after_send, out);
        break;
    case request_stage::at_upstream:
        // Its slot stays taken until its end is known. A peer that forwarded
        // it watches the deadline itself and needs to know the end.
        slots_.on_caller_timeout(now, one.attempt_id);
        if (one.is_local())
        {
            send_answer(
                one,
                make_refusal_answer(result_code::deadline_after_send, true),
                out);
        }
        break;
    case request_stage::at_peer:
        if (one.answered)
        {
            erase(one.id);
            break;
        }
        send_answer(one,
                    make_refusal_answer(result_code::deadline_after_send, true),
                    out);
        set_timer(
            one,
            std::max(now,
                     one.attempt_sent_at + settings_.upstreams.max_execution));
        break;
    case request_stage::awaiting_unseen_end:
        erase(one.id);
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
    auto& one = found->second;
    if (one.stage == request_stage::awaiting_slice ||
        one.stage == request_stage::awaiting_owner)
    {
        refuse(now, one, result_code::no_proof, out);
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
    for (auto const& [partition, waiting] : std::exchange(awaiting_owner_, {}))
    {
        for (std::uint64_t const id : waiting)
        {
            refuse_if_waiting(now, id, out);
        }
    }
}

} // namespace fuchsia::core::requests
