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

constexpr std::size_t store_ring = 1024;
constexpr std::size_t peer_ring = 8192;
constexpr std::size_t list_ring = 16;
constexpr std::uint32_t log_lines_per_second = 10;

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
    // Never 0, which stands for "none".
    return (high << 32U) | (source() | 1U);
}

daemon_runtime::daemon_runtime(settings::daemon_settings settings,
                               daemon_options options,
                               daemon_handlers events)
    : settings_(std::move(settings)), options_(std::move(options)),
      events_(std::move(events)), self_{settings_.name, draw_incarnation()},
      log_(log_lines_per_second),
      requests_(decisions_,
                options_.max_waiting_requests,
                [this](request_in& in)
                {
                    events_.on_request(enter(), in.id, in.message);
                }),
      answers_(http_,
               options_.max_waiting_requests,
               [this](answer_out& out)
               {
                   respond(out);
               }),
      store_calls_(platform_,
                   store_ring,
                   [this](store_out& out)
                   {
                       store_->send(std::move(out.call), out.generation);
                   }),
      store_replies_(decisions_,
                     store_ring,
                     [this](store_in& in)
                     {
                         take_store_reply(in);
                     }),
      instances_(decisions_,
                 list_ring,
                 [this](ports::instance_list& list)
                 {
                     events_.on_instances(enter(), list);
                 }),
      peer_sends_(peers_,
                  peer_ring,
                  [this](peer_out& out)
                  {
                      hand_to_transport(out);
                  }),
      peer_receives_(decisions_,
                     peer_ring,
                     [this](ports::peer_receive& in)
                     {
                         events_.on_peer(enter(), in);
                     }),
      ticker_(decisions_.io()), platform_sampler_(platform_.io()),
      peers_sampler_(peers_.io()), finisher_(http_.io())
{
    store_ = std::make_unique<platform::store_client>(
        platform_.io(),
        store_settings_of(settings_),
        [this](std::uint64_t generation, ports::store_reply reply)
        {
            // Never full: no more calls are open than the ring has places. A
            // lost reply would leave its asker waiting for ever.
            store_replies_.try_push(store_in{generation, std::move(reply)});
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
        });
}

// What still waits for an answer is ended by the clients' and servers'
// destructors, whose handlers use the rings and tables of this object. Left to
// the members' own order they would run after those are gone, and the process
// would abort in the last step of a planned stop.
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
                                                      events_.on_stop(
                                                          clock::now());
                                                  });
                            });
    boost::asio::post(decisions_.io(),
                      [this]
                      {
                          last_tick_ = clock::now();
                          events_.on_start(last_tick_);
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
    else if (auto* const over = std::get_if<ports::rejoin>(&action))
    {
        rejoin(over->reason);
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
    events_.on_tick(now);
    ticker_.expires_after(tick_interval);
    ticker_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

void daemon_runtime::take_store_reply(store_in& in)
{
    --open_store_calls_;
    if (in.generation == generation_)
    {
        events_.on_store_reply(enter(), in.reply);
    }
}

// On the peers' thread.
void daemon_runtime::hand_to_transport(peer_out& out)
{
    if (auto* const send = std::get_if<ports::peer_send>(&out))
    {
        transport_->send(std::move(*send));
        return;
    }
    auto* const reset = std::get_if<peer_reset>(&out);
    if (reset != nullptr && reset->rename)
    {
        transport_->rename(std::move(*reset->rename));
    }
    else if (reset != nullptr)
    {
        transport_->reset();
    }
}

// A process that was frozen wakes with frames and answers in its rings. The
// engine must learn of the gap before it sees any of them, or it would act on
// proofs that are over.
core::common::time_point daemon_runtime::enter()
{
    auto const now = clock::now();
    if (now - last_tick_ >= 2 * tick_interval)
    {
        last_tick_ = now;
        events_.on_tick(now);
    }
    return now;
}

void daemon_runtime::send_store(ports::store_call call)
{
    auto const id = call.id;
    bool const fits = open_store_calls_ < store_ring;
    if (!fits ||
        !store_calls_.try_push(store_out{generation_, std::move(call)}))
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
                events_.on_store_reply(
                    clock::now(),
                    {id, ports::store_status::unavailable, {}, 0});
            }
        });
}

void daemon_runtime::send_peer(peer_out out)
{
    if (!peer_sends_.try_push(std::move(out)))
    {
        log_.write(clock::now(), {severity::warning, "peer_ring_full", {}});
    }
}

void daemon_runtime::rejoin(std::string const& why)
{
    self_.incarnation = draw_incarnation();
    ++generation_;
    logging::write(severity::warning,
                   "rejoin",
                   {{"name", self_.name},
                    {"incarnation", std::to_string(self_.incarnation)},
                    {"why", why}});
    send_peer(peer_reset{self_});
    // Posted, since the engine that asked for it is still performing.
    boost::asio::post(decisions_.io(),
                      [this, self = self_]
                      {
                          events_.on_rejoin(clock::now(), self);
                      });
}

} // namespace fuchsia::adapters::daemon
