#include "tools/soak/traffic_generator.hpp"

#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace fuchsia::tools::soak
{

namespace
{

using namespace std::chrono_literals;
using core::common::clock;
using core::common::duration;
using ports::exchange_status;
using ports::job_state;

constexpr duration answer_limit = 2s;
constexpr duration try_again = 300ms;
constexpr duration ask_interval = 80ms;
constexpr duration ask_all_interval = 500ms;
constexpr std::uint32_t most_tries = 12;

call_outcome end_of(exchange_status status, std::uint16_t code)
{
    if (status != exchange_status::answered)
    {
        return status == exchange_status::timed_out
                   ? call_outcome::timed_out
                   : call_outcome::disconnected;
    }
    switch (code)
    {
    case 200:
        return call_outcome::done;
    case 429:
    case 503:
        return call_outcome::refused;
    case 404:
    case 410:
        return call_outcome::not_found;
    default:
        return call_outcome::unknown;
    }
}

job_state state_in(std::string const& body)
{
    constexpr std::array<std::pair<std::string_view, job_state>, 4> names{{
        {"active", job_state::active},
        {"completed", job_state::completed},
        {"failed", job_state::failed},
        {"cancelled", job_state::cancelled},
    }};
    for (auto const& [name, state] : names)
    {
        if (body.find(name) != std::string::npos)
        {
            return state;
        }
    }
    return job_state::queued;
}

std::uint64_t number_in(std::string const& body)
{
    std::uint64_t made = 0;
    auto const at = body.find_first_of("0123456789");
    if (at != std::string::npos)
    {
        std::from_chars(body.data() + at, body.data() + body.size(), made);
    }
    return made;
}

std::string body_of(planned_job const& job)
{
    std::ostringstream out;
    out << R"({"taskSpec":")" << job.spec << R"(","steps":[)";
    char const* comma = "";
    for (auto const& step : job.shape.steps)
    {
        out << comma << R"({"count":)" << step.count
            << R"(,"cpu":1000,"memMb":100,"estimateMs":800)";
        if (!step.after.empty())
        {
            out << R"(,"after":[)" << step.after.front() << ']';
        }
        out << (step.lasting ? R"(,"longRunning":true})" : "}");
        comma = ",";
    }
    out << "]}";
    return out.str();
}

bool is_over(job_state state)
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

} // namespace

traffic_generator::traffic_generator(boost::asio::io_context& io,
                                     instance_group& to,
                                     observation_log& out,
                                     std::uint64_t seed)
    : io_(io), to_(to), out_(out), random_(seed + 3)
{
    adapters::http::client_settings settings;
    settings.idle_timeout = std::chrono::hours(1);
    for (std::uint32_t number = 0; number < caller_count; ++number)
    {
        clients_.push_back(
            std::make_unique<adapters::http::client>(io_, settings));
    }
}

void traffic_generator::later(duration wait, std::function<void()> what)
{
    auto const timer = std::make_shared<adapters::runtime::timer>(io_);
    timer->expires_after(wait);
    timer->async_wait(
        [this, timer, what = std::move(what)](boost::system::error_code error)
        {
            if (!error && !stopped_)
            {
                what();
            }
        });
}

void traffic_generator::begin(std::vector<planned_job> const& jobs)
{
    for (auto const& each : jobs)
    {
        jobs_.push_back(std::make_unique<entry>());
        jobs_.back()->plan = each;
        later(each.at,
              [this, job = jobs_.back().get()]
              {
                  submit(*job);
              });
    }
    ask_some();
}

void traffic_generator::ask(std::uint32_t caller,
                            std::size_t instance,
                            std::string const& method,
                            std::string const& queue,
                            std::string const& id,
                            std::string const& body,
                            after then)
{
    adapters::http::client_call call;
    call.remote_endpoint = to_.submissions(instance % to_.size());
    call.message = {method,
                    "/" + queue + "/" + id,
                    {{"Host", queue + ".example"}},
                    body,
                    ""};
    call.timeout = answer_limit;
    clients_[caller % caller_count]->send(
        std::move(call),
        [this, then = std::move(then)](exchange_status status,
                                       adapters::http::response const& answer)
        {
            if (!stopped_)
            {
                then(end_of(status, answer.status), answer.body);
            }
        });
}

void traffic_generator::submit(entry& job)
{
    auto const& plan = job.plan;
    out_.append(submit_sent{plan.id, plan.shape});
    ask(plan.caller,
        plan.instance + job.tries++,
        "POST",
        plan.shape.queue,
        plan.id,
        body_of(plan),
        [this, &job](call_outcome how, std::string const&)
        {
            out_.append(submit_ended{job.plan.id, how});
            on_submitted(job, how);
        });
}

void traffic_generator::on_submitted(entry& job, call_outcome how)
{
    constexpr duration shortest_repeat = 500ms;
    constexpr duration longest_repeat = 4s;
    job.refused = job.refused && how == call_outcome::refused;
    if (how != call_outcome::done)
    {
        bool const again =
            how != call_outcome::refused || job.plan.retries_refusals;
        if (again && job.tries < most_tries && !ended_at_)
        {
            later(try_again,
                  [this, &job]
                  {
                      submit(job);
                  });
        }
        return;
    }
    job.accepted = true;
    accepted_.push_back(&job);
    if (job.plan.cancel_after)
    {
        later(*job.plan.cancel_after,
              [this, &job]
              {
                  if (!std::exchange(job.cancelling, true))
                  {
                      cancel(job, job.plan.instance + job.tries);
                  }
              });
    }
    if (job.plan.resubmitted)
    {
        later(random_.between(shortest_repeat, longest_repeat),
              [this, &job]
              {
                  repeat(job);
              });
    }
}

void traffic_generator::repeat(entry& job)
{
    auto const& plan = job.plan;
    out_.append(submit_sent{plan.id, plan.shape});
    ask(plan.caller,
        plan.instance + job.tries + 1,
        "POST",
        plan.shape.queue,
        plan.id,
        body_of(plan),
        [this, &job](call_outcome how, std::string const&)
        {
            out_.append(submit_ended{job.plan.id, how});
        });
}

// From the sending on it may be carried out, which is told as a cancel whose
// fate is unknown.
void traffic_generator::cancel(entry& job, std::size_t instance)
{
    auto const& plan = job.plan;
    out_.append(cancel_ended{plan.id, call_outcome::unknown});
    ask(plan.caller,
        instance,
        "DELETE",
        plan.shape.queue,
        plan.id,
        "",
        [this, &job, instance](call_outcome how, std::string const&)
        {
            out_.append(cancel_ended{job.plan.id, how});
            if (how != call_outcome::done && how != call_outcome::not_found)
            {
                later(try_again,
                      [this, &job, instance]
                      {
                          cancel(job, instance + 1);
                      });
            }
        });
}

void traffic_generator::ask_state(entry& job, std::size_t instance)
{
    auto const at = instance % to_.size();
    auto const asked = clock::now();
    ask(job.plan.caller,
        at,
        "GET",
        job.plan.shape.queue,
        job.plan.id,
        "",
        [this, &job, at, asked](call_outcome how, std::string const& body)
        {
            auto const state =
                how == call_outcome::done ? state_in(body) : job_state::queued;
            if (how == call_outcome::done && !is_over(job.state))
            {
                job.state = state;
            }
            job.confirmed = job.confirmed || (ended_at_ && is_over(state) &&
                                              asked >= *ended_at_);
            out_.append(status_query_ended{
                job.plan.id, to_.name(at), asked, how, state});
        });
}

void traffic_generator::ask_waiting()
{
    auto const at = random_.below(to_.size());
    std::string const queue(random_.true_with_percent(50) ? first_queue
                                                          : second_queue);
    auto const asked = clock::now();
    ask(random_.below(caller_count),
        at,
        "GET",
        queue,
        "",
        "",
        [this, queue, at, asked](call_outcome how, std::string const& body)
        {
            auto const jobs = how == call_outcome::done ? number_in(body) : 0;
            out_.append(
                waiting_query_ended{queue, to_.name(at), asked, how, jobs});
        });
}

// An answer that came from another life of the process than was asked counts
// for neither.
void traffic_generator::ask_queue()
{
    auto const at = random_.below(to_.size());
    auto const queue = extra_queue(random_.below(extra_queue_count));
    auto const asked = clock::now();
    auto const life = to_.incarnation(at);
    ask(random_.below(caller_count),
        at,
        "GET",
        queue,
        "",
        "",
        [this, queue, at, asked, life](call_outcome how, std::string const&)
        {
            bool const told =
                how == call_outcome::done || how == call_outcome::not_found;
            if (told && life == to_.incarnation(at))
            {
                out_.append(queue_seen{queue,
                                       to_.name(at),
                                       life,
                                       asked,
                                       how == call_outcome::done});
            }
        });
}

void traffic_generator::ask_some()
{
    if (ended_at_)
    {
        return;
    }
    if (!accepted_.empty())
    {
        auto& job = *accepted_[random_.below(accepted_.size())];
        ask_state(job, random_.below(to_.size()));
    }
    ask_queue();
    if (random_.true_with_percent(40))
    {
        ask_waiting();
    }
    later(ask_interval,
          [this]
          {
              ask_some();
          });
}

void traffic_generator::end()
{
    ended_at_ = clock::now();
    for (auto* const job : accepted_)
    {
        bool const lasting = job->plan.shape.steps.front().lasting;
        if (lasting && !std::exchange(job->cancelling, true))
        {
            cancel(*job, job->plan.instance);
        }
    }
    ask_all();
}

void traffic_generator::ask_all()
{
    ++round_;
    for (std::size_t number = 0; number < accepted_.size(); ++number)
    {
        if (!accepted_[number]->confirmed)
        {
            ask_state(*accepted_[number], number + round_);
        }
    }
    later(ask_all_interval,
          [this]
          {
              ask_all();
          });
}

bool traffic_generator::all_finished() const
{
    for (auto const* const job : accepted_)
    {
        if (!job->confirmed)
        {
            return false;
        }
    }
    return ended_at_.has_value();
}

void traffic_generator::stop()
{
    stopped_ = true;
    for (auto const& each : clients_)
    {
        each->close();
    }
}

traffic_counts traffic_generator::counts() const
{
    traffic_counts made;
    for (auto const& each : jobs_)
    {
        made.accepted += each->accepted ? 1U : 0U;
        made.refused += !each->accepted && each->refused ? 1U : 0U;
        made.unknown += !each->accepted && !each->refused ? 1U : 0U;
        made.completed += each->state == job_state::completed ? 1U : 0U;
    }
    return made;
}

} // namespace fuchsia::tools::soak
