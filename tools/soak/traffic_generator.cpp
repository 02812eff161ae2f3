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

constexpr duration answer_timeout = 2s;
constexpr duration retry_interval = 300ms;
constexpr duration query_interval = 80ms;
constexpr duration final_query_interval = 500ms;
constexpr std::uint32_t maximum_tries = 12;

call_outcome outcome_of(exchange_status status, std::uint16_t code)
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
    std::uint64_t result = 0;
    auto const at = body.find_first_of("0123456789");
    if (at != std::string::npos)
    {
        std::from_chars(body.data() + at, body.data() + body.size(), result);
    }
    return result;
}

std::string body_of(planned_job const& job)
{
    std::ostringstream out;
    out << R"({"taskSpec":")" << job.spec << R"(","steps":[)";
    char const* comma = "";
    for (auto const& step : job.shape.steps)
    {
        out << comma << R"({"count":)" << step.count << R"(,"cpu":)"
            << step.millicores << R"(,"memMb":100,"estimateMs":800)";
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
                                     instance_group& instances,
                                     observation_log& out,
                                     std::uint64_t seed)
    : io_(io), instances_(instances), out_(out), random_(seed + 3)
{
    adapters::http::client_settings settings;
    settings.idle_timeout = std::chrono::hours(1);
    for (std::uint32_t number = 0; number < caller_count; ++number)
    {
        clients_.push_back(
            std::make_unique<adapters::http::client>(io_, settings));
    }
}

void traffic_generator::run_after(duration wait, std::function<void()> action)
{
    auto const timer = std::make_shared<adapters::runtime::timer>(io_);
    timer->expires_after(wait);
    timer->async_wait(
        [this, timer, action = std::move(action)](
            boost::system::error_code error)
        {
            if (!error && !stopped_)
            {
                action();
            }
        });
}

void traffic_generator::begin(std::vector<planned_job> const& jobs)
{
    for (auto const& element : jobs)
    {
        jobs_.push_back(std::make_unique<entry>());
        jobs_.back()->plan = element;
        run_after(element.at,
                  [this, job = jobs_.back().get()]
                  {
                      submit(*job);
                  });
    }
    query_sample();
}

void traffic_generator::send_request(std::uint32_t caller,
                                     std::size_t instance,
                                     std::string const& method,
                                     std::string const& queue,
                                     std::string const& id,
                                     std::string const& body,
                                     answer_handler on_answer)
{
    adapters::http::client_call call;
    call.remote_endpoint = instances_.submissions(instance % instances_.size());
    call.message = {method,
                    "/" + queue + "/" + id,
                    {{"Host", queue + ".example"}},
                    body,
                    ""};
    call.timeout = answer_timeout;
    clients_[caller % caller_count]->send(
        std::move(call),
        [this, on_answer = std::move(on_answer)](
            exchange_status status, adapters::http::response const& answer)
        {
            if (!stopped_)
            {
                on_answer(outcome_of(status, answer.status), answer.body);
            }
        });
}

void traffic_generator::submit(entry& job)
{
    auto const& plan = job.plan;
    out_.append(submit_sent{plan.id, plan.shape});
    send_request(plan.caller,
                 plan.instance + job.tries++,
                 "POST",
                 plan.shape.queue,
                 plan.id,
                 body_of(plan),
                 [this, &job](call_outcome outcome, std::string const&)
                 {
                     out_.append(submit_ended{job.plan.id, outcome});
                     handle_submit_answer(job, outcome);
                 });
}

void traffic_generator::handle_submit_answer(entry& job, call_outcome outcome)
{
    constexpr duration shortest_repeat = 500ms;
    constexpr duration longest_repeat = 4s;
    job.refused = job.refused && outcome == call_outcome::refused;
    if (outcome != call_outcome::done)
    {
        bool const again =
            outcome != call_outcome::refused || job.plan.retries_refusals;
        if (again && job.tries < maximum_tries && !traffic_ended_at_)
        {
            run_after(retry_interval,
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
        run_after(*job.plan.cancel_after,
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
        run_after(random_.between(shortest_repeat, longest_repeat),
                  [this, &job]
                  {
                      resubmit(job);
                  });
    }
}

void traffic_generator::resubmit(entry& job)
{
    auto const& plan = job.plan;
    out_.append(submit_sent{plan.id, plan.shape});
    send_request(plan.caller,
                 plan.instance + job.tries + 1,
                 "POST",
                 plan.shape.queue,
                 plan.id,
                 body_of(plan),
                 [this, &job](call_outcome outcome, std::string const&)
                 {
                     out_.append(submit_ended{job.plan.id, outcome});
                 });
}

// The cancel may take effect as soon as it has been sent. This is recorded as a
// cancel with unknown outcome before the call.
void traffic_generator::cancel(entry& job, std::size_t instance)
{
    auto const& plan = job.plan;
    out_.append(cancel_ended{plan.id, call_outcome::unknown});
    send_request(
        plan.caller,
        instance,
        "DELETE",
        plan.shape.queue,
        plan.id,
        "",
        [this, &job, instance](call_outcome outcome, std::string const&)
        {
            out_.append(cancel_ended{job.plan.id, outcome});
            if (outcome != call_outcome::done &&
                outcome != call_outcome::not_found)
            {
                run_after(retry_interval,
                          [this, &job, instance]
                          {
                              cancel(job, instance + 1);
                          });
            }
        });
}

void traffic_generator::query_state(entry& job, std::size_t instance)
{
    auto const at = instance % instances_.size();
    auto const requested_at = clock::now();
    send_request(job.plan.caller,
                 at,
                 "GET",
                 job.plan.shape.queue,
                 job.plan.id,
                 "",
                 [this, &job, at, requested_at](call_outcome outcome,
                                                std::string const& body)
                 {
                     auto const state = outcome == call_outcome::done
                                            ? state_in(body)
                                            : job_state::queued;
                     if (outcome == call_outcome::done && !is_over(job.state))
                     {
                         job.state = state;
                     }
                     bool const as_expected =
                         job.plan.kept ? outcome == call_outcome::done
                                       : is_over(state);
                     job.confirmed =
                         job.confirmed || (traffic_ended_at_ && as_expected &&
                                           requested_at >= *traffic_ended_at_);
                     out_.append(status_query_ended{job.plan.id,
                                                    instances_.name(at),
                                                    requested_at,
                                                    outcome,
                                                    state});
                 });
}

void traffic_generator::query_waiting()
{
    auto const at = random_.below(instances_.size());
    std::string const queue(random_.true_with_percent(50) ? first_queue
                                                          : second_queue);
    auto const requested_at = clock::now();
    send_request(
        random_.below(caller_count),
        at,
        "GET",
        queue,
        "",
        "",
        [this, queue, at, requested_at](call_outcome outcome,
                                        std::string const& body)
        {
            auto const jobs =
                outcome == call_outcome::done ? number_in(body) : 0;
            out_.append(waiting_query_ended{
                queue, instances_.name(at), requested_at, outcome, jobs});
        });
}

// An answer is discarded if the process was restarted since the query was sent,
// because it can't be attributed to either incarnation.
void traffic_generator::query_queue()
{
    auto const at = random_.below(instances_.size());
    auto const queue = extra_queue(random_.below(extra_queue_count));
    auto const requested_at = clock::now();
    auto const sent_incarnation = instances_.incarnation(at);
    send_request(
        random_.below(caller_count),
        at,
        "GET",
        queue,
        "",
        "",
        [this, queue, at, requested_at, sent_incarnation](call_outcome outcome,
                                                          std::string const&)
        {
            bool const has_answer = outcome == call_outcome::done ||
                                    outcome == call_outcome::not_found;
            if (has_answer && sent_incarnation == instances_.incarnation(at))
            {
                out_.append(queue_seen{queue,
                                       instances_.name(at),
                                       sent_incarnation,
                                       requested_at,
                                       outcome == call_outcome::done});
            }
        });
}

void traffic_generator::query_sample()
{
    if (traffic_ended_at_)
    {
        return;
    }
    if (!accepted_.empty())
    {
        auto& job = *accepted_[random_.below(accepted_.size())];
        query_state(job, random_.below(instances_.size()));
    }
    query_queue();
    if (random_.true_with_percent(40))
    {
        query_waiting();
    }
    run_after(query_interval,
              [this]
              {
                  query_sample();
              });
}

void traffic_generator::end()
{
    traffic_ended_at_ = clock::now();
    for (auto* const job : accepted_)
    {
        bool const lasting = job->plan.shape.steps.front().lasting;
        if (lasting && !job->plan.kept && !std::exchange(job->cancelling, true))
        {
            cancel(*job, job->plan.instance);
        }
    }
    query_unfinished();
}

void traffic_generator::query_unfinished()
{
    ++query_round_;
    for (std::size_t number = 0; number < accepted_.size(); ++number)
    {
        if (!accepted_[number]->confirmed)
        {
            query_state(*accepted_[number], number + query_round_);
        }
    }
    run_after(final_query_interval,
              [this]
              {
                  query_unfinished();
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
    return traffic_ended_at_.has_value();
}

void traffic_generator::stop()
{
    stopped_ = true;
    for (auto const& element : clients_)
    {
        element->close();
    }
}

traffic_counts traffic_generator::counts() const
{
    traffic_counts result;
    for (auto const& element : jobs_)
    {
        result.accepted += element->accepted ? 1U : 0U;
        result.refused += !element->accepted && element->refused ? 1U : 0U;
        result.unknown += !element->accepted && !element->refused ? 1U : 0U;
        result.completed += element->state == job_state::completed ? 1U : 0U;
    }
    return result;
}

} // namespace fuchsia::tools::soak
