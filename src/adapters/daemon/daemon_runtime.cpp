#include "adapters/daemon/daemon_runtime.hpp"

#include "adapters/runtime/signals.hpp"

#include <boost/asio/post.hpp>
#include <random>
#include <utility>

namespace fuchsia::adapters::daemon
{

namespace
{

using core::common::clock;
using ports::severity;

constexpr std::size_t store_ring_size = 1024;
constexpr std::size_t peer_ring_size = 8192;
constexpr std::size_t list_ring_size = 16;
constexpr std::uint32_t log_lines_per_second = 10;
constexpr std::uint32_t http_log_lines_per_second = 1;

platform::store_settings
store_settings_of(settings::daemon_settings const& settings)
{
    return {settings.store,
            settings.store_timeout,
            settings.store_reads,
            settings.store_writes};
}

} // namespace

std::uint64_t draw_incarnation()
{
    std::random_device source;
    std::uint64_t const high = source();
    // The lowest bit is set, since 0 means "no incarnation".
    return (high << 32U) | (source() | 1U);
}

daemon_runtime::daemon_runtime(settings::daemon_settings settings,
                               daemon_options options,
                               daemon_handlers handlers)
    : settings_(std::move(settings)), options_(std::move(options)),
      handlers_(std::move(handlers)), self_{settings_.name, draw_incarnation()},
      log_(log_lines_per_second),
      requests_(decisions_,
                options_.max_waiting_requests,
                [this](incoming_request& item)
                {
                    handlers_.on_request(begin_event(), item.id, item.message);
                }),
      answers_(http_,
               options_.max_waiting_requests,
               [this](outgoing_answer& item)
               {
                   respond(item);
               }),
      store_calls_(platform_,
                   store_ring_size,
                   [this](outgoing_store_call& item)
                   {
                       store_->send(std::move(item.call), item.generation);
                   }),
      store_replies_(decisions_,
                     store_ring_size,
                     [this](incoming_store_reply& item)
                     {
                         handle_store_reply(item);
                     }),
      instances_(decisions_,
                 list_ring_size,
                 [this](ports::instance_list& list)
                 {
                     handlers_.on_instances(begin_event(), list);
                 }),
      peer_sends_(peers_,
                  peer_ring_size,
                  [this](outgoing_peer_message& item)
                  {
                      forward_to_transport(item);
                  }),
      peer_receives_(decisions_,
                     peer_ring_size,
                     [this](ports::peer_receive& item)
                     {
                         handlers_.on_peer(begin_event(), item);
                     }),
      tick_timer_(decisions_.io()), platform_sample_timer_(platform_.io()),
      peer_sample_timer_(peers_.io()), finish_timer_(http_.io()),
      http_log_(http_log_lines_per_second)
{
    store_ = std::make_unique<platform::store_client>(
        platform_.io(),
        store_settings_of(settings_),
        [this](std::uint64_t generation, ports::store_reply reply)
        {
            // The ring is never full, since `send_store` allows no more open
            // calls than it has places. A lost reply would leave its requester
            // waiting for ever.
            store_replies_.try_push(
                incoming_store_reply{generation, std::move(reply)});
        });
    catalog_ = std::make_unique<platform::catalog_client>(
        platform_.io(),
        settings_.store,
        settings_.list_interval,
        options_.service,
        options_.with_upstreams,
        [this](ports::instance_list list)
        {
            instances_.try_push(std::move(list));
        });
    peer::transport_settings peer_settings;
    peer_settings.self = self_;
    peer_settings.token = settings_.token;
    peer_settings.allowed = settings_.allowed_addresses;
    transport_ = std::make_unique<peer::transport>(
        peers_.io(),
        std::move(peer_settings),
        [this](ports::peer_receive message)
        {
            return peer_receives_.try_push(std::move(message));
        });
    server_ = std::make_unique<http::server>(
        http_.io(),
        options_.http,
        [this](http::request request, http::responder respond)
        {
            handle_http(std::move(request), std::move(respond));
        },
        std::make_shared<http::connection_budget>(
            http::limits_of_process(options_.http_memory_mb,
                                    options_.http.connections),
            [this](http::shed_reason reason,
                   std::string const& address,
                   std::uint64_t bytes)
            {
                on_shed(reason, address, bytes);
            }));
}

// The destructors of the clients and servers end all pending calls, and their
// handlers use the rings and tables of this object. In the order of the members
// they would run after those are destroyed, and the process would abort in the
// last step of a planned stop.
daemon_runtime::~daemon_runtime()
{
    decisions_.stop();
    http_.stop();
    peers_.stop();
    platform_.stop();
    store_.reset();
    catalog_.reset();
    transport_.reset();
    server_.reset();
}

bool daemon_runtime::listen(core::common::failure& reason)
{
    auto const http = server_->listen(settings_.http_listen, reason);
    auto const peer =
        http ? transport_->listen(settings_.peer_listen, reason) : std::nullopt;
    if (!http || !peer)
    {
        return false;
    }
    http_address_ = *http;
    peer_address_ = *peer;
    return true;
}

int daemon_runtime::run()
{
    logging::write(severity::info,
                   "started",
                   {{"name", self_.name},
                    {"incarnation", std::to_string(self_.incarnation)},
                    {"data_centre", settings_.data_centre},
                    {"http", http::to_string(http_address_)},
                    {"peer", http::to_string(peer_address_)}});
    runtime::on_stop_signal(main_.io(),
                            [this]
                            {
                                boost::asio::post(decisions_.io(),
                                                  [this]
                                                  {
                                                      handlers_.on_stop(
                                                          clock::now());
                                                  });
                            });
    boost::asio::post(decisions_.io(),
                      [this]
                      {
                          last_tick_ = clock::now();
                          handlers_.on_start(last_tick_);
                          tick();
                      });
    boost::asio::post(platform_.io(),
                      [this]
                      {
                          catalog_->start();
                      });
    boost::asio::post(platform_.io(),
                      [this]
                      {
                          sample_store();
                      });
    boost::asio::post(peers_.io(),
                      [this]
                      {
                          sample_peers();
                      });
    platform_.start();
    peers_.start();
    http_.start();
    decisions_.start();
    main_.io().run();
    return status_;
}

ports::member_identity const& daemon_runtime::self() const noexcept
{
    return self_;
}

ports::endpoint const& daemon_runtime::http_address() const noexcept
{
    return http_address_;
}

ports::endpoint const& daemon_runtime::peer_address() const noexcept
{
    return peer_address_;
}

runtime::io_thread& daemon_runtime::decisions() noexcept
{
    return decisions_;
}

metrics::registry& daemon_runtime::metrics() noexcept
{
    return metrics_;
}

void daemon_runtime::set_ready(bool ready) noexcept
{
    ready_ = ready;
}

bool daemon_runtime::perform(ports::action& action)
{
    if (auto* const call = std::get_if<ports::store_call>(&action))
    {
        send_store(std::move(*call));
    }
    else if (auto* const send = std::get_if<ports::peer_send>(&action))
    {
        send_peer(std::move(*send));
    }
    else if (auto* const event = std::get_if<ports::log_event>(&action))
    {
        log_.write(clock::now(), std::move(*event));
    }
    else if (std::holds_alternative<ports::reset_peers>(action))
    {
        send_peer(peer_reset{});
    }
    else if (auto* const rejoin_request = std::get_if<ports::rejoin>(&action))
    {
        rejoin(rejoin_request->reason);
    }
    else if (std::holds_alternative<ports::stop_complete>(action))
    {
        logging::write(severity::info, "stopped", {{"name", self_.name}});
        boost::asio::post(http_.io(),
                          [this]
                          {
                              finish();
                          });
    }
    else
    {
        return false;
    }
    return true;
}

void daemon_runtime::tick()
{
    auto const now = clock::now();
    last_tick_ = now;
    handlers_.on_tick(now);
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

void daemon_runtime::handle_store_reply(incoming_store_reply& item)
{
    --open_store_calls_;
    if (item.generation == generation_)
    {
        handlers_.on_store_reply(begin_event(), item.reply);
    }
}

// Runs on the peer thread.
void daemon_runtime::forward_to_transport(outgoing_peer_message& item)
{
    if (auto* const send = std::get_if<ports::peer_send>(&item))
    {
        transport_->send(std::move(*send));
        return;
    }
    auto* const reset = std::get_if<peer_reset>(&item);
    if (reset != nullptr && reset->rename)
    {
        transport_->rename(std::move(*reset->rename));
    }
    else if (reset != nullptr)
    {
        transport_->reset();
    }
}

// A process that was paused resumes with frames and replies in its rings. The
// engine must get a tick with the current time before it handles any of them,
// or it would act on expired membership proofs.
core::common::time_point daemon_runtime::begin_event()
{
    auto const now = clock::now();
    if (now - last_tick_ >= 2 * tick_interval)
    {
        last_tick_ = now;
        handlers_.on_tick(now);
    }
    return now;
}

void daemon_runtime::send_store(ports::store_call call)
{
    auto const id = call.id;
    bool const has_place = open_store_calls_ < store_ring_size;
    if (!has_place || !store_calls_.try_push(
                          outgoing_store_call{generation_, std::move(call)}))
    {
        refuse_store(id);
        return;
    }
    ++open_store_calls_;
}

void daemon_runtime::refuse_store(ports::call_id id)
{
    boost::asio::post(
        decisions_.io(),
        [this, id, generation = generation_]
        {
            if (generation == generation_)
            {
                handlers_.on_store_reply(
                    clock::now(),
                    {id, ports::store_status::unavailable, {}, 0});
            }
        });
}

void daemon_runtime::send_peer(outgoing_peer_message item)
{
    if (!peer_sends_.try_push(std::move(item)))
    {
        log_.write(clock::now(), {severity::warning, "peer_ring_full", {}});
    }
}

void daemon_runtime::rejoin(std::string const& reason)
{
    self_.incarnation = draw_incarnation();
    ++generation_;
    logging::write(severity::warning,
                   "rejoin",
                   {{"name", self_.name},
                    {"incarnation", std::to_string(self_.incarnation)},
                    {"why", reason}});
    send_peer(peer_reset{self_});
    // The event is posted, since the engine that requested the rejoin is still
    // executing its actions.
    boost::asio::post(decisions_.io(),
                      [this, self = self_]
                      {
                          handlers_.on_rejoin(clock::now(), self);
                      });
}

} // namespace fuchsia::adapters::daemon
