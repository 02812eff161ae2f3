#include "core/pool/claim.hpp"

#include "core/pool/keys.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

claim::claim(claim_settings settings, std::string instance_name, outbox& out)
    : settings_(settings),
      own_record_(
          to_json(claim_holder{std::move(instance_name), settings.size})),
      out_(out)
{
}

void claim::tick(common::time_point now)
{
    if (now < next_step_at_ || phase_ == phase::released)
    {
        return;
    }
    if (phase_ == phase::held)
    {
        renew(now);
    }
    else if (!call_pending_ && !retired_)
    {
        read_claim();
    }
}

void claim::read_claim()
{
    call_pending_ = true;
    phase_ = phase::reading;
    out_.store(life_,
               ports::kv_read{std::string(keys::claim)},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_claim_read(at, reply);
               });
}

void claim::on_claim_read(common::time_point now, kv_reply const& reply)
{
    call_pending_ = false;
    if (phase_ != phase::reading)
    {
        return;
    }
    if (reply.status == kv_status::missing)
    {
        acquire_or_yield(now);
        return;
    }
    if (reply.status != kv_status::done || reply.items.empty())
    {
        retry_later(now);
        return;
    }
    auto const& item = reply.items.front();
    // This instance's own claim: the answer to the write was lost.
    if (item.value == own_record_ && lease_ != 0 && item.lease == lease_)
    {
        on_acquired(now, item.create_revision);
        return;
    }
    watched_revision_ = reply.revision;
    yielded_ = false;
    observe_holder(now, item);
    watch_claim();
}

// A small instance that schedules a large pool saturates its own link and
// processor, so that its lease renewals are late. An instance that is clearly
// smaller than an earlier holder therefore lets others acquire the claim first.
void claim::acquire_or_yield(common::time_point now)
{
    bool const small =
        settings_.size * settings_.size_ratio <= largest_holder_size_;
    if (!small || yielded_)
    {
        yielded_ = false;
        request_lease(now);
        return;
    }
    yielded_ = true;
    phase_ = phase::reading;
    next_step_at_ = now + settings_.yield_delay;
}

std::optional<claim_holder> claim::read_holder(ports::kv_item const& item)
{
    common::failure reason;
    auto holder = parse_claim_holder(item.value, reason);
    if (!holder)
    {
        out_.log(severity::warning,
                 "holder_unreadable",
                 {{"why", common::to_string(reason)}});
    }
    return holder;
}

void claim::observe_holder(common::time_point now, ports::kv_item const& item)
{
    auto const current_holder = read_holder(item);
    if (!current_holder)
    {
        return;
    }
    largest_holder_size_ = std::max(largest_holder_size_, current_holder->size);
    if (item.revision != observed_epoch_)
    {
        observed_epoch_ = item.revision;
        out_.log(severity::info,
                 "claim_observed",
                 {{"holder", current_holder->instance},
                  {"its_size", std::to_string(current_holder->size)},
                  {"epoch", std::to_string(item.revision)}});
    }
    if (settings_.size >= current_holder->size * settings_.size_ratio)
    {
        request_handover(now, *current_holder);
    }
}

// The first instance to start acquires the claim, whatever its size, so a
// larger one has to request a handover. A request that is lost or unanswered is
// repeated after a later read of the claim.
void claim::request_handover(common::time_point now,
                             claim_holder const& current_holder)
{
    if (now < next_handover_request_ || retired_)
    {
        return;
    }
    next_handover_request_ = now + settings_.handover_request_interval;
    out_.log(severity::info,
             "claim_wanted",
             {{"holder", current_holder.instance},
              {"its_size", std::to_string(current_holder.size)},
              {"our_size", std::to_string(settings_.size)}});
    ports::kv_commit commit;
    commit.puts.push_back({std::string(keys::handover), own_record_, 0});
    out_.store(life_,
               std::move(commit),
               settings_.call_timeout,
               [this](common::time_point, kv_reply const& reply)
               {
                   if (reply.status != kv_status::done)
                   {
                       out_.log(severity::info,
                                "claim_request_failed",
                                {{"status",
                                  std::to_string(
                                      static_cast<unsigned>(reply.status))}});
                   }
               });
}

// The answer is ignored: without renewals the lease expires by itself.
void claim::revoke_lease(std::uint64_t lease)
{
    out_.store(life_,
               ports::kv_lease_revoke{lease},
               settings_.call_timeout,
               [](common::time_point, kv_reply const&) {});
}

void claim::hand_over(common::time_point now, std::string const& reason)
{
    if (phase_ != phase::held)
    {
        return;
    }
    auto const lease = lease_;
    mark_lost(reason);
    next_step_at_ = now + settings_.handover_pause;
    revoke_lease(lease);
}

void claim::watch_claim()
{
    phase_ = phase::watching;
    call_pending_ = true;
    out_.store(life_,
               ports::kv_watch{std::string(keys::claim),
                               watched_revision_,
                               settings_.watch_wait},
               settings_.watch_wait + settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_watch(at, reply);
               });
}

void claim::on_watch(common::time_point now, kv_reply const& reply)
{
    call_pending_ = false;
    if (phase_ != phase::watching || retired_)
    {
        return;
    }
    if (reply.status != kv_status::done)
    {
        retry_later(now);
        return;
    }
    watched_revision_ = reply.revision;
    if (!reply.items.empty() && reply.items.back().erased)
    {
        acquire_or_yield(now);
        return;
    }
    // The watch may have missed the end of the claim, so the key is read.
    read_claim();
}

void claim::request_lease(common::time_point now)
{
    phase_ = phase::acquiring;
    call_pending_ = true;
    lease_requested_at_ = now;
    out_.store(life_,
               ports::kv_lease_grant{settings_.ttl},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   call_pending_ = false;
                   if (retired_ || reply.status != kv_status::done)
                   {
                       on_acquire_failed(at, "lease", reply.status);
                       return;
                   }
                   write_key(reply.lease);
               });
}

void claim::write_key(std::uint64_t lease)
{
    lease_ = lease;
    call_pending_ = true;
    ports::kv_commit commit;
    commit.preconditions.push_back({std::string(keys::claim), 0});
    commit.puts.push_back({std::string(keys::claim), own_record_, lease});
    out_.store(life_,
               std::move(commit),
               settings_.write_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_key_written(at, reply);
               });
}

void claim::on_key_written(common::time_point now, kv_reply const& reply)
{
    call_pending_ = false;
    if (reply.status == kv_status::done)
    {
        on_acquired(now, reply.revision);
        return;
    }
    on_acquire_failed(now, "key", reply.status);
    // The write may have taken effect, and its lease is not renewed until a
    // read shows that.
    if (reply.status == kv_status::unclear && !retired_)
    {
        read_claim();
    }
}

void claim::on_acquire_failed(common::time_point now,
                              std::string_view call,
                              kv_status status)
{
    out_.log(severity::info,
             "claim_not_taken",
             {{"call", std::string(call)},
              {"status", std::to_string(static_cast<unsigned>(status))}});
    retry_later(now);
}

void claim::on_acquired(common::time_point now, std::uint64_t epoch)
{
    if (retired_)
    {
        return;
    }
    phase_ = phase::held;
    epoch_ = epoch;
    confirmed_at_ = lease_requested_at_;
    held_since_ = now;
    next_step_at_ = now;
    out_.log(
        severity::info,
        "claim_taken",
        {{"epoch", std::to_string(epoch)}, {"lease", std::to_string(lease_)}});
}

void claim::renew(common::time_point now)
{
    next_step_at_ = now + settings_.renew_interval;
    if (now - confirmed_at_ > settings_.ttl && now >= next_unconfirmed_report_)
    {
        next_unconfirmed_report_ = now + settings_.ttl;
        out_.log(
            severity::warning,
            "claim_unconfirmed",
            {{"epoch", std::to_string(epoch_)},
             {"for_ms",
              std::to_string(common::to_milliseconds(now - confirmed_at_))}});
    }
    out_.store(
        life_,
        ports::kv_lease_renew{lease_},
        settings_.call_timeout,
        [this, now, lease = lease_](common::time_point, kv_reply const& reply)
        {
            if (phase_ != phase::held || lease != lease_)
            {
                return;
            }
            if (reply.status == kv_status::done)
            {
                confirmed_at_ = std::max(confirmed_at_, now);
            }
            else if (reply.status == kv_status::missing)
            {
                mark_lost("the lease has ended");
            }
        });
}

void claim::release()
{
    bool const was_held = phase_ == phase::held;
    retired_ = true;
    phase_ = phase::released;
    if (!was_held)
    {
        return;
    }
    out_.log(
        severity::info, "claim_released", {{"epoch", std::to_string(epoch_)}});
    revoke_lease(lease_);
}

void claim::retire() noexcept
{
    retired_ = true;
}

void claim::mark_lost(std::string const& reason)
{
    if (phase_ != phase::held)
    {
        return;
    }
    out_.log(severity::warning,
             "claim_lost",
             {{"epoch", std::to_string(epoch_)}, {"why", reason}});
    phase_ = phase::reading;
    call_pending_ = false;
    lease_ = 0;
    next_step_at_ = {};
}

void claim::retry_later(common::time_point now)
{
    if (phase_ == phase::released)
    {
        return;
    }
    phase_ = phase::reading;
    next_step_at_ = now + settings_.retry_interval;
}

bool claim::held() const noexcept
{
    return phase_ == phase::held;
}

std::uint64_t claim::epoch() const noexcept
{
    return epoch_;
}

ports::kv_precondition claim::condition() const
{
    return {std::string(keys::claim), epoch_};
}

common::time_point claim::confirmed_at() const noexcept
{
    return confirmed_at_;
}

common::time_point claim::held_since() const noexcept
{
    return held_since_;
}

// An item that is older than the claim belongs to an earlier claim.
void claim::on_item(common::time_point now, ports::kv_item const& item)
{
    if (phase_ != phase::held || item.revision <= epoch_)
    {
        return;
    }
    if (item.key == keys::claim)
    {
        mark_lost(item.erased ? "the key was deleted"
                              : "the key was taken by another instance");
        return;
    }
    auto const requester = item.erased ? std::nullopt : read_holder(item);
    if (requester)
    {
        hand_over(now, "handover requested by " + requester->instance);
    }
}

} // namespace fuchsia::core::pool
