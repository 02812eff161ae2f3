#include "programs/planner/planner_program.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <utility>

namespace fuchsia::programs::planner
{

namespace
{

namespace tasks = core::tasks;
using adapters::http::request;
using adapters::http::response;
using core::common::clock;
using core::common::time_point;

/// Calls to workers under way at once; one more counts as never sent.
constexpr std::uint32_t max_worker_calls = 2048;
constexpr std::size_t report_ring = 4096;
constexpr std::size_t small_ring = 16;
constexpr core::common::duration sample_interval = std::chrono::seconds(1);
constexpr std::string_view jobs_path = "/v1/jobs";

bool is_for_jobs(std::string_view target)
{
    if (!target.starts_with(jobs_path))
    {
        return false;
    }
    auto const rest = target.substr(jobs_path.size());
    return rest.empty() || rest.front() == '/' || rest.front() == '?';
}

response to_response(ports::caller_answer answer)
{
    answer.headers.push_back(
        {"Fuchsia-Outcome", std::string(core::common::name_of(answer.says))});
    return {answer.status, std::move(answer.headers), std::move(answer.body)};
}

adapters::daemon::shell_options options()
{
    adapters::daemon::shell_options out;
    out.service = "fuchsia-planner";
    out.http.connections = 256;
    out.waiting_requests = 1024;
    return out;
}

} // namespace

planner_program::planner_program(adapters::settings::planner_file settings)
    : settings_(std::move(settings)),
      shell_(settings_.daemon, options(), events()),
      calls_(workers_duty_,
             max_worker_calls,
             [this](call_out& out)
             {
                 // Two engines number their calls alike. Kept by those numbers,
                 // an old "stopped" could be taken for the answer to a new
                 // call, and the task be started a second time.
                 auto const number = ++last_call_;
                 open_calls_[number] = {out.generation, out.call.id};
                 out.call.id = number;
                 client_->send(std::move(out.call));
             }),
      replies_(shell_.decisions(),
               max_worker_calls,
               [this](reply_in& in)
               {
                   --in_flight_;
                   if (in.generation == generation_)
                   {
                       auto const now = clock::now();
                       catch_up(now);
                       engine_->on_worker_reply(now, in.reply, actions_);
                       perform();
                   }
               }),
      reports_(shell_.decisions(),
               report_ring,
               [this](ports::worker_report& report)
               {
                   auto const now = clock::now();
                   catch_up(now);
                   engine_->on_worker_report(now, report, actions_);
                   perform();
               }),
      lists_(shell_.decisions(),
             small_ring,
             [this](ports::worker_list& list)
             {
                 auto const now = clock::now();
                 catch_up(now);
                 engine_->on_workers(now, list, actions_);
                 perform();
             }),
      follows_(workers_duty_,
               small_ring,
               [this](std::vector<std::string>& racks)
               {
                   client_->follow(std::move(racks));
               })
{
    adapters::platform::worker_handlers handlers;
    handlers.on_workers = [this](ports::worker_list list)
    {
        lists_.try_push(std::move(list));
    };
    // A report that finds no room is replaced by the next one.
    handlers.on_report = [this](ports::worker_report report)
    {
        reports_.try_push(std::move(report));
    };
    handlers.on_reply = [this](ports::worker_reply reply)
    {
        auto const asked = open_calls_.extract(reply.id).mapped();
        reply.id = asked.id;
        // Never full: it has a place for each call in flight.
        replies_.try_push(reply_in{asked.generation, std::move(reply)});
    };
    client_ = std::make_unique<adapters::platform::worker_client>(
        workers_duty_.io(),
        settings_.daemon.workers,
        settings_.daemon.list_interval,
        std::move(handlers));
}

// The decision thread goes first: it must not meet an engine or a ring that is
// destroyed already.
planner_program::~planner_program()
{
    shell_.decisions().stop();
    workers_duty_.stop();
}

adapters::daemon::shell_events planner_program::events()
{
    adapters::daemon::shell_events out;
    // The workers are asked only from here on. Asked earlier, the first list
    // could arrive before there is an engine to take it, and the process died
    // at its start, now and then, without a line in the log.
    out.on_start = [this](time_point now)
    {
        begin(now);
        boost::asio::post(workers_duty_.io(),
                          [this]
                          {
                              client_->start();
                          });
    };
    out.on_tick = [this](time_point now)
    {
        tick(now);
    };
    out.on_store_reply = [this](time_point now, ports::store_reply const& reply)
    {
        on_store_reply(now, reply);
    };
    out.on_peer = [this](time_point now, ports::peer_receive& message)
    {
        engine_->on_peer(now, message, actions_);
        perform();
    };
    out.on_instances = [this](time_point now, ports::instance_list const& list)
    {
        engine_->on_instances(now, list, actions_);
        perform();
    };
    out.on_request = [this](time_point now, std::uint64_t id, request& asked)
    {
        on_request(now, id, asked);
    };
    out.on_stop = [this](time_point now)
    {
        adapters::logging::write(ports::severity::info, "planned_stop", {});
        engine_->begin_stop(now, actions_);
        perform();
    };
    out.on_rejoin = [this](time_point now, ports::member_identity const&)
    {
        ++generation_;
        abandon_requests();
        begin(now);
    };
    out.screen = [this](request const& asked)
    {
        return screen(asked);
    };
    return out;
}

std::optional<int> planner_program::run(core::common::failure& reason)
{
    if (!shell_.listen(reason))
    {
        return std::nullopt;
    }
    workers_duty_.start();
    return shell_.run();
}

void planner_program::begin(time_point now)
{
    make_engine();
    engine_->start(now, actions_);
    perform();
}

void planner_program::make_engine()
{
    core::membership::member_info self;
    self.id = shell_.self();
    self.role = "planner";
    self.data_centre = settings_.daemon.data_centre;
    self.peer_address = shell_.peer_address();
    self.http_address = shell_.http_address();
    engine_ = std::make_unique<tasks::planner_engine>(
        settings_.planner, self, self.id.incarnation);
    administration_settings for_operators;
    for_operators.bury = settings_.daemon.membership.bury;
    administration_ = std::make_unique<administration>(for_operators, self.id);
    followed_.clear();
}

void planner_program::tick(time_point now)
{
    last_tick_ = now;
    engine_->tick(now, actions_);
    administration_->tick(now, view(), actions_, answers_);
    follow_racks();
    sample(now);
    perform();
}

// Reports and answers that waited while the process was frozen must find an
// engine that knows of the gap.
void planner_program::catch_up(time_point now)
{
    if (now - last_tick_ >= 2 * adapters::daemon::shell::tick_interval)
    {
        tick(now);
    }
}

void planner_program::on_store_reply(time_point now,
                                     ports::store_reply const& reply)
{
    if (!engine_->on_store_reply(now, reply, actions_))
    {
        administration_->on_store_reply(now, reply, view(), actions_, answers_);
    }
    perform();
}

// Runs on the HTTP thread, and so touches nothing that changes.
std::optional<response> planner_program::screen(request const& asked) const
{
    auto const authorization = asked.header("Authorization").value_or("");
    if (!bears_token(authorization, settings_.daemon.token))
    {
        return adapters::http::failure_response(
            {core::common::result_code::bad_token,
             "Authorization",
             "the token is absent or wrong"});
    }
    if (!is_for_jobs(asked.target) && !administration::handles(asked.target))
    {
        return adapters::http::failure_response(
            {core::common::result_code::unknown_path,
             asked.target,
             "no such path"});
    }
    return std::nullopt;
}

void planner_program::on_request(time_point now,
                                 std::uint64_t id,
                                 request& asked)
{
    open_requests_.insert(id);
    if (is_for_jobs(asked.target))
    {
        engine_->on_job_request(now,
                                {id,
                                 std::move(asked.method),
                                 std::move(asked.target),
                                 std::move(asked.body)},
                                actions_);
    }
    else
    {
        administration_->on_request(now, id, asked, view(), actions_, answers_);
    }
    perform();
}

administration_view planner_program::view()
{
    return {engine_->follower(),
            engine_->members(),
            [this]
            {
                core::config::name_set names;
                for (auto const& [id, worker] : engine_->workers().all())
                {
                    names.insert(worker.info.data_centre);
                }
                return names;
            },
            [this]
            {
                return status();
            }};
}

// The planner's part of the status: what all cells published last, and what
// this planner owns.
boost::json::object planner_program::status() const
{
    auto const totals = engine_->totals();
    std::size_t quarantined = 0;
    auto const now = clock::now();
    for (auto const& [id, worker] : engine_->workers().all())
    {
        quarantined +=
            worker.quarantined_until && now < *worker.quarantined_until ? 1 : 0;
    }
    return {{"workers",
             boost::json::object{{"listed", engine_->workers().all().size()},
                                 {"quarantined_here", quarantined},
                                 {"free_millicores", totals.free.millicores},
                                 {"free_memory_mb", totals.free.memory_mb}}},
            {"tasks",
             boost::json::object{{"queued", totals.queued_tasks},
                                 {"running", totals.running_tasks}}},
            {"jobs",
             boost::json::object{{"live", totals.live_jobs},
                                 {"ended", totals.ended_jobs}}},
            {"cells_here", engine_->cells().size()}};
}

void planner_program::perform()
{
    for (auto& action : std::exchange(actions_, {}))
    {
        if (auto* call = std::get_if<ports::worker_call>(&action))
        {
            send_to_worker(std::move(*call));
        }
        else if (auto* reply = std::get_if<ports::caller_reply>(&action))
        {
            answer(reply->caller, to_response(std::move(reply->answer)));
        }
        else
        {
            shell_.perform(action);
        }
    }
    for (auto& answer : std::exchange(answers_, {}))
    {
        this->answer(answer.request, std::move(answer.response));
    }
}

void planner_program::answer(std::uint64_t request, response message)
{
    open_requests_.erase(request);
    shell_.answer(request, std::move(message));
}

// The engine that took them is gone, and nobody else will answer them: an
// operator would wait for ever, and a planned stop for that operator.
void planner_program::abandon_requests()
{
    for (auto const id : std::exchange(open_requests_, {}))
    {
        shell_.answer(id,
                      adapters::http::failure_response(
                          {core::common::result_code::store_unclear,
                           "",
                           "this planner was replaced while it worked on it; "
                           "look before you repeat it"}));
    }
}

void planner_program::send_to_worker(ports::worker_call call)
{
    auto const id = call.id;
    call_out out{generation_, std::move(call)};
    if (in_flight_ < max_worker_calls && calls_.try_push(out))
    {
        ++in_flight_;
        return;
    }
    // Never sent; posted, since the engine is still being served.
    boost::asio::post(shell_.decisions().io(),
                      [this, id, generation = generation_]
                      {
                          if (generation == generation_)
                          {
                              ports::worker_reply reply;
                              reply.id = id;
                              reply.status = ports::worker_status::unreachable;
                              engine_->on_worker_reply(
                                  clock::now(), reply, actions_);
                              perform();
                          }
                      });
}

void planner_program::follow_racks()
{
    auto racks = engine_->racks();
    if (racks != followed_ && follows_.try_push(racks))
    {
        followed_ = engine_->racks();
    }
}

void planner_program::sample(time_point now)
{
    shell_.set_ready(engine_->ready(now));
    if (now < next_sample_)
    {
        return;
    }
    next_sample_ = now + sample_interval;
    auto& metrics = shell_.metrics();
    auto const& counts = engine_->counters();
    std::array<std::pair<char const*, std::uint64_t>, 7> const ends{
        {{"finished", counts.finished},
         {"failed", counts.failed},
         {"stopped", counts.stopped},
         {"lost", counts.lost},
         {"refused", counts.refused},
         {"unsent", counts.unsent},
         {"started", counts.started}}};
    for (auto const& [what, value] : ends)
    {
        metrics
            .gauge("fuchsia_task_attempts",
                   "Attempts since this planner joined, by what became of them",
                   {{"what", what}})
            .Set(static_cast<double>(value));
    }
    std::array<std::pair<char const*, std::uint64_t>, 4> const evictions{
        {{"data_centre_out", counts.evicted_data_centre},
         {"over_contract", counts.evicted_contract},
         {"guard", counts.evicted_guard},
         {"memory_pressure", counts.evicted_memory}}};
    for (auto const& [why, value] : evictions)
    {
        metrics
            .gauge("fuchsia_task_evictions",
                   "Evictions since this planner joined, by reason",
                   {{"why", why}})
            .Set(static_cast<double>(value));
    }
    std::size_t queued = 0;
    std::size_t running = 0;
    for (auto const& [name, cell] : engine_->cells())
    {
        auto const of = cell->counts();
        queued += of.queued;
        running += of.running;
    }
    auto const set =
        [&metrics](char const* name, char const* help, double value)
    {
        metrics.gauge(name, help).Set(value);
    };
    set("fuchsia_tasks_queued",
        "Tasks that wait in the cells of this planner",
        static_cast<double>(queued));
    set("fuchsia_tasks_running",
        "Attempts under way in the cells of this planner",
        static_cast<double>(running));
    set("fuchsia_cells_owned",
        "Cells that this planner owns",
        static_cast<double>(engine_->cells().size()));
    set("fuchsia_proof_age_seconds",
        "Age of the newest proof of membership",
        adapters::metrics::seconds(engine_->members().proof_age(now)));
    set("fuchsia_config_revision",
        "Revision of the configuration in force here",
        static_cast<double>(engine_->follower().current().revision));
    for (std::size_t owner = 0; owner < tasks::call_owner_count; ++owner)
    {
        auto const kind = static_cast<tasks::call_owner>(owner);
        metrics
            .gauge("fuchsia_task_store_calls",
                   "Store calls of the tasks part, by what they were for",
                   {{"for", std::string(tasks::name_of(kind))}})
            .Set(static_cast<double>(engine_->calls().count(kind)));
    }
}

} // namespace fuchsia::programs::planner
