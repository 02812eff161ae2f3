#include "programs/planner/planner_program.hpp"

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

/// Maximum number of worker calls in flight; a call above it is reported as
/// never sent.
constexpr std::uint32_t max_worker_calls = 2048;
constexpr std::size_t report_ring_capacity = 4096;
constexpr std::size_t small_ring_capacity = 16;

response to_response(ports::caller_answer answer)
{
    answer.headers.push_back(
        {"Fuchsia-Outcome",
         std::string(core::common::name_of(answer.outcome))});
    return {answer.status, std::move(answer.headers), std::move(answer.body)};
}

adapters::daemon::daemon_options options()
{
    adapters::daemon::daemon_options result;
    result.service = "fuchsia-planner";
    result.http.connections = 256;
    result.max_waiting_requests = 1024;
    return result;
}

} // namespace

planner_program::planner_program(
    adapters::settings::planner_daemon_settings settings)
    : settings_(std::move(settings)),
      runtime_(settings_.daemon, options(), handlers()),
      calls_(workers_thread_,
             max_worker_calls,
             [this](outgoing_call& message)
             {
                 // Two engines use the same call numbers. Under these numbers
                 // a late "stopped" for an earlier engine could be taken for
                 // the reply to a new call, and the task would be started a
                 // second time.
                 auto const number = ++last_call_;
                 open_calls_[number] = {message.generation, message.call.id};
                 message.call.id = number;
                 client_->send(std::move(message.call));
             }),
      replies_(runtime_.decisions(),
               max_worker_calls,
               [this](incoming_reply& in)
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
      reports_(runtime_.decisions(),
               report_ring_capacity,
               [this](ports::worker_report& report)
               {
                   auto const now = clock::now();
                   catch_up(now);
                   engine_->on_worker_report(now, report, actions_);
                   perform();
               }),
      lists_(runtime_.decisions(),
             small_ring_capacity,
             [this](ports::worker_list& list)
             {
                 auto const now = clock::now();
                 catch_up(now);
                 engine_->on_workers(now, list, actions_);
                 perform();
             }),
      rack_updates_(workers_thread_,
                    small_ring_capacity,
                    [this](std::vector<std::string>& racks)
                    {
                        client_->set_racks(std::move(racks));
                    })
{
    adapters::platform::worker_handlers handlers;
    handlers.on_workers = [this](ports::worker_list list)
    {
        lists_.try_push(std::move(list));
    };
    // A report dropped because the ring is full is superseded by the next one.
    handlers.on_report = [this](ports::worker_report report)
    {
        reports_.try_push(std::move(report));
    };
    handlers.on_reply = [this](ports::worker_reply reply)
    {
        auto const call = open_calls_.extract(reply.id).mapped();
        reply.id = call.id;
        // The ring is never full: its capacity is the maximum number of calls
        // in flight.
        replies_.try_push(incoming_reply{call.generation, std::move(reply)});
    };
    client_ = std::make_unique<adapters::platform::worker_client>(
        workers_thread_.io(),
        settings_.daemon.workers,
        settings_.daemon.list_interval,
        std::move(handlers));
}

// Both threads stop here, the decision thread first, so that neither uses an
// engine or a ring that is already destroyed.
planner_program::~planner_program()
{
    runtime_.decisions().stop();
    workers_thread_.stop();
}

adapters::daemon::daemon_handlers planner_program::handlers()
{
    adapters::daemon::daemon_handlers handlers;
    // Requests to the workers begin only after the engine exists. Otherwise the
    // first list can arrive before there is an engine to handle it, which
    // crashes the process at start without a log line.
    handlers.on_start = [this](time_point now)
    {
        start_engine(now);
        boost::asio::post(workers_thread_.io(),
                          [this]
                          {
                              client_->start();
                          });
    };
    handlers.on_tick = [this](time_point now)
    {
        tick(now);
    };
    handlers.on_store_reply =
        [this](time_point now, ports::store_reply const& reply)
    {
        on_store_reply(now, reply);
    };
    handlers.on_peer = [this](time_point now, ports::peer_receive& message)
    {
        engine_->on_peer(now, message, actions_);
        perform();
    };
    handlers.on_instances =
        [this](time_point now, ports::instance_list const& list)
    {
        engine_->on_instances(now, list, actions_);
        perform();
    };
    handlers.on_request =
        [this](time_point now, std::uint64_t id, request& message)
    {
        on_request(now, id, message);
    };
    handlers.on_stop = [this](time_point now)
    {
        adapters::logging::write(ports::severity::info, "planned_stop", {});
        engine_->begin_stop(now, actions_);
        perform();
    };
    handlers.on_rejoin = [this](time_point now, ports::member_identity const&)
    {
        ++generation_;
        fail_open_requests();
        start_engine(now);
    };
    handlers.pre_check = [this](request const& message)
    {
        return check_request(message);
    };
    return handlers;
}

std::optional<int> planner_program::run(core::common::failure& reason)
{
    if (!runtime_.listen(reason))
    {
        return std::nullopt;
    }
    workers_thread_.start();
    return runtime_.run();
}

void planner_program::start_engine(time_point now)
{
    make_engine();
    engine_->start(now, actions_);
    perform();
}

void planner_program::make_engine()
{
    core::membership::member_info self;
    self.id = runtime_.self();
    self.role = "planner";
    self.data_centre = settings_.daemon.data_centre;
    self.peer_address = runtime_.peer_address();
    self.http_address = runtime_.http_address();
    engine_ = std::make_unique<tasks::planner_engine>(
        settings_.planner, self, self.id.incarnation);
    administration_settings administration_options;
    administration_options.fence_after =
        settings_.daemon.membership.fencing_delay;
    administration_ =
        std::make_unique<administration>(administration_options, self.id);
    followed_racks_.clear();
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

// Ticks the engine after a long pause of the process, so that it detects the
// gap before it handles reports and replies that were queued meanwhile.
void planner_program::catch_up(time_point now)
{
    if (now - last_tick_ >= 2 * adapters::daemon::daemon_runtime::tick_interval)
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
            runtime_.perform(action);
        }
    }
    for (auto& answer : std::exchange(answers_, {}))
    {
        this->answer(answer.request, std::move(answer.response));
    }
}

void planner_program::send_to_worker(ports::worker_call call)
{
    auto const id = call.id;
    outgoing_call message{generation_, std::move(call)};
    if (in_flight_ < max_worker_calls && calls_.try_push(message))
    {
        ++in_flight_;
        return;
    }
    // The call was not sent. The reply is posted, because the engine may be in
    // the middle of the call that caused it.
    boost::asio::post(runtime_.decisions().io(),
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
    if (racks != followed_racks_ && rack_updates_.try_push(racks))
    {
        followed_racks_ = engine_->racks();
    }
}

} // namespace fuchsia::programs::planner
