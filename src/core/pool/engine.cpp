#include "core/pool/engine.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

constexpr common::duration owner_tick = std::chrono::milliseconds(25);
constexpr common::duration idle_tick = std::chrono::milliseconds(100);
// A gap between two ticks above which renewals of the claim may come too late.
constexpr common::duration late_tick = std::chrono::milliseconds(500);

} // namespace

engine::engine(pool_settings const& settings,
               platform_records records,
               std::string instance_name)
    : settings_(settings), platform_records_(std::move(records)),
      operators_(settings.operators, platform_records_, out_, times_),
      claim_(settings.claim, std::move(instance_name), out_),
      request_handler_(settings.request_handler, operators_, out_, times_)
{
}

void engine::start(common::time_point now)
{
    started_at_ = now;
    operators_.start(now);
    claim_.tick(now);
    report_readiness(now);
}

void engine::tick(common::time_point now)
{
    report_late_tick(now);
    operators_.tick(now);
    claim_.set_ready(operators_.loaded() &&
                     !request_handler_.configuration_is_old(now));
    claim_.tick(now);
    if (owner_)
    {
        owner_->tick(now);
    }
    update(now);
}

void engine::on_request(common::time_point now, pool_request const& request)
{
    request_handler_.on_request(now, request, owner_.get());
    update(now);
}

void engine::on_kv_reply(common::time_point now, ports::kv_reply const& reply)
{
    out_.on_kv_reply(now, reply);
    update(now);
}

void engine::on_order_reply(common::time_point now,
                            ports::order_reply const& reply)
{
    out_.on_order_reply(now, reply);
    update(now);
}

void engine::on_policy_reply(common::time_point now,
                             ports::policy_reply const& reply)
{
    out_.on_policy_reply(now, reply);
    update(now);
}

void engine::begin_stop(common::time_point now)
{
    if (stopping_since_)
    {
        return;
    }
    stopping_since_ = now;
    out_.log(ports::severity::info,
             "stopping",
             {{"owner", has_owner() ? "true" : "false"},
              {"open", std::to_string(request_handler_.open())}});
    if (owner_)
    {
        owner_->stop();
    }
    claim_.release();
    update(now);
}

void engine::set_unix_offset(std::int64_t offset_ms) noexcept
{
    out_.set_unix_offset(offset_ms);
}

ports::pool_actions engine::take_actions()
{
    return out_.take_actions();
}

common::duration engine::tick_interval() const noexcept
{
    return owner_ ? owner_tick : idle_tick;
}

bool engine::has_owner() const noexcept
{
    return owner_ != nullptr;
}

owner const* engine::active_owner() const noexcept
{
    return owner_.get();
}

owner* engine::active_owner() noexcept
{
    return owner_.get();
}

instance_status engine::status(common::time_point now) const
{
    instance_status result;
    result.owner = has_owner();
    result.loaded = has_owner() && owner_->loaded();
    result.epoch = claim_.held() ? claim_.epoch() : 0;
    result.owned_for =
        claim_.held() ? now - claim_.held_since() : common::duration{};
    result.configuration_version = operators_.state().config.version;
    result.store_silence = store_silence(now);
    auto const& out = operators_.state().data_centres_out;
    result.data_centres_out.assign(out.begin(), out.end());
    return result;
}

claim const& engine::claimed() const noexcept
{
    return claim_;
}

// Creates and destroys the owner. This happens between events only, never
// within a handler that the owner runs.
void engine::update(common::time_point now)
{
    if (owner_ && !claim_.held())
    {
        out_.log(ports::severity::info,
                 "owner_ended",
                 {{"epoch", std::to_string(claim_.epoch())},
                  {"loaded", owner_->loaded() ? "true" : "false"},
                  {"working", owner_->working() ? "true" : "false"},
                  {"after_ms",
                   std::to_string(
                       common::to_milliseconds(now - claim_.held_since()))}});
        owner_.reset();
        out_.push(ports::release_workers{});
        claim_.tick(now);
    }
    bool const lacks_configuration =
        !owner_ && claim_.held() && !operators_.loaded();
    if (lacks_configuration &&
        now - claim_.held_since() > settings_.owner.load_timeout)
    {
        claim_.hand_over(now, "no configuration could be read");
    }
    if (!owner_ && claim_.held() && operators_.loaded())
    {
        owner_ = std::make_unique<owner>(settings_.owner,
                                         platform_records_,
                                         operators_.state(),
                                         claim_,
                                         out_,
                                         now);
    }
    if (owner_ && operators_.change_count() != applied_change_count_)
    {
        applied_change_count_ = operators_.change_count();
        owner_->on_operators(now);
    }
    report_readiness(now);
    update_stop(now);
}

// Without this line a claim that lapsed because the process got no processor
// time looks like one that lapsed because the store did not answer.
void engine::report_late_tick(common::time_point now)
{
    auto const gap = now - last_tick_at_;
    if (last_tick_at_ != common::time_point{} && gap > late_tick)
    {
        out_.log(ports::severity::warning,
                 "tick_late",
                 {{"gap_ms", std::to_string(common::to_milliseconds(gap))},
                  {"owner", has_owner() ? "true" : "false"}});
    }
    last_tick_at_ = now;
}

// Time since the last answer of the store, or since the start if the store has
// not answered at all.
common::duration engine::store_silence(common::time_point now) const
{
    return now - std::max(started_at_, out_.store_answered());
}

void engine::report_readiness(common::time_point now)
{
    bool const ready = operators_.loaded() && !stopping_since_ &&
                       !request_handler_.store_unavailable(now) &&
                       !request_handler_.configuration_is_old(now);
    if (reported_ready_ == ready)
    {
        return;
    }
    reported_ready_ = ready;
    out_.log(ports::severity::info,
             "readiness",
             {{"ready", ready ? "true" : "false"},
              {"store_silent_ms",
               std::to_string(common::to_milliseconds(store_silence(now)))},
              {"configuration_old",
               request_handler_.configuration_is_old(now) ? "true" : "false"}});
    out_.push(ports::readiness{ready});
}

void engine::update_stop(common::time_point now)
{
    if (!stopping_since_ || stop_reported_)
    {
        return;
    }
    auto const elapsed = now - *stopping_since_;
    bool const done =
        elapsed >= settings_.linger && request_handler_.open() == 0;
    if (done || elapsed >= settings_.stop_limit)
    {
        stop_reported_ = true;
        out_.push(ports::stop_complete{});
    }
}

} // namespace fuchsia::core::pool
