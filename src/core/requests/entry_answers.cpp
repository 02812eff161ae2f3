#include "core/requests/entry_engine.hpp"
#include "core/requests/refusal.hpp"

#include <algorithm>

// Answers and the removal of requests. Each caller gets one answer and each key
// one outcome. A request uses capacity of its customer's slice until it no
// longer runs anywhere.
namespace fuchsia::core::requests
{

using namespace std::chrono_literals;

void entry_engine::refuse(common::time_point now,
                          open_request& req,
                          result_code code,
                          ports::actions& out)
{
    finish(now,
           req.id,
           make_refusal_answer(code, has_no_earlier_run(now, req)),
           out);
}

// Whether no other sending of the key can have run. "Not run" refers to the
// caller's request, which comprises all sendings of its key. The owner looks up
// its key memory at the time of the refusal, because another sending may have
// run while this one waited. Any other entry can be sure only of a first
// sending.
bool entry_engine::has_no_earlier_run(common::time_point now,
                                      open_request const& req) const
{
    if (!req.has_key || req.key_begun)
    {
        return true;
    }
    if (!owns(now, req.partition))
    {
        return req.request.attempt == 1;
    }
    auto const verdict = keys_
                             .look_up(now,
                                      req.partition,
                                      req.key,
                                      req.fingerprint,
                                      is_first_sending_confirmed(req))
                             .verdict;
    return verdict == key_verdict::first_run ||
           verdict == key_verdict::memory_full ||
           verdict == key_verdict::mismatch;
}

// Whether no sending of the key can have run before a request that is refused
// without a key lookup.
bool entry_engine::has_no_earlier_sending(
    ports::caller_request const& request) noexcept
{
    bool const has_key =
        request.method == "POST" && !request.idempotency_key.empty();
    return !has_key || request.attempt == 1;
}

ports::caller_answer entry_engine::make_refusal_answer(result_code code,
                                                       bool no_earlier_run)
{
    common::duration wait = default_retry_after(code);
    if (code == result_code::deadline_unreachable ||
        code == result_code::no_free_slot || code == result_code::queue_full)
    {
        wait = std::clamp<common::duration>(predicted_queue_wait(), 50ms, 5s);
    }
    auto answer = make_refusal(code, wait, random_);
    if (answer.outcome == common::outcome::not_run && !no_earlier_run)
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
    auto& req = requests_.at(id);
    send_answer(req, answer, out);
    record_key_outcome(now, req, answer, out);
    erase(id);
}

// Ends a request whose outcome is unknown. It may still run, so it uses
// capacity of the slice until the maximum execution time has passed.
void entry_engine::finish_with_unknown_outcome(common::time_point now,
                                               std::uint64_t id,
                                               result_code code,
                                               ports::actions& out)
{
    auto& req = requests_.at(id);
    auto const answer = make_refusal_answer(code, true);
    send_answer(req, answer, out);
    record_key_outcome(now, req, answer, out);
    auto const end_time =
        req.attempt_sent_at + settings_.upstreams.max_execution;
    if (req.counted_in_slice && req.stage != request_stage::awaiting_same_key &&
        end_time > now)
    {
        keep_until_execution_ends(req, end_time);
    }
    else
    {
        erase(id);
    }
}

// Sends the only answer of a request. If the answer to an earlier attempt was
// lost, that attempt may have run: a refusal of a later attempt, here or by a
// peer, must then not say "not run".
void entry_engine::send_answer(open_request& req,
                               ports::caller_answer answer,
                               ports::actions& out)
{
    if (req.answered)
    {
        return;
    }
    req.answered = true;
    --unanswered_;
    if (req.may_have_run && answer.outcome == common::outcome::not_run)
    {
        answer.outcome = common::outcome::unknown;
    }
    if (req.is_local())
    {
        by_caller_.erase(req.caller);
        out.emplace_back(ports::caller_reply{req.caller, std::move(answer)});
    }
    else
    {
        answer_peer(req.forwarded_by, req.forwarded_id, std::move(answer), out);
    }
}

// Records how the run of a key ended. A key that was refused before anything
// was sent is forgotten, so that it may run later. Any other outcome is
// remembered, including an unknown one.
void entry_engine::record_key_outcome(common::time_point now,
                                      open_request& req,
                                      ports::caller_answer const& answer,
                                      ports::actions& out)
{
    if (!req.key_begun)
    {
        return;
    }
    req.key_begun = false;
    auto const waiters = answer.outcome == common::outcome::not_run
                             ? keys_.forget(req.key)
                             : keys_.finish(now, req.key, answer);
    for (std::uint64_t const waiter : waiters)
    {
        if (requests_.contains(waiter))
        {
            finish(now, waiter, answer, out);
        }
    }
}

void entry_engine::keep_until_execution_ends(open_request& req,
                                             common::time_point end_time)
{
    by_attempt_.erase(req.attempt_id);
    open_bytes_ -= req.request.body.size();
    req.request.body.clear();
    req.request.headers.clear();
    req.stage = request_stage::awaiting_unseen_end;
    set_timer(req, end_time);
}

void entry_engine::erase(std::uint64_t id)
{
    auto const found = requests_.find(id);
    auto& req = found->second;
    if (req.stage == request_stage::queued)
    {
        queue_.erase(
            {req.id, req.request.customer, req.request.kind, req.expires});
    }
    auto const customer = customers_.find(req.request.customer);
    if (customer != customers_.end())
    {
        if (req.counted_in_slice)
        {
            customer->second.slice.on_request_end(req.request.kind);
        }
        if (!customer->second.awaiting_slice.empty())
        {
            customers_to_resume_.insert(req.request.customer);
        }
    }
    set_timer(req, std::nullopt);
    by_attempt_.erase(req.attempt_id);
    open_bytes_ -= req.request.body.size();
    requests_.erase(found);
}

void entry_engine::set_timer(open_request& req,
                             std::optional<common::time_point> when)
{
    if (req.timer_due)
    {
        timers_.erase({*req.timer_due, req.id});
    }
    req.timer_due = when;
    if (when)
    {
        timers_.insert({*when, req.id});
    }
}

open_request* entry_engine::find_attempt(std::uint64_t attempt_id) noexcept
{
    auto const found = by_attempt_.find(attempt_id);
    if (found == by_attempt_.end())
    {
        return nullptr;
    }
    auto const it = requests_.find(found->second);
    return it == requests_.end() ? nullptr : &it->second;
}

} // namespace fuchsia::core::requests
