#include "tools/load/load_run.hpp"

#include "adapters/platform/catalog_client.hpp"
#include "adapters/runtime/signals.hpp"

#include <algorithm>
#include <iostream>
#include <memory>
#include <utility>

namespace fuchsia::tools::load
{

namespace
{

using core::common::clock;
using core::common::duration;
using core::common::result_code;

constexpr duration max_check_time = std::chrono::seconds(10);
constexpr duration progress_interval = std::chrono::seconds(1);
constexpr duration idle_check_interval = std::chrono::milliseconds(50);
// Maximum number of arrivals sent before other handlers run.
constexpr std::size_t arrival_batch = 128;
constexpr std::uint64_t stream_seed_step = 1'000'003;
constexpr std::uint16_t ok = 200;
constexpr std::size_t max_event_attempts = 20;

// Returns an id that differs between runs, so that idempotency keys and job ids
// are not reused.
std::string make_run_id()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    auto const count =
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";
    std::string name;
    for (auto remaining = count; remaining > 0;
         remaining /= static_cast<std::int64_t>(digits.size()))
    {
        name += digits[static_cast<std::size_t>(remaining) % digits.size()];
    }
    return name;
}

counts counts_now(std::optional<ports::endpoint> const& endpoint)
{
    return endpoint ? fetch_counts(*endpoint).value_or(counts()) : counts();
}

std::optional<adapters::http::response> get(ports::endpoint const& endpoint,
                                            std::string target)
{
    boost::asio::io_context io(1);
    adapters::http::client client(io, {});
    std::optional<adapters::http::response> result;
    adapters::http::client_call call;
    call.remote_endpoint = endpoint;
    call.message.method = "GET";
    call.message.target = std::move(target);
    bool ended = false;
    client.send(
        std::move(call),
        [&](ports::exchange_status status, adapters::http::response answer)
        {
            ended = true;
            if (status == ports::exchange_status::answered)
            {
                result = std::move(answer);
            }
        });
    while (!ended && io.run_one() > 0)
    {
    }
    return result;
}

} // namespace

load_run::load_run(experiment spec)
    : experiment_(std::move(spec)), run_id_(make_run_id()), io_(1),
      entries_(io_,
               experiment_.targets.entries,
               experiment_.targets.check_interval,
               experiment_.targets.check_lag),
      client_(io_, experiment_, entries_, statistics_, run_id_),
      submitter_(io_, experiment_, run_id_), events_(io_, {}),
      arrival_timer_(io_), progress_timer_(io_), end_timer_(io_)
{
}

std::optional<run_report> load_run::run(core::common::failure& reason)
{
    if (!prepare(reason))
    {
        return std::nullopt;
    }
    start_ = clock::now();
    client_.begin(start_);
    make_arrivals();
    start_events();
    adapters::runtime::on_stop_signal(io_,
                                      [this]
                                      {
                                          arrivals_ = {};
                                      });
    start_sampler();
    send_due_arrivals();
    show_progress();
    end_when_idle();
    io_.run();
    return make_report();
}

bool load_run::prepare(core::common::failure& reason)
{
    auto const is_direct = [](request_stream const& stream)
    {
        return stream.direct;
    };
    auto const& streams = experiment_.streams;
    bool const needs_entries =
        !std::all_of(streams.begin(), streams.end(), is_direct);
    if (needs_entries && experiment_.targets.entries.empty())
    {
        reason = {result_code::missing_key,
                  "targets.entries",
                  "at least one entry is required"};
        return false;
    }
    if (!experiment_.jobs.empty() && experiment_.targets.planners.empty())
    {
        reason = {result_code::missing_key,
                  "targets.planners",
                  "at least one planner is required"};
        return false;
    }
    if (std::any_of(streams.begin(), streams.end(), is_direct) &&
        !find_direct_targets(reason))
    {
        return false;
    }
    platform_before_ = counts_now(experiment_.targets.platform);
    upstreams_before_ = counts_now(experiment_.targets.upstreams);
    workers_before_ = counts_now(experiment_.targets.workers);
    entries_.start();
    auto const deadline = clock::now() + max_check_time;
    while (!entries_.checked_all() && clock::now() < deadline)
    {
        io_.run_one_for(idle_check_interval);
    }
    return true;
}

bool load_run::find_direct_targets(core::common::failure& reason)
{
    if (!experiment_.targets.platform)
    {
        reason = {result_code::missing_key,
                  "targets.platform",
                  "direct traffic needs the list of upstreams"};
        return false;
    }
    auto const answer =
        get(*experiment_.targets.platform, "/v1/catalog/service/upstream");
    core::common::failure ignored; // The other upstreams are enough.
    auto const listed = adapters::platform::parse_upstreams(
        answer ? answer->body : std::string(), ignored);
    std::vector<ports::endpoint> targets;
    for (auto const& upstream : listed.value_or(decltype(listed)::value_type()))
    {
        targets.push_back(upstream.remote_endpoint);
    }
    if (targets.empty())
    {
        reason = {result_code::not_found,
                  "targets.platform",
                  "the platform lists no upstreams"};
        return false;
    }
    client_.set_direct_targets(std::move(targets));
    return true;
}

void load_run::make_arrivals()
{
    std::uint64_t seed = experiment_.seed;
    for (auto const& traffic : experiment_.streams)
    {
        seed += stream_seed_step;
        streams_.emplace_back(arrival_stream::shape{traffic.rate,
                                                    traffic.poisson,
                                                    traffic.from,
                                                    traffic.until,
                                                    traffic.burst_size,
                                                    traffic.burst_every},
                              experiment_.phases,
                              seed);
    }
    constexpr double minute = 60.0;
    for (auto const& job : experiment_.jobs)
    {
        seed += stream_seed_step;
        arrival_stream::shape shape;
        shape.rate = job.per_minute / minute;
        shape.from = job.from;
        shape.until = job.until;
        streams_.emplace_back(shape, experiment_.phases, seed);
    }
    for (std::size_t stream = 0; stream < streams_.size(); ++stream)
    {
        push_next(stream);
    }
}

void load_run::push_next(std::size_t stream)
{
    if (auto const due = streams_[stream].next())
    {
        arrivals_.push({*due, stream});
    }
}

void load_run::send_due_arrivals()
{
    std::size_t handled = 0;
    while (!arrivals_.empty() && handled < arrival_batch &&
           start_ + arrivals_.top().due <= clock::now())
    {
        auto const next = arrivals_.top();
        arrivals_.pop();
        push_next(next.stream);
        if (next.stream < experiment_.streams.size())
        {
            client_.send(next.stream, start_ + next.due);
        }
        else
        {
            submitter_.submit(next.stream - experiment_.streams.size());
        }
        ++handled;
    }
    if (arrivals_.empty())
    {
        return;
    }
    arrival_timer_.expires_at(start_ + arrivals_.top().due);
    arrival_timer_.async_wait(
        [this](auto error)
        {
            if (!error)
            {
                send_due_arrivals();
            }
        });
}

void load_run::start_events()
{
    for (auto const& event : experiment_.events)
    {
        auto const timer =
            std::make_shared<adapters::runtime::timer>(io_, event.at);
        timer->async_wait(
            [this, timer, &event](auto error)
            {
                if (!error && !stopping_)
                {
                    send_event(event, 0);
                }
            });
    }
}

void load_run::start_sampler()
{
    if (!experiment_.targets.workers || experiment_.jobs.empty())
    {
        return;
    }
    auto const phase = [this]
    {
        return experiment_.phases[experiment_.phase_at(clock::now() - start_)]
            .name;
    };
    services_.emplace(io_, *experiment_.targets.workers, phase);
    services_->start();
}

void load_run::send_event(timed_event const& event, std::size_t attempts)
{
    adapters::http::client_call call;
    call.remote_endpoint = event.endpoint;
    if (event.planner)
    {
        auto const& planners = experiment_.targets.planners;
        call.remote_endpoint = planners[attempts % planners.size()];
    }
    call.message.method = event.method;
    call.message.target = event.path;
    call.message.body = event.body;
    if (event.with_token)
    {
        call.message.headers = {
            {"Authorization", "Bearer " + experiment_.targets.token}};
    }
    events_.send(
        std::move(call),
        [this, &event, attempts](ports::exchange_status status,
                                 adapters::http::response const& answer)
        {
            on_event_end(event, attempts, status, answer);
        });
}

// Calls to a planner are retried if the planner does not answer or the call
// lost a race, as an operator would. Failed events are counted, since a run
// without its event did not measure the experiment.
void load_run::on_event_end(timed_event const& event,
                            std::size_t attempts,
                            ports::exchange_status status,
                            adapters::http::response const& answer)
{
    bool const answered = status == ports::exchange_status::answered;
    bool const done = answered && answer.status == ok;
    std::cout << "event " << event.method << ' ' << event.path << ' '
              << event.body << ": "
              << (answered ? std::to_string(answer.status) + " " + answer.body
                           : std::string("no answer"))
              << std::endl;
    if (!done && event.planner && attempts + 1 < max_event_attempts)
    {
        send_event(event, attempts + 1);
        return;
    }
    events_failed_ += done ? 0 : 1;
}

void load_run::show_progress()
{
    progress_timer_.expires_after(progress_interval);
    progress_timer_.async_wait(
        [this](auto error)
        {
            if (error)
            {
                return;
            }
            auto const& total = statistics_.total();
            auto const& by_second = statistics_.by_second();
            auto const second =
                std::chrono::duration_cast<std::chrono::seconds>(clock::now() -
                                                                 start_)
                    .count();
            auto const index = static_cast<std::size_t>(second - 1);
            std::cout << "t=" << second << " sent=" << client_.sent()
                      << " answered=" << total.count(request_result::answered)
                      << " refused=" << total.count(request_result::refused)
                      << " unknown=" << total.count(request_result::unknown)
                      << " lost=" << total.count(request_result::lost)
                      << " in_flight=" << client_.in_flight()
                      << " ready=" << entries_.ready();
            if (index < by_second.size())
            {
                std::cout << " p50_us="
                          << by_second[index].latency.quantile(0.5)
                          << " p99_us="
                          << by_second[index].latency.quantile(0.99);
            }
            std::cout << " jobs=" << submitter_.counts().accepted << std::endl;
            show_progress();
        });
}

// Terminates because each request ends at the latest `answer_timeout` after its
// deadline, and each job after its last attempt.
void load_run::end_when_idle()
{
    bool const idle = arrivals_.empty() && client_.in_flight() == 0 &&
                      submitter_.pending_jobs() == 0 &&
                      clock::now() >= start_ + experiment_.length();
    end_timer_.expires_after(idle ? experiment_.drain_time
                                  : idle_check_interval);
    end_timer_.async_wait(
        [this, idle](auto error)
        {
            if (error)
            {
                return;
            }
            if (idle)
            {
                stop();
                return;
            }
            end_when_idle();
        });
}

void load_run::stop()
{
    stopping_ = true;
    io_.stop();
}

run_report load_run::make_report()
{
    run_report report;
    report.name = experiment_.name;
    report.seed = experiment_.seed;
    report.seconds =
        std::chrono::duration<double>(clock::now() - start_).count();
    report.requests = std::move(statistics_);
    report.jobs = submitter_.counts();
    report.job_reason = submitter_.last_reason();
    report.events_failed = events_failed_;
    if (services_)
    {
        report.services = services_->by_phase();
    }
    report.platform =
        difference(platform_before_, counts_now(experiment_.targets.platform));
    report.upstreams = difference(upstreams_before_,
                                  counts_now(experiment_.targets.upstreams));
    report.workers =
        difference(workers_before_, counts_now(experiment_.targets.workers));
    return report;
}

} // namespace fuchsia::tools::load
