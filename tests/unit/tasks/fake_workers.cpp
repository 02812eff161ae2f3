#include "fake_workers.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace fuchsia::tests::unit::tasks
{

namespace
{

using ports::attempt_state;
using ports::worker_status;

constexpr duration ended_retention = std::chrono::seconds(60);
constexpr duration report_interval = std::chrono::seconds(1);

} // namespace

fake_workers::fake_workers(virtual_clock& time, std::uint64_t seed)
    : time_(time), random_(seed)
{
}

void fake_workers::add(ports::worker_instance info)
{
    auto& w = workers[info.id];
    w.clock_offset_ms = random_() % 3'600'000;
    w.info = std::move(info);
}

ports::worker_list fake_workers::list() const
{
    ports::worker_list out;
    for (auto const& [id, w] : workers)
    {
        out.workers.push_back(w.info);
    }
    return out;
}

void fake_workers::cut(std::string const& worker, bool is_cut)
{
    auto& w = workers.at(worker);
    advance(w);
    w.faults.cut = is_cut;
    std::erase_if(finished_at,
                  [&worker](auto const& item)
                  {
                      return item.second.first == worker;
                  });
    for (auto& [name, checkpoint] : checkpoints_)
    {
        if (checkpoint.resumer_worker == worker)
        {
            checkpoint.resumer_finished = false;
        }
    }
}

std::uint64_t fake_workers::clock_ms(worker const& w) const
{
    return w.clock_offset_ms +
           static_cast<std::uint64_t>(
               core::common::to_milliseconds(time_.now().time_since_epoch()));
}

bool fake_workers::chance(std::uint32_t permille)
{
    return permille != 0 && random_() % 1000 < permille;
}

duration fake_workers::message_delay()
{
    return chance(faults.late_permille)
               ? duration(static_cast<std::int64_t>(
                     random_() %
                     static_cast<std::uint64_t>(faults.late_delay.count())))
               : faults.delay;
}

void fake_workers::record_violation(std::string const& text)
{
    if (violation.empty())
    {
        violation = text;
    }
}

void fake_workers::call(ports::worker_call const& request,
                        reply_handler const& on_reply)
{
    auto const done = std::make_shared<bool>(false);
    auto const finish =
        [done, on_reply, id = request.id](ports::worker_reply reply)
    {
        if (!std::exchange(*done, true))
        {
            reply.id = id;
            on_reply(reply);
        }
    };
    time_.after(faults.timeout,
                [finish]
                {
                    finish({});
                });
    if (chance(faults.lose_request_permille))
    {
        return;
    }
    time_.after(message_delay(),
                [this, request, finish]
                {
                    auto const found = workers.find(request.worker);
                    if (found == workers.end() || found->second.faults.cut)
                    {
                        return;
                    }
                    auto const reply = run(found->second, request.operation);
                    if (!chance(faults.lose_reply_permille))
                    {
                        time_.after(message_delay(),
                                    [finish, reply]
                                    {
                                        finish(reply);
                                    });
                    }
                });
}

ports::worker_reply fake_workers::start(worker& w,
                                        ports::worker_start const& call)
{
    ports::worker_reply reply;
    reply.status = worker_status::done;
    if (w.attempts.count(call.attempt_id) != 0)
    {
        return reply;
    }
    auto const clock = clock_ms(w);
    if (w.stopped_before_start.count(call.attempt_id) != 0 ||
        clock > call.start_before_ms || clock >= call.lease_until_ms)
    {
        reply.status = worker_status::refused;
        reply.reason = "too late, or stopped before";
        return reply;
    }
    if (on_start)
    {
        on_start(w.info.id, call);
    }
    for (auto& [id, other] : workers)
    {
        advance(other);
    }
    if (!places_of(call.attempt_id.task).empty())
    {
        record_violation(call.attempt_id.task + " runs in two places");
    }
    ports::resources committed = call.declared;
    for (auto const& [attempt_id, record] : w.attempts)
    {
        if (record.state == attempt_state::running)
        {
            committed += record.call.declared;
        }
    }
    if (!w.info.capacity.covers(committed))
    {
        record_violation(w.info.id + " over its capacity");
    }
    auto const outage = out_of_service_since.find(w.info.data_centre);
    if (outage != out_of_service_since.end() &&
        time_.now() - outage->second > out_of_service_grace)
    {
        record_violation(call.attempt_id.task +
                         " started in a data centre that is out");
    }
    attempt next;
    next.call = call;
    next.lease_until_ms = call.lease_until_ms;
    next.started_at_ms = clock;
    auto const found_checkpoint = checkpoints_.find(call.checkpoint);
    if (found_checkpoint != checkpoints_.end())
    {
        ++resumed;
        auto& checkpoint = found_checkpoint->second;
        if (checkpoint.resumer && *checkpoint.resumer != call.attempt_id &&
            checkpoint.resumer_finished)
        {
            record_violation(call.attempt_id.task +
                             " resumed twice from one checkpoint");
        }
        checkpoint.resumer = call.attempt_id;
        checkpoint.resumer_finished = false;
        checkpoint.resumer_worker = w.info.id;
        next.resumed_work_ms = checkpoint.work_ms;
    }
    ++starts;
    auto& stored = w.attempts[call.attempt_id] = next;
    if (w.faults.fail_starts || broken_classes.count(call.task_class) != 0)
    {
        end(w, stored, attempt_state::failed);
    }
    return reply;
}

ports::worker_reply fake_workers::run(worker& w,
                                      ports::worker_operation const& operation)
{
    advance(w);
    ports::worker_reply reply;
    reply.status = worker_status::done;
    auto const running = [&w](ports::task_attempt const& attempt_id) -> attempt*
    {
        auto const found = w.attempts.find(attempt_id);
        return found != w.attempts.end() &&
                       found->second.state == attempt_state::running
                   ? &found->second
                   : nullptr;
    };
    if (auto const* call = std::get_if<ports::worker_start>(&operation))
    {
        return start(w, *call);
    }
    if (auto const* call = std::get_if<ports::worker_renew>(&operation))
    {
        for (auto const& attempt_id : call->attempts)
        {
            if (auto* found = running(attempt_id))
            {
                found->lease_until_ms =
                    std::max(found->lease_until_ms, call->lease_until_ms);
            }
            else
            {
                reply.unknown_attempts.push_back(attempt_id);
            }
        }
        return reply;
    }
    if (auto const* call = std::get_if<ports::worker_throttle>(&operation))
    {
        auto* found = running(call->attempt_id);
        reply.status =
            found == nullptr ? worker_status::refused : worker_status::done;
        return reply;
    }
    if (auto const* call = std::get_if<ports::worker_checkpoint>(&operation))
    {
        auto* found = running(call->attempt_id);
        if (found == nullptr)
        {
            reply.status = worker_status::refused;
            return reply;
        }
        reply.checkpoint = "cp-" + std::to_string(checkpoints_.size() + 1);
        checkpoints_[reply.checkpoint].work_ms = work_done_ms(w, *found);
        return reply;
    }
    auto const& call = std::get<ports::worker_stop>(operation);
    if (auto* found = running(call.attempt_id))
    {
        end(w, *found, attempt_state::stopped);
    }
    else if (w.attempts.count(call.attempt_id) == 0)
    {
        w.stopped_before_start.insert(call.attempt_id);
    }
    return reply;
}

std::uint64_t fake_workers::work_done_ms(worker const& w,
                                         attempt const& record) const
{
    return record.resumed_work_ms + clock_ms(w) - record.started_at_ms;
}

void fake_workers::end(worker const& w, attempt& record, attempt_state state)
{
    record.state = state;
    record.ended_at = time_.now();
    auto const found_checkpoint = checkpoints_.find(record.call.checkpoint);
    if (state == attempt_state::finished)
    {
        record_finished(w, record.call.attempt_id.task);
        if (found_checkpoint != checkpoints_.end() && !w.faults.cut)
        {
            found_checkpoint->second.resumer_finished = true;
        }
    }
}

// Checks that finished work is not done again. This is allowed only if the
// planner could not know of the end: the worker was cut off, or the retention
// of the end in its reports is over.
void fake_workers::record_finished(worker const& w, std::string const& task)
{
    ++finished[task];
    auto const previous = finished_at.find(task);
    if (previous != finished_at.end() &&
        time_.now() - previous->second.second < ended_retention)
    {
        record_violation(task + " was finished twice");
    }
    if (!w.faults.cut)
    {
        finished_at[task] = {w.info.id, time_.now()};
    }
}

void fake_workers::advance(worker& w)
{
    for (auto& [attempt_id, record] : w.attempts)
    {
        if (record.state != attempt_state::running)
        {
            continue;
        }
        if (clock_ms(w) >= record.lease_until_ms)
        {
            end(w, record, attempt_state::lease_expired);
        }
        else if (!record.call.service &&
                 work_done_ms(w, record) >= record.call.work_ms)
        {
            end(w, record, attempt_state::finished);
        }
    }
}

void fake_workers::report(worker& w)
{
    ports::worker_report next;
    next.worker = w.info.id;
    next.sequence = ++w.sequence;
    next.clock_ms = clock_ms(w);
    for (auto const& [attempt_id, record] : w.attempts)
    {
        ports::attempt_report reported;
        reported.attempt_id = attempt_id;
        reported.state = record.state;
        reported.used = record.call.declared;
        reported.work_done_ms = work_done_ms(w, record);
        reported.latency_p99_us = record.call.service ? 1000 : 0;
        next.attempts.push_back(reported);
    }
    w.history.emplace_back(time_.now(), std::move(next));
    if (w.history.size() > 8)
    {
        w.history.erase(w.history.begin());
    }
}

void fake_workers::tick()
{
    for (auto& [id, w] : workers)
    {
        advance(w);
        std::erase_if(w.attempts,
                      [this](auto const& item)
                      {
                          return item.second.state != attempt_state::running &&
                                 time_.now() - item.second.ended_at >
                                     ended_retention;
                      });
        if (w.history.empty() ||
            time_.now() - w.history.back().first >= report_interval)
        {
            report(w);
        }
    }
}

std::vector<ports::worker_report>
fake_workers::reports(std::string const& rack) const
{
    std::vector<ports::worker_report> out;
    for (auto const& [id, w] : workers)
    {
        if (w.info.rack != rack || w.faults.cut)
        {
            continue;
        }
        auto const found =
            std::find_if(w.history.rbegin(),
                         w.history.rend(),
                         [this](auto const& item)
                         {
                             return time_.now() - item.first >= report_lag;
                         });
        if (found != w.history.rend())
        {
            out.push_back(found->second);
        }
    }
    return out;
}

std::vector<std::string> fake_workers::places_of(std::string const& task) const
{
    std::vector<std::string> out;
    for (auto const& [id, w] : workers)
    {
        for (auto const& [attempt_id, record] : w.attempts)
        {
            if (attempt_id.task == task &&
                record.state == attempt_state::running)
            {
                out.push_back(id);
            }
        }
    }
    return out;
}

std::map<std::string, ports::resources> fake_workers::in_use(
    std::function<std::string(std::string const&)> const& customer_of) const
{
    std::map<std::string, ports::resources> out;
    for (auto const& [id, w] : workers)
    {
        for (auto const& [attempt_id, record] : w.attempts)
        {
            if (record.state == attempt_state::running)
            {
                out[customer_of(attempt_id.task)] += record.call.declared;
            }
        }
    }
    return out;
}

} // namespace fuchsia::tests::unit::tasks
