#include "core/requests/entry_engine.hpp"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <utility>

// The part of a request's way at the slots: sending it to an upstream, waiting
// for one, and what came back.
namespace fuchsia::core::requests
{

namespace
{
constexpr std::uint16_t http_unavailable = 503;
}

void entry_engine::dispatch(common::time_point now,
                            open_request& one,
                            ports::actions& out)
{
    if (!may_send(now))
    {
        refuse(now, one, result_code::no_proof, out);
        return;
    }
    if (!key_may_run(now, one))
    {
        refuse(now, one, result_code::owner_unreachable, out);
        return;
    }
    if (queue_.size() == 0 && send_upstream(now, one, out))
    {
        return;
    }
    if (one.received_as_spill)
    {
        refuse(now, one, result_code::no_free_slot, out);
        return;
    }
    if (!spill(now, one, out))
    {
        enqueue(now, one, out);
    }
}

bool entry_engine::send_upstream(common::time_point now,
                                 open_request& one,
                                 ports::actions& out)
{
    std::uint64_t const exchange = next_id_++;
    auto const place = slots_.take_slot(now, exchange, one.last_upstream);
    if (!place)
    {
        return false;
    }
    if (one.attempts++ == 0)
    {
        count_first_attempt(retries_);
    }
    one.stage = request_stage::at_upstream;
    one.last_upstream = place->upstream_index;
    one.attempt_id = exchange;
    one.attempt_sent_at = now;
    by_attempt_.emplace(exchange, one.id);
    set_timer(one, one.expires);
    ++counts_.upstream_sends;
    out.emplace_back(ports::upstream_send{exchange,
                                          place->upstream,
                                          place->address,
                                          one.request,
                                          settings_.upstreams.max_execution});
    return true;
}

void entry_engine::enqueue(common::time_point now,
                           open_request& one,
                           ports::actions& out)
{
    queue_state const view{queue_.ahead_of(one.request.kind),
                           queue_.size(),
                           slots_.usable_slots(),
                           slots_.service_time()};
    if (auto const code = requests::admission_refusal(
            settings_.admission, view, one.expires - now))
    {
        refuse(now, one, *code, out);
        return;
    }
    bool const queued = queue_.push(
        {one.id, one.request.customer, one.request.kind, one.expires});
    if (!queued)
    {
        refuse(now, one, result_code::queue_full, out);
        return;
    }
    one.stage = request_stage::queued;
    set_timer(one, one.expires);
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
        auto& one = found->second;
        one.stage = request_stage::arrived;
        if (one.expires <= now)
        {
            refuse(now, one, result_code::deadline_passed, out);
        }
        else if (!key_may_run(now, one))
        {
            refuse(now, one, result_code::owner_unreachable, out);
        }
        else if (auto const late = deadline_refusal(now, one))
        {
            refuse(now, one, *late, out);
        }
        else if (!send_upstream(now, one, out))
        {
            refuse(now, one, result_code::no_free_slot, out);
        }
    }
}

// By deadline, a long queue serves first what is about to expire. Such a
// request would take a slot and be answered too late, and so would all after
// it: goodput falls the more the higher the load. Refused now, its caller knows
// at once that it did not run.
std::optional<common::result_code>
entry_engine::deadline_refusal(common::time_point now,
                               open_request const& one) const
{
    queue_state const next{0, 0, slots_.usable_slots(), slots_.service_time()};
    return requests::admission_refusal(
        settings_.admission, next, one.expires - now);
}

bool entry_engine::retry(common::time_point now,
                         open_request& one,
                         ports::actions& out)
{
    bool const in_time = !one.answered && now < one.expires && may_send(now);
    if (!in_time || !take_retry(retries_, one.attempts))
    {
        return false;
    }
    ++counts_.retries;
    one.stage = request_stage::arrived;
    set_timer(one, std::nullopt);
    dispatch(now, one, out);
    return true;
}

namespace
{

// The upstream vouches that it did not run the request: it may go elsewhere,
// whatever it is, and its caller may be told so.
bool is_upstream_refusal(ports::upstream_end const& end)
{
    auto const says_so = [](ports::header const& header)
    {
        return boost::algorithm::iequals(header.name, "Upstream-Outcome") &&
               header.value == "not-run";
    };
    return end.http_status == http_unavailable &&
           std::any_of(end.headers.begin(), end.headers.end(), says_so);
}

} // namespace

void entry_engine::on_exchange_end(common::time_point now,
                                   ports::upstream_end const& end,
                                   ports::actions& out)
{
    detect_pause(now, out);
    slots_.on_exchange_end(now, end);
    auto* one = find_attempt(end.exchange);
    if (one == nullptr)
    {
        process_waiting_work(now, out);
        return;
    }
    using enum ports::exchange_status;
    if (end.status == timed_out)
    {
        // The other end, once it is known, follows.
        on_timer(now, *one, out);
        process_waiting_work(now, out);
        return;
    }
    by_attempt_.erase(end.exchange);
    switch (end.status)
    {
    case answered:
    case drained:
        if (is_upstream_refusal(end) && !one->answered)
        {
            if (!retry(now, *one, out))
            {
                refuse(now, *one, result_code::upstream_refused, out);
            }
            break;
        }
        on_complete_answer(now, *one, end, out);
        break;
    case not_sent:
        if (!retry(now, *one, out))
        {
            refuse(now, *one, result_code::retry_budget_spent, out);
        }
        break;
    case timed_out:
    case lost:
    case too_large:
        on_attempt_lost(now, *one, end, out);
        break;
    }
    process_waiting_work(now, out);
}

void entry_engine::on_complete_answer(common::time_point now,
                                      open_request& one,
                                      ports::upstream_end const& end,
                                      ports::actions& out)
{
    if (end.http_status == 0)
    {
        // A late answer that was read to its end but not kept.
        finish(now,
               one.id,
               make_refusal_answer(result_code::deadline_after_send, true),
               out);
        return;
    }
    if (one.idempotent && end.http_status == http_unavailable)
    {
        bool const ran_before = one.may_have_run;
        one.may_have_run = true;
        if (retry(now, one, out))
        {
            return;
        }
        one.may_have_run = ran_before;
    }
    ports::caller_answer answer;
    answer.status = end.http_status;
    answer.headers = end.headers;
    answer.body = end.body;
    finish(now, one.id, answer, out);
}

void entry_engine::on_attempt_lost(common::time_point now,
                                   open_request& one,
                                   ports::upstream_end const& end,
                                   ports::actions& out)
{
    one.may_have_run = true;
    bool const large = end.status == ports::exchange_status::too_large;
    if (!large && one.idempotent && retry(now, one, out))
    {
        return;
    }
    auto const partial = end.http_status != 0 ? result_code::upstream_partial
                                              : result_code::upstream_lost;
    finish_with_unknown_outcome(
        now, one.id, large ? result_code::answer_too_large : partial, out);
}

} // namespace fuchsia::core::requests
