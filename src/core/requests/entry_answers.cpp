#include "core/requests/entry_engine.hpp"
#include "core/requests/refusal.hpp"

#include <algorithm>

// How requests end: each caller gets one answer, each key one end, and each
// charge against a contract is taken back once the request runs nowhere.
namespace fuchsia::core::requests
{

using namespace std::chrono_literals;

void entry_engine::refuse(common::time_point now,
                          open_request& one,
                          result_code code,
                          ports::actions& out)
{
    finish(now,
           one.id,
           make_refusal_answer(code, has_no_earlier_run(now, one)),
           out);
}

// "Not run" is about the caller's request, which all sendings of its key are
// part of. True where no other sending of the key can have run: the owner asks
// its memory at the moment it refuses, since another sending may have run
// while this one waited; any other entry knows it only of a first sending.
bool entry_engine::has_no_earlier_run(common::time_point now,
                                      open_request const& one) const
{
    if (!one.has_key || one.key_begun)
    {
        return true;
    }
    if (!owns(now, one.partition))
    {
        return one.request.attempt == 1;
    }
    auto const verdict = keys_
                             .look_up(now,
                                      one.partition,
                                      one.key,
                                      one.fingerprint,
                                      is_first_sending_confirmed(one))
                             .verdict;
    return verdict == key_verdict::first_run ||
           verdict == key_verdict::memory_full ||
           verdict == key_verdict::mismatch;
}

// The same for a request that is refused unseen.
bool entry_engine::has_no_earlier_sending(
    ports::caller_request const& request) noexcept
{
    bool const keyed =
        request.method == "POST" && !request.idempotency_key.empty();
    return !keyed || request.attempt == 1;
}

ports::caller_answer entry_engine::make_refusal_answer(result_code code,
                                                       bool unheard)
{
    common::duration wait = default_retry_after(code);
    if (code == result_code::deadline_unreachable ||
        code == result_code::no_free_slot || code == result_code::queue_full)
    {
        wait = std::clamp<common::duration>(predicted_queue_wait(), 50ms, 5s);
    }
    auto answer = make_refusal(code, wait, random_);
    if (answer.outcome == common::outcome::not_run && !unheard)
    {
        answer.outcome = common::outcome::unknown;
    }
    return answer;
}

common::duration entry_engine::predicted_queue_wait() const noexcept
{
    return predicted_wait({queue_.size(),
                           queue_.size(),
                           slots_.usable_slots(),
                           slots_.service_time()});
}

void entry_engine::finish(common::time_point now,
                          std::uint64_t id,
                          ports::caller_answer const& answer,
                          ports::actions& out)
{
    auto& one = requests_.at(id);
    send_answer(one, answer, out);
    record_key_outcome(now, one, answer, out);
    erase(id);
}

// The outcome is unknown and it may still run: its charge stays until it can't.
void entry_engine::finish_with_unknown_outcome(common::time_point now,
                                               std::uint64_t id,
                                               result_code code,
                                               ports::actions& out)
{
    auto& one = requests_.at(id);
    auto const answer = make_refusal_answer(code, true);
    send_answer(one, answer, out);
    record_key_outcome(now, one, answer, out);
    auto const until = one.attempt_sent_at + settings_.upstreams.max_execution;
    if (one.counted_in_slice && one.stage != request_stage::awaiting_same_key &&
        until > now)
    {
        keep_until_ended(one, until);
    }
    else
    {
        erase(id);
    }
}

// A later try that was refused, here or by a peer, does not undo an earlier one
// whose answer was lost.
void entry_engine::send_answer(open_request& one,
                               ports::caller_answer answer,
                               ports::actions& out)
{
    if (one.answered)
    {
        return;
    }
    one.answered = true;
    --unanswered_;
    if (one.may_have_run && answer.outcome == common::outcome::not_run)
    {
        answer.outcome = common::outcome::unknown;
    }
    if (one.is_local())
    {
        by_caller_.erase(one.caller);
        out.emplace_back(ports::caller_reply{one.caller, std::move(answer)});
    }
    else
    {
        answer_peer(one.forwarded_by, one.forwarded_id, std::move(answer), out);
    }
}

// A key whose run was refused before anything was sent is fresh again; any
// other end is remembered, an unknown one too.
void entry_engine::record_key_outcome(common::time_point now,
                                      open_request& one,
                                      ports::caller_answer const& answer,
                                      ports::actions& out)
{
    if (!one.key_begun)
    {
        return;
    }
    one.key_begun = false;
    auto const waiters = answer.outcome == common::outcome::not_run
                             ? keys_.forget(one.key)
                             : keys_.finish(now, one.key, answer);
    for (std::uint64_t const waiter : waiters)
    {
        if (requests_.contains(waiter))
        {
            finish(now, waiter, answer, out);
        }
    }
}

void entry_engine::keep_until_ended(open_request& one, common::time_point until)
{
    by_attempt_.erase(one.attempt_id);
    open_bytes_ -= one.request.body.size();
    one.request.body.clear();
    one.request.headers.clear();
    one.stage = request_stage::awaiting_unseen_end;
    set_timer(one, until);
}

void entry_engine::erase(std::uint64_t id)
{
    auto const found = requests_.find(id);
    auto& one = found->second;
    if (one.stage == request_stage::queued)
    {
        queue_.erase(
            {one.id, one.request.customer, one.request.kind, one.expires});
    }
    auto const customer = customers_.find(one.request.customer);
    if (customer != customers_.end())
    {
        if (one.counted_in_slice)
        {
            customer->second.slice.on_request_end(one.request.kind);
        }
        if (!customer->second.awaiting_slice.empty())
        {
            customers_to_resume_.insert(one.request.customer);
        }
    }
    set_timer(one, std::nullopt);
    by_attempt_.erase(one.attempt_id);
    open_bytes_ -= one.request.body.size();
    requests_.erase(found);
}

void entry_engine::set_timer(open_request& one,
                             std::optional<common::time_point> when)
{
    if (one.timer_due)
    {
        timers_.erase({*one.timer_due, one.id});
    }
    one.timer_due = when;
    if (when)
    {
        timers_.insert({*when, one.id});
    }
}

open_request* entry_engine::find_attempt(std::uint64_t sending) noexcept
{
    auto const found = by_attempt_.find(sending);
    if (found == by_attempt_.end())
    {
        return nullptr;
    }
    auto const one = requests_.find(found->second);
    return one == requests_.end() ? nullptr : &one->second;
}

} // namespace fuchsia::core::requests
