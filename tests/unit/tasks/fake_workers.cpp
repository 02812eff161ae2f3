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

constexpr duration ended_listed = std::chrono::seconds(60);
constexpr duration report_interval = std::chrono::seconds(1);

} // namespace

fake_workers::fake_workers(virtual_clock& time, std::uint64_t seed)
    : time_(time), random_(seed)
{
}

void fake_workers::add(ports::worker_instance info)
{
    auto& at = workers[info.id];
    at.clock_offset_ms = random_() % 3'600'000;
    at.info = std::move(info);
}

ports::worker_list fake_workers::list() const
{
    ports::worker_list out;
    for (auto const& [id, at] : workers)
    {
        out.workers.push_back(at.info);
    }
    return out;
}

void fake_workers::cut(std::string const& worker, bool is_cut)
{
    auto& at = workers.at(worker);
    advance(at);
    at.faults.cut = is_cut;
    std::erase_if(finished_at,
                  [&worker](auto const& item)
                  {
                      return item.second.first == worker;
                  });
    for (auto& [name, point] : checkpoints_)
    {
        if (point.resumer_worker == worker)
        {
            point.resumer_finished = false;
        }
    }
}

std::uint64_t fake_workers::clock_ms(worker const& at) const
{
    return at.clock_offset_ms +
           static_cast<std::uint64_t>(
               core::common::to_milliseconds(time_.now().time_since_epoch()));
}

bool fake_workers::chance(std::uint32_t permille)
{
    return permille != 0 && random_() % 1000 < permille;
}

duration fake_workers::way()
{
    return chance(faults.late_permille)
               ? duration(static_cast<std::int64_t>(
                     random_() %
                     static_cast<std::uint64_t>(faults.late_delay.count())))
               : faults.delay;
}

void fake_workers::note(std::string const& what)
{
    if (violation.empty())
    {
        violation = what;
    }
}

void fake_workers::call(ports::worker_call const& what, answer const& back)
{
    auto const done = std::make_shared<bool>(false);
    auto const finish = [done, back, id = what.id](ports::worker_reply reply)
    {
        if (!std::exchange(*done, true))
        {
            reply.id = id;
            back(reply);
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
    time_.after(way(),
                [this, what, finish]
                {
                    auto const found = workers.find(what.worker);
                    if (found == workers.end() || found->second.faults.cut)
                    {
                        return;
                    }
                    auto const reply = run(found->second, what.operation);
                    if (!chance(faults.lose_reply_permille))
                    {
                        time_.after(way(),
                                    [finish, reply]
                                    {
                                        finish(reply);
                                    });
                    }
                });
}

ports::worker_reply fake_workers::start(worker& at,
                                        ports::worker_start const& call)
{
    ports::worker_reply reply;
    reply.status = worker_status::done;
    if (at.attempts.count(call.attempt_id) != 0)
    {
        return reply;
    }
    auto const clock = clock_ms(at);
    if (at.barred.count(call.attempt_id) != 0 || clock > call.start_before_ms ||
        clock >= call.lease_until_ms)
    {
        reply.status = worker_status::refused;
        reply.reason = "too late, or stopped before";
        return reply;
    }
    if (on_start)
    {
        on_start(at.info.id, call);
    }
    for (auto& [id, other] : workers)
    {
        advance(other);
    }
    if (!places_of(call.attempt_id.task).empty())
    {
        note(call.attempt_id.task + " runs in two places");
    }
    ports::resources use = call.declared;
    for (auto const& [what, which] : at.attempts)
    {
        if (which.state == attempt_state::running)
        {
            use += which.call.declared;
        }
    }
    if (!at.info.capacity.covers(use))
    {
        note(at.info.id + " over its capacity");
    }
    auto const out = out_of_service_since.find(at.info.data_centre);
    if (out != out_of_service_since.end() && time_.now() - out->second > grace)
    {
        note(call.attempt_id.task + " started in a data centre that is out");
    }
    attempt next;
    next.call = call;
    next.lease_until_ms = call.lease_until_ms;
    next.began_ms = clock;
    auto const kept = checkpoints_.find(call.checkpoint);
    if (kept != checkpoints_.end())
    {
        ++resumed;
        auto& point = kept->second;
        if (point.resumer && *point.resumer != call.attempt_id &&
            point.resumer_finished)
        {
            note(call.attempt_id.task + " resumed twice from one checkpoint");
        }
        point.resumer = call.attempt_id;
        point.resumer_finished = false;
        point.resumer_worker = at.info.id;
        next.base_work_ms = point.work_ms;
    }
    ++starts;
    auto& stored = at.attempts[call.attempt_id] = next;
    if (at.faults.fail_starts || broken_classes.count(call.task_class) != 0)
    {
        end(at, stored, attempt_state::failed);
    }
    return reply;
}

ports::worker_reply fake_workers::run(worker& at,
                                      ports::worker_operation const& what)
{
    advance(at);
    ports::worker_reply reply;
    reply.status = worker_status::done;
    auto const running = [&at](ports::task_attempt const& which) -> attempt*
    {
        auto const found = at.attempts.find(which);
        return found != at.attempts.end() &&
                       found->second.state == attempt_state::running
                   ? &found->second
                   : nullptr;
    };
    if (auto const* call = std::get_if<ports::worker_start>(&what))
    {
        return start(at, *call);
    }
    if (auto const* call = std::get_if<ports::worker_renew>(&what))
    {
        for (auto const& which : call->attempts)
        {
            if (auto* found = running(which))
            {
                found->lease_until_ms =
                    std::max(found->lease_until_ms, call->lease_until_ms);
            }
            else
            {
                reply.unknown_attempts.push_back(which);
            }
        }
        return reply;
    }
    if (auto const* call = std::get_if<ports::worker_throttle>(&what))
    {
        auto* found = running(call->attempt_id);
        reply.status =
            found == nullptr ? worker_status::refused : worker_status::done;
        return reply;
    }
    if (auto const* call = std::get_if<ports::worker_checkpoint>(&what))
    {
        auto* found = running(call->attempt_id);
        if (found == nullptr)
        {
            reply.status = worker_status::refused;
            return reply;
        }
        reply.checkpoint = "cp-" + std::to_string(checkpoints_.size() + 1);
        checkpoints_[reply.checkpoint].work_ms = work_of(at, *found);
        return reply;
    }
    auto const& call = std::get<ports::worker_stop>(what);
    if (auto* found = running(call.attempt_id))
    {
        end(at, *found, attempt_state::stopped);
    }
    else if (at.attempts.count(call.attempt_id) == 0)
    {
        at.barred.insert(call.attempt_id);
    }
    return reply;
}

std::uint64_t fake_workers::work_of(worker const& at,
                                    attempt const& which) const
{
    return which.base_work_ms + clock_ms(at) - which.began_ms;
}

void fake_workers::end(worker const& at, attempt& which, attempt_state state)
{
    which.state = state;
    which.ended = time_.now();
    auto const kept = checkpoints_.find(which.call.checkpoint);
    if (state == attempt_state::finished)
    {
        note_finished(at, which.call.attempt_id.task);
        if (kept != checkpoints_.end() && !at.faults.cut)
        {
            kept->second.resumer_finished = true;
        }
    }
}

// Work that was done once must not be done again, unless nobody could know:
// its worker was cut off, or had listed its end for as long as it does.
void fake_workers::note_finished(worker const& at, std::string const& task)
{
    ++finished[task];
    auto const before = finished_at.find(task);
    if (before != finished_at.end() &&
        time_.now() - before->second.second < ended_listed)
    {
        note(task + " was finished twice");
    }
    if (!at.faults.cut)
    {
        finished_at[task] = {at.info.id, time_.now()};
    }
}

void fake_workers::advance(worker& at)
{
    for (auto& [what, which] : at.attempts)
    {
        if (which.state != attempt_state::running)
        {
            continue;
        }
        if (clock_ms(at) >= which.lease_until_ms)
        {
            end(at, which, attempt_state::lease_expired);
        }
        else if (!which.call.service &&
                 work_of(at, which) >= which.call.work_ms)
        {
            end(at, which, attempt_state::finished);
        }
    }
}

void fake_workers::report(worker& at)
{
    ports::worker_report next;
    next.worker = at.info.id;
    next.sequence = ++at.sequence;
    next.clock_ms = clock_ms(at);
    for (auto const& [what, which] : at.attempts)
    {
        ports::attempt_report said;
        said.attempt_id = what;
        said.state = which.state;
        said.used = which.call.declared;
        said.work_done_ms = work_of(at, which);
        said.latency_p99_us = which.call.service ? 1000 : 0;
        next.attempts.push_back(said);
    }
    at.history.emplace_back(time_.now(), std::move(next));
    if (at.history.size() > 8)
    {
        at.history.erase(at.history.begin());
    }
}

void fake_workers::tick()
{
    for (auto& [id, at] : workers)
    {
        advance(at);
        std::erase_if(at.attempts,
                      [this](auto const& item)
                      {
                          return item.second.state != attempt_state::running &&
                                 time_.now() - item.second.ended > ended_listed;
                      });
        if (at.history.empty() ||
            time_.now() - at.history.back().first >= report_interval)
        {
            report(at);
        }
    }
}

std::vector<ports::worker_report>
fake_workers::reports(std::string const& rack) const
{
    std::vector<ports::worker_report> out;
    for (auto const& [id, at] : workers)
    {
        if (at.info.rack != rack || at.faults.cut)
        {
            continue;
        }
        auto const found =
            std::find_if(at.history.rbegin(),
                         at.history.rend(),
                         [this](auto const& item)
                         {
                             return time_.now() - item.first >= report_lag;
                         });
        if (found != at.history.rend())
        {
            out.push_back(found->second);
        }
    }
    return out;
}

std::vector<std::string> fake_workers::places_of(std::string const& task) const
{
    std::vector<std::string> out;
    for (auto const& [id, at] : workers)
    {
        for (auto const& [what, which] : at.attempts)
        {
            if (what.task == task && which.state == attempt_state::running)
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
    for (auto const& [id, at] : workers)
    {
        for (auto const& [what, which] : at.attempts)
        {
            if (which.state == attempt_state::running)
            {
                out[customer_of(what.task)] += which.call.declared;
            }
        }
    }
    return out;
}

} // namespace fuchsia::tests::unit::tasks
