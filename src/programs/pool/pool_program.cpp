#include "programs/pool/pool_program.hpp"

#include "adapters/daemon/daemon_runtime.hpp"
#include "adapters/runtime/signals.hpp"
#include "platform/platform_records.hpp"
#include "platform/submission_codec.hpp"
#include "programs/pool/pool_administration.hpp"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace fuchsia::programs::pool
{

namespace
{

namespace http = adapters::http;
using core::common::clock;
using ports::severity;

constexpr std::size_t request_ring_capacity = 2048;
constexpr std::size_t remote_ring_capacity = 8192;
constexpr std::uint32_t log_lines_per_second = 100;
constexpr std::uint32_t caller_log_lines_per_second = 1;
constexpr core::common::duration sample_interval = std::chrono::seconds(5);
constexpr core::common::duration finish_poll_interval =
    std::chrono::milliseconds(10);
constexpr core::common::duration finish_timeout =
    std::chrono::milliseconds(800);

std::string incarnation_of(std::string const& name)
{
    return name + "#" + std::to_string(adapters::daemon::draw_incarnation());
}

} // namespace

pool_program::pool_program(adapters::settings::pool_daemon_settings settings,
                           std::string path)
    : settings_(std::move(settings)), path_(std::move(path)),
      engine_(settings_.pool,
              platform::make_platform_records(),
              incarnation_of(settings_.name)),
      log_(log_lines_per_second), measurements_(metrics_),
      requests_(decisions_,
                request_ring_capacity,
                [this](request& message)
                {
                    engine_.on_request(clock::now(), message);
                    perform();
                }),
      answers_(callers_,
               request_ring_capacity,
               [this](outgoing_answer& answer)
               {
                   respond(answer);
               }),
      calls_(remote_calls_,
             remote_ring_capacity,
             [this](remote_call& call)
             {
                 send_remote(call);
             }),
      replies_(decisions_,
               remote_ring_capacity,
               [this](remote_reply& reply)
               {
                   on_reply(reply);
               }),
      store_calls_(store_thread_,
                   remote_ring_capacity,
                   [this](ports::kv_call& call)
                   {
                       store_->send(std::move(call));
                   }),
      store_replies_(decisions_,
                     remote_ring_capacity,
                     [this](ports::kv_reply& reply)
                     {
                         on_reply(reply);
                     }),
      ticker_(decisions_.io()), sampler_(decisions_.io()),
      callers_log_(caller_log_lines_per_second), finisher_(callers_.io())
{
    store_ = std::make_unique<platform::kv_client>(store_thread_.io(),
                                                   settings_.store,
                                                   [this](ports::kv_reply reply)
                                                   {
                                                       // The ring is never
                                                       // full: its capacity
                                                       // bounds the number of
                                                       // open calls.
                                                       store_replies_.try_push(
                                                           std::move(reply));
                                                   });
    workers_ = std::make_unique<platform::order_client>(
        remote_calls_.io(),
        [this](ports::order_reply reply)
        {
            replies_.try_push(remote_reply{std::move(reply)});
        });
    policy_ = std::make_unique<platform::policy_client>(
        remote_calls_.io(),
        settings_.policy,
        [this](ports::policy_reply reply)
        {
            replies_.try_push(remote_reply{std::move(reply)});
        });
    budget_ = std::make_shared<http::connection_budget>(
        http::limits_of_machine(settings_.machine_memory_mb,
                                settings_.machine_descriptors),
        [this](http::shed_reason reason,
               std::string const& address,
               std::uint64_t bytes)
        {
            on_shed(reason, address, bytes);
        });
    submissions_ = std::make_unique<http::server>(
        callers_.io(),
        http::server_limits{},
        [this](http::request const& message, http::responder const& respond)
        {
            on_caller(message, respond);
        },
        budget_);
    readiness_ = std::make_unique<http::server>(
        callers_.io(),
        http::server_limits{},
        [this](http::request const& message, http::responder const& respond)
        {
            bool const path_matches =
                message.target == settings_.readiness_path;
            bool const is_ready = path_matches && ready_;
            respond({static_cast<std::uint16_t>(is_ready ? 200 : 503), {}, ""});
        },
        budget_);
    exposition_ = std::make_unique<http::server>(
        callers_.io(),
        http::server_limits{},
        [this](http::request const& message, http::responder const& respond)
        {
            on_operator(message, respond);
        },
        budget_);
}

// Handlers of open calls use the rings and tables of this object, so the
// threads stop and the sockets close before any of those is destroyed.
pool_program::~pool_program()
{
    decisions_.stop();
    callers_.stop();
    remote_calls_.stop();
    store_thread_.stop();
    store_.reset();
    workers_.reset();
    policy_.reset();
    submissions_.reset();
    readiness_.reset();
    exposition_.reset();
}

bool pool_program::listen(core::common::failure& reason)
{
    return submissions_->listen(settings_.submissions, reason) &&
           readiness_->listen(settings_.readiness, reason) &&
           exposition_->listen(settings_.metrics, reason);
}

std::optional<int> pool_program::run(core::common::failure& reason)
{
    if (!listen(reason))
    {
        return std::nullopt;
    }
    adapters::logging::write(
        severity::info,
        "started",
        {{"name", settings_.name},
         {"data_centre", settings_.data_centre},
         {"submissions", http::to_string(settings_.submissions)},
         {"store", http::to_string(settings_.store)}});
    adapters::runtime::on_stop_signal(
        main_.io(),
        [this]
        {
            boost::asio::post(decisions_.io(),
                              [this]
                              {
                                  stopping_ = true;
                                  engine_.begin_stop(clock::now());
                                  perform();
                              });
        });
    adapters::runtime::on_reload_signal(main_.io(),
                                        [this]
                                        {
                                            reload();
                                        });
    boost::asio::post(decisions_.io(),
                      [this]
                      {
                          auto const now = clock::now();
                          update_unix_offset(now);
                          engine_.start(now);
                          perform();
                          arm_tick();
                          sample();
                      });
    remote_calls_.start();
    store_thread_.start();
    callers_.start();
    decisions_.start();
    main_.io().run();
    return 0;
}

void pool_program::on_caller(http::request const& message,
                             http::responder const& respond)
{
    http::response refusal;
    auto decoded = platform::decode_submission(message, refusal);
    if (!decoded)
    {
        respond(std::move(refusal));
        return;
    }
    decoded->caller = ++next_caller_;
    auto const caller = decoded->caller;
    if (waiting_.size() >= request_ring_capacity ||
        !requests_.try_push(*decoded))
    {
        respond(platform::encode(ports::job_refused{
            {core::common::result_code::queue_full, "", "too many wait here"},
            settings_.pool.request_handler.retry_after}));
        return;
    }
    waiting_.emplace(caller, respond);
}

// Answers with the metrics, or with state of the engine, which is read on the
// decision thread; the response is sent on the callers' thread.
void pool_program::on_operator(http::request const& message,
                               http::responder const& respond)
{
    if (!message.target.starts_with("/v1/"))
    {
        respond({200,
                 {{"Content-Type", "text/plain; version=0.0.4"}},
                 metrics_.text()});
        return;
    }
    boost::asio::post(
        decisions_.io(),
        [this, target = message.target, respond]
        {
            auto answer =
                answer_operator(engine_, settings_.name, clock::now(), target);
            boost::asio::post(callers_.io(),
                              [respond, answer = std::move(answer)]() mutable
                              {
                                  respond(std::move(answer));
                              });
        });
}

void pool_program::respond(outgoing_answer& answer)
{
    auto const found = waiting_.find(answer.caller);
    if (found == waiting_.end())
    {
        return;
    }
    auto const respond = std::move(found->second);
    waiting_.erase(found);
    // During a stop, callers send their next request to other instances.
    if (stopping_)
    {
        submissions_->close_after_answers();
    }
    respond(std::move(answer.message));
}

// Runs on the callers' thread.
void pool_program::on_shed(http::shed_reason reason,
                           std::string const& address,
                           std::uint64_t bytes)
{
    auto const name = std::string(http::name_of(reason));
    metrics_
        .counter("fuchsia_connections_shed_total",
                 "connections or requests given up for the others' sake",
                 {{"reason", name}})
        .Increment();
    callers_log_.write(clock::now(),
                       {severity::warning,
                        "connection_shed",
                        {{"reason", name},
                         {"address", address},
                         {"bytes", std::to_string(bytes)}}});
}

void pool_program::tick()
{
    auto const now = clock::now();
    update_unix_offset(now);
    engine_.tick(now);
    perform();
    arm_tick();
}

void pool_program::arm_tick()
{
    ticker_.expires_after(engine_.tick_interval());
    ticker_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

void pool_program::update_unix_offset(core::common::time_point now)
{
    auto const wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    engine_.set_unix_offset(
        wall - core::common::to_milliseconds(now.time_since_epoch()));
}

void pool_program::perform()
{
    auto actions = engine_.take_actions();
    for (auto& action : actions)
    {
        perform(action);
    }
}

void pool_program::perform(ports::pool_action& action)
{
    if (auto* const reply = std::get_if<ports::job_reply>(&action))
    {
        answers_.try_push(
            outgoing_answer{reply->caller, platform::encode(reply->answer)});
        return;
    }
    if (auto* const event = std::get_if<ports::log_event>(&action))
    {
        log_.write(clock::now(), std::move(*event));
        return;
    }
    if (auto const* const update = std::get_if<ports::readiness>(&action))
    {
        ready_ = update->ready;
        return;
    }
    if (std::holds_alternative<ports::stop_complete>(action))
    {
        finish();
        return;
    }
    if (auto const* const duration =
            std::get_if<ports::duration_sample>(&action))
    {
        measurements_.observe(*duration);
        return;
    }
    if (auto* const kv = std::get_if<ports::kv_call>(&action))
    {
        measurements_.on_call_start(clock::now(), *kv);
        if (measurements_.open() > remote_ring_capacity ||
            !store_calls_.try_push(*kv))
        {
            refuse(*kv);
        }
        return;
    }
    remote_call call;
    call.requested_at = clock::now();
    if (auto* const order = std::get_if<ports::pool_order>(&action))
    {
        measurements_.on_call_start(clock::now(), *order);
        call.operation = std::move(*order);
    }
    else if (auto* const policy = std::get_if<ports::policy_request>(&action))
    {
        call.operation = std::move(*policy);
    }
    else if (auto const* const release =
                 std::get_if<ports::release_workers>(&action))
    {
        call.operation = *release;
    }
    if (measurements_.open() > remote_ring_capacity || !calls_.try_push(call))
    {
        refuse(call.operation);
    }
}

// Samples the counters of the owner and whether this instance is the owner.
void pool_program::sample()
{
    measurements_.sample(clock::now(), engine_.active_owner());
    sampler_.expires_after(sample_interval);
    sampler_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                sample();
            }
        });
}

// Checks the settings file without applying it, since addresses can't change in
// a running process. An invalid file is thereby detected before the next start
// depends on it.
void pool_program::reload()
{
    core::common::failure reason;
    auto const read = adapters::settings::load_pool_settings(path_, reason);
    if (!read)
    {
        adapters::logging::write(severity::error,
                                 "settings_rejected",
                                 {{"why", core::common::to_string(reason)}});
        return;
    }
    adapters::logging::write(
        severity::info, "settings_read", {{"name", read->name}});
}

void pool_program::finish()
{
    boost::asio::post(callers_.io(),
                      [this]
                      {
                          submissions_->drain();
                          finish_until_ = clock::now() + finish_timeout;
                          finish_callers();
                      });
}

// Runs on the callers' thread. Requests that were already read are answered
// before the process stops.
void pool_program::finish_callers()
{
    if (submissions_->waiting() > 0 && clock::now() < finish_until_)
    {
        finisher_.expires_after(finish_poll_interval);
        finisher_.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    finish_callers();
                }
            });
        return;
    }
    adapters::logging::write(
        severity::info, "stopped", {{"name", settings_.name}});
    boost::asio::post(main_.io(),
                      [this]
                      {
                          main_.io().stop();
                      });
}

} // namespace fuchsia::programs::pool
