#include "programs/entry/entry_program.hpp"

#include "adapters/callers/caller_headers.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace fuchsia::programs::entry
{

namespace
{

using core::common::clock;
namespace callers = adapters::callers;
namespace http = adapters::http;

constexpr std::size_t send_ring_capacity = 8192;
/// Each exchange reports its end at most twice, as `timed_out` and then as
/// `drained` or `lost`. The upstreams' slots bound the number of exchanges.
constexpr std::size_t end_ring_capacity = 32'768;
constexpr core::common::duration sample_interval = std::chrono::seconds(1);

adapters::daemon::daemon_options
runtime_options_of(adapters::settings::entry_daemon_settings const& options)
{
    adapters::daemon::daemon_options result;
    result.service = "fuchsia-entry";
    result.with_upstreams = true;
    result.http = options.http;
    result.http_memory_mb = options.http_memory_mb;
    result.max_waiting_requests = options.max_waiting_requests;
    return result;
}

} // namespace

entry_program::entry_program(adapters::settings::entry_daemon_settings options)
    : options_(std::move(options)),
      runtime_(options_.daemon, runtime_options_of(options_), handlers()),
      metrics_(runtime_.metrics()), self_(runtime_.self()),
      timer_(runtime_.decisions().io()),
      sends_(upstreams_,
             send_ring_capacity,
             [this](ports::upstream_send& send)
             {
                 call_upstream(send);
             }),
      ends_(runtime_.decisions(),
            end_ring_capacity,
            [this](ports::upstream_end& end)
            {
                on_upstream_end(end);
            }),
      client_(
          std::make_unique<http::client>(upstreams_.io(), options_.upstreams))
{
}

// The decision thread pushes to the upstream thread's ring and vice versa, so
// both threads must stop before either ring is destroyed.
entry_program::~entry_program()
{
    runtime_.decisions().stop();
    upstreams_.stop();
}

bool entry_program::listen(core::common::failure& reason)
{
    return runtime_.listen(reason);
}

int entry_program::run()
{
    upstreams_.start();
    return runtime_.run();
}

adapters::daemon::daemon_handlers entry_program::handlers()
{
    adapters::daemon::daemon_handlers handlers;
    handlers.on_start = [this](time_point now)
    {
        engine_ = make_engine();
        engine_->start(now, actions_);
        perform(now, false);
    };
    handlers.on_tick = [this](time_point now)
    {
        on_tick(now);
    };
    handlers.on_store_reply =
        [this](time_point now, ports::store_reply const& reply)
    {
        engine_->on_store_reply(now, reply, actions_);
        perform(now, false);
    };
    handlers.on_peer = [this](time_point now, ports::peer_receive& message)
    {
        engine_->on_peer(now, message, actions_);
        perform(now, false);
    };
    handlers.on_instances =
        [this](time_point now, ports::instance_list const& list)
    {
        engine_->on_instances(now, list, actions_);
        perform(now, false);
    };
    handlers.on_request =
        [this](time_point now, std::uint64_t id, http::request& message)
    {
        on_request(now, id, message);
    };
    handlers.on_stop = [this](time_point now)
    {
        engine_->begin_stop(now, actions_);
        perform(now, false);
    };
    handlers.on_rejoin =
        [this](time_point now, ports::member_identity const& self)
    {
        on_rejoin(now, self);
    };
    handlers.pre_check =
        [](http::request const& message) -> std::optional<http::response>
    {
        if (auto const fault = callers::find_header_error(message))
        {
            return http::failure_response(*fault);
        }
        return std::nullopt;
    };
    return handlers;
}

std::unique_ptr<entry_program::engine> entry_program::make_engine() const
{
    core::membership::member_info info;
    info.id = self_;
    info.role = "entry";
    info.data_centre = options_.daemon.data_centre;
    info.peer_address = runtime_.peer_address();
    info.http_address = runtime_.http_address();
    return std::make_unique<engine>(options_.engine, info, self_.incarnation);
}

void entry_program::on_request(time_point now,
                               std::uint64_t id,
                               http::request& message)
{
    core::common::failure reason;
    auto request = callers::parse_caller_request(message, reason);
    if (!request)
    {
        runtime_.answer(id, http::failure_response(reason));
        return;
    }
    waiting_.emplace(id,
                     waiting_request{request->customer, request->kind, now});
    engine_->on_caller_request(now, id, std::move(*request), actions_);
    perform(now, false);
}

void entry_program::on_tick(time_point now)
{
    engine_->tick(now, actions_);
    perform(now, false);
    for (auto& retired_engine : retired_)
    {
        retired_engine->tick(now, actions_);
        perform(now, true);
    }
    std::erase_if(retired_,
                  [now](auto const& retired_engine)
                  {
                      return retired_engine->status(now).open == 0;
                  });
    runtime_.set_ready(engine_->ready(now));
    if (now >= next_sample_)
    {
        next_sample_ = now + sample_interval;
        metrics_.sample(engine_->status(now), engine_->counts());
    }
}

// The engine of the fenced incarnation is kept until its requests on upstreams
// have ended and are answered. The fenced engine receives only ticks and the
// ends of exchanges with upstreams; all other events go to the new engine only.
void entry_program::on_rejoin(time_point now,
                              ports::member_identity const& self)
{
    self_ = self;
    engine_->retire(now, actions_);
    perform(now, true);
    retired_.push_back(std::move(engine_));
    engine_ = make_engine();
    engine_->start(now, actions_);
    perform(now, false);
}

void entry_program::on_upstream_end(ports::upstream_end& end)
{
    auto const now = clock::now();
    engine_->on_exchange_end(now, end, actions_);
    perform(now, false);
    for (auto& retired_engine : retired_)
    {
        retired_engine->on_exchange_end(now, end, actions_);
        perform(now, true);
    }
}

// Performs the pending actions. `retired` tells that they come from the engine
// of a fenced incarnation. Such an incarnation may answer its callers and write
// log lines, but must send nothing to the store, peers or upstreams. Upstream
// sends are not filtered here, because a retired engine requests none.
void entry_program::perform(time_point now, bool retired)
{
    auto actions = std::exchange(actions_, {});
    for (auto& action : actions)
    {
        if (auto* answer = std::get_if<ports::caller_reply>(&action))
        {
            reply(now, *answer);
        }
        else if (auto* send = std::get_if<ports::upstream_send>(&action))
        {
            send_upstream(now, *send);
        }
        else if (!retired || std::holds_alternative<ports::log_event>(action))
        {
            runtime_.perform(action);
        }
    }
    arm_timer();
}

void entry_program::reply(time_point now, ports::caller_reply& reply)
{
    auto const found = waiting_.find(reply.caller);
    if (found == waiting_.end())
    {
        return;
    }
    metrics_.on_answer(found->second.customer,
                       found->second.kind,
                       reply.answer,
                       now - found->second.received);
    waiting_.erase(found);
    runtime_.answer(reply.caller,
                    callers::to_response(std::move(reply.answer)));
}

void entry_program::send_upstream(time_point now, ports::upstream_send& send)
{
    auto const exchange = send.exchange;
    if (sends_.try_push(send))
    {
        return;
    }
    ports::upstream_end end;
    end.exchange = exchange;
    end.status = ports::exchange_status::not_sent;
    engine_->on_exchange_end(now, end, actions_);
    perform(now, false);
}

// Deadlines need a finer resolution than the tick of the daemon runtime.
void entry_program::arm_timer()
{
    auto const due = engine_->next_timer();
    if (!due || (timer_due_ && *timer_due_ <= *due))
    {
        return;
    }
    timer_due_ = due;
    timer_.expires_at(*due);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
            {
                return;
            }
            timer_due_.reset();
            auto const now = clock::now();
            engine_->tick(now, actions_);
            perform(now, false);
        });
}

void entry_program::call_upstream(ports::upstream_send& send)
{
    http::client_call call;
    call.remote_endpoint = std::move(send.remote_endpoint);
    call.message.method = std::move(send.request.method);
    call.message.target = std::move(send.request.target);
    call.message.headers = std::move(send.request.headers);
    call.message.body = std::move(send.request.body);
    call.timeout = send.timeout;
    call.drain = true;
    client_->send(std::move(call),
                  [this, exchange = send.exchange](
                      ports::exchange_status status, http::response response)
                  {
                      ports::upstream_end end;
                      end.exchange = exchange;
                      end.status = status;
                      bool const complete =
                          status == ports::exchange_status::answered ||
                          status == ports::exchange_status::drained;
                      end.http_status = complete ? response.status : 0;
                      end.headers = std::move(response.headers);
                      end.body = std::move(response.body);
                      ends_.try_push(end);
                  });
}

} // namespace fuchsia::programs::entry
