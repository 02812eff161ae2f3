#include "core/requests/entry_engine.hpp"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <utility>

// Slots of upstreams: sending of requests, the queue for free slots, and the
// results of exchanges.
namespace fuchsia::core::requests
{

namespace
{
constexpr std::uint16_t http_unavailable = 503;
}

void entry_engine::dispatch(common::time_point now,
                            open_request& req,
                            ports::actions& out)
{
    if (!may_send(now))
    {
        refuse(now, req, result_code::no_proof, out);
        return;
    }
    if (!key_may_run(now, req))
    {
        refuse(now, req, result_code::owner_unreachable, out);
        return;
    }
    if (queue_.size() == 0 && send_upstream(now, req, out))
    {
        return;
    }
    if (req.received_as_spill)
    {
        refuse(now, req, result_code::no_free_slot, out);
        return;
    }
    if (!spill(now, req, out))
    {
        enqueue(now, req, out);
    }
}

bool entry_engine::send_upstream(common::time_point now,
                                 open_request& req,
                                 ports::actions& out)
{
    std::uint64_t const exchange = next_id_++;
    auto const slot = slots_.take_slot(now, exchange, req.last_upstream);
    if (!slot)
    {
        return false;
    }
    if (req.attempts++ == 0)
    {
        count_first_attempt(retries_);
    }
    req.stage = request_stage::at_upstream;
    req.last_upstream = slot->upstream_index;
    req.attempt_id = exchange;
    req.attempt_sent_at = now;
    by_attempt_.emplace(exchange, req.id);
    set_timer(req, req.expires);
    ++counts_.upstream_sends;
    out.emplace_back(ports::upstream_send{exchange,
                                          slot->upstream,
                                          slot->address,
                                          req.request,
                                          settings_.upstreams.max_execution});
    return true;
}

void entry_engine::enqueue(common::time_point now,
                           open_request& req,
                           ports::actions& out)
{
    queue_state const state{queue_.ahead_of(req.request.kind),
                            queue_.size(),
                            slots_.usable_slots(),
                            slots_.service_time()};
    if (auto const code = requests::admission_refusal(
            settings_.admission, state, req.expires - now))
    {
        refuse(now, req, *code, out);
        return;
    }
    bool const added = queue_.push(
        {req.id, req.request.customer, req.request.kind, req.expires});
    if (!added)
    {
        refuse(now, req, result_code::queue_full, out);
        return;
    }
    req.stage = request_stage::queued;
    set_timer(req, req.expires);
}

void entry_engine::send_queued(common::time_point now, ports::actions& out)
{
    while (slots_.free_slots() > 0 && queue_.size() > 0 && may_send(now))
    {
        auto const id = queue_.pop();
        auto const found = id ? requests_.find(*id) : requests_.end();
        if (found == requests_.end())
        {
            continue;
        }
        auto& req = found->second;
        req.stage = request_stage::arrived;
        if (req.expires <= now)
        {
            refuse(now, req, result_code::deadline_passed, out);
        }
        else if (!key_may_run(now, req))
        {
            refuse(now, req, result_code::owner_unreachable, out);
        }
        else if (auto const code = deadline_refusal(now, req))
        {
            refuse(now, req, *code, out);
        }
        else if (!send_upstream(now, req, out))
        {
            refuse(now, req, result_code::no_free_slot, out);
        }
    }
}

// Returns a refusal for a queued request that can no longer be answered by its
// deadline. A long queue in deadline order starts with requests that are about
// to expire. Each of them would use a slot and be answered too late, and so
// would all requests behind it: goodput would fall as load rises. A refusal
// tells the caller at once that the request did not run.
std::optional<common::result_code>
entry_engine::deadline_refusal(common::time_point now,
                               open_request const& req) const
{
    queue_state const head_of_queue{
        0, 0, slots_.usable_slots(), slots_.service_time()};
    return requests::admission_refusal(
        settings_.admission, head_of_queue, req.expires - now);
}

bool entry_engine::retry(common::time_point now,
                         open_request& req,
                         ports::actions& out)
{
    bool const can_retry = !req.answered && now < req.expires && may_send(now);
    if (!can_retry || !take_retry(retries_, req.attempts))
    {
        return false;
    }
    ++counts_.retries;
    req.stage = request_stage::arrived;
    set_timer(req, std::nullopt);
    dispatch(now, req, out);
    return true;
}

namespace
{

// Whether the upstream states that it did not run the request. Such a request,
// idempotent or not, may be sent to another upstream, and a refusal may say
// "not run".
bool is_upstream_refusal(ports::upstream_end const& end)
{
    auto const is_not_run_header = [](ports::header const& header)
    {
        return boost::algorithm::iequals(header.name, "Upstream-Outcome") &&
               header.value == "not-run";
    };
    return end.http_status == http_unavailable &&
           std::any_of(
               end.headers.begin(), end.headers.end(), is_not_run_header);
}

} // namespace

void entry_engine::on_exchange_end(common::time_point now,
                                   ports::upstream_end const& end,
                                   ports::actions& out)
{
    detect_pause(now, out);
    slots_.on_exchange_end(now, end);
    auto* req = find_attempt(end.exchange);
    if (req == nullptr)
    {
        process_waiting_work(now, out);
        return;
    }
    using enum ports::exchange_status;
    if (end.status == timed_out)
    {
        // Another end of this exchange follows when its result is known.
        on_timer(now, *req, out);
        process_waiting_work(now, out);
        return;
    }
    by_attempt_.erase(end.exchange);
    switch (end.status)
    {
    case answered:
    case drained:
        if (is_upstream_refusal(end) && !req->answered)
        {
            if (!retry(now, *req, out))
            {
                refuse(now, *req, result_code::upstream_refused, out);
            }
            break;
        }
        on_complete_answer(now, *req, end, out);
        break;
    case not_sent:
        if (!retry(now, *req, out))
        {
            refuse(now, *req, result_code::retry_budget_spent, out);
        }
        break;
    case timed_out:
    case lost:
    case too_large:
        on_attempt_lost(now, *req, end, out);
        break;
    }
    process_waiting_work(now, out);
}

void entry_engine::on_complete_answer(common::time_point now,
                                      open_request& req,
                                      ports::upstream_end const& end,
                                      ports::actions& out)
{
    if (end.http_status == 0)
    {
        // A late answer was read completely but not stored.
        finish(now,
               req.id,
               make_refusal_answer(result_code::deadline_after_send, true),
               out);
        return;
    }
    if (req.idempotent && end.http_status == http_unavailable)
    {
        bool const ran_before = req.may_have_run;
        req.may_have_run = true;
        if (retry(now, req, out))
        {
            return;
        }
        req.may_have_run = ran_before;
    }
    ports::caller_answer answer;
    answer.status = end.http_status;
    answer.headers = end.headers;
    answer.body = end.body;
    finish(now, req.id, answer, out);
}

void entry_engine::on_attempt_lost(common::time_point now,
                                   open_request& req,
                                   ports::upstream_end const& end,
                                   ports::actions& out)
{
    req.may_have_run = true;
    bool const is_too_large = end.status == ports::exchange_status::too_large;
    if (!is_too_large && req.idempotent && retry(now, req, out))
    {
        return;
    }
    auto const loss_code = end.http_status != 0 ? result_code::upstream_partial
                                                : result_code::upstream_lost;
    finish_with_unknown_outcome(now,
                                req.id,
                                is_too_large ? result_code::answer_too_large
                                             : loss_code,
                                out);
}

} // namespace fuchsia::core::requests
