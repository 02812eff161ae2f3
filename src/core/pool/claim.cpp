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
      backoff_(settings.min_backoff), out_(out)
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
        on_own_key(now, item.revision);
        return;
    }
    discard_unused_lease();
    watched_revision_ = reply.revision;
    observe_holder(now, item);
    preempt_or_watch(now);
}

bool claim::is_fit(common::time_point now) const noexcept
{
    return ready_ && !retired_ && now >= unfit_until_;
}

// A small instance that schedules a large pool saturates its own link and
// processor, so that its lease renewals are late. Before it has seen any
// holder, an instance compares itself with an instance of size 1: others may
// have started with it.
bool claim::is_small() const noexcept
{
    auto const largest = largest_holder_size_ > 0 ? largest_holder_size_ : 1;
    return settings_.size * settings_.size_ratio <= largest;
}

// Time for which this instance leaves a free claim to others. If none of them
// takes it, any instance will do: nothing runs without an owner.
common::duration claim::time_to_yield(common::time_point now) const noexcept
{
    if (!is_fit(now))
    {
        return 2 * settings_.yield_delay;
    }
    return is_small() ? settings_.yield_delay : common::duration{};
}

void claim::acquire_or_yield(common::time_point now)
{
    free_since_ = free_since_.value_or(now);
    if (now - *free_since_ >= time_to_yield(now))
    {
        request_lease(now, 0);
        return;
    }
    retry_later(now);
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
    free_since_.reset();
    if (item.revision == holder_.epoch)
    {
        return;
    }
    auto const current_holder = read_holder(item);
    holder_ = {current_holder.value_or(claim_holder{}),
               item.revision,
               item.lease,
               now};
    if (!current_holder)
    {
        return;
    }
    largest_holder_size_ = std::max(largest_holder_size_, current_holder->size);
    out_.log(severity::info,
             "claim_observed",
             {{"holder", current_holder->instance},
              {"its_size", std::to_string(current_holder->size)},
              {"epoch", std::to_string(item.revision)}});
}

bool claim::may_preempt(common::time_point now) const noexcept
{
    return is_fit(now) &&
           settings_.size >= holder_.who.size * settings_.size_ratio;
}

// The first instance to start acquires the claim, whatever its size, so a
// larger one has to preempt it.
void claim::preempt_or_watch(common::time_point now)
{
    if (may_preempt(now))
    {
        examine_holder();
        return;
    }
    watch_claim();
}

void claim::examine_holder()
{
    call_pending_ = true;
    phase_ = phase::reading;
    out_.store(life_,
               ports::kv_read{std::string(keys::backlog)},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_holder_examined(at, reply);
               });
}

void claim::on_holder_examined(common::time_point now, kv_reply const& reply)
{
    call_pending_ = false;
    if (phase_ != phase::reading)
    {
        return;
    }
    bool const answered =
        reply.status == kv_status::done || reply.status == kv_status::missing;
    if (answered && should_preempt(now, backlog_in(reply)))
    {
        try_state();
        return;
    }
    watch_claim();
}

// A missing or unreadable record is taken for one of an owner that has not
// begun to work.
backlog claim::backlog_in(kv_reply const& reply)
{
    if (reply.items.empty())
    {
        return {};
    }
    common::failure reason;
    auto record = parse_backlog(reply.items.front().value, reason);
    if (!record)
    {
        out_.log(severity::error,
                 "backlog_unreadable",
                 {{"why", common::to_string(reason)}});
    }
    return record.value_or(backlog{});
}

// A holder whose takeover is not complete is preempted at once: a small
// instance may never complete it. One that works is preempted when its
// successor need not wait for workers that the holder doesn't reach, or after
// some time.
bool claim::should_preempt(common::time_point now, backlog const& record) const
{
    if (record.working_epoch != holder_.epoch)
    {
        return true;
    }
    auto const age = now - holder_.since;
    return age >= (record.unreached_workers == 0 ? settings_.observation_time
                                                 : settings_.unreached_limit);
}

// Reads the first page of the state before the claim is taken: an instance that
// can't read it could not work as the owner.
void claim::try_state()
{
    call_pending_ = true;
    out_.store(life_,
               ports::kv_range{std::string(keys::watched_prefix), {}},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_state_read(at, reply);
               });
}

void claim::on_state_read(common::time_point now, kv_reply const& reply)
{
    call_pending_ = false;
    if (phase_ != phase::reading)
    {
        return;
    }
    if (reply.status != kv_status::done)
    {
        on_acquire_failed(now, "state", reply.status);
        return;
    }
    preempt(now);
}

void claim::preempt(common::time_point now)
{
    if (retired_)
    {
        return;
    }
    out_.log(severity::info,
             "claim_wanted",
             {{"holder", holder_.who.instance},
              {"its_size", std::to_string(holder_.who.size)},
              {"our_size", std::to_string(settings_.size)}});
    request_lease(now, holder_.epoch);
    preempted_lease_ = holder_.lease;
}

// An instance that can't keep the claim, whatever the cause, would otherwise
// take it from a working holder again and again, and each time the pool would
// wait for a takeover.
void claim::back_off(common::time_point now)
{
    if (now - unfit_until_ >= settings_.stable_after)
    {
        backoff_ = settings_.min_backoff;
    }
    unfit_until_ = now + backoff_;
    backoff_ = std::min(2 * backoff_, settings_.max_backoff);
}

// The answer is ignored: without renewals the lease expires by itself.
void claim::revoke_lease(std::uint64_t lease)
{
    out_.store(life_,
               ports::kv_lease_revoke{lease},
               settings_.call_timeout,
               [](common::time_point, kv_reply const&) {});
}

// A lease of a write that had no effect, or may have one later, is ended, so
// that the write can't hit a later holder.
void claim::discard_unused_lease()
{
    if (lease_ != 0)
    {
        revoke_lease(std::exchange(lease_, 0));
    }
}

void claim::hand_over(common::time_point now, std::string const& reason)
{
    if (phase_ != phase::held)
    {
        return;
    }
    auto const lease = lease_;
    mark_lost(now, reason);
    next_step_at_ = now + settings_.handover_pause;
    revoke_lease(lease);
}

void claim::watch_claim()
{
    bool const smaller_holder =
        settings_.size >= holder_.who.size * settings_.size_ratio;
    auto const wait =
        smaller_holder ? settings_.preemption_interval : settings_.watch_wait;
    phase_ = phase::watching;
    call_pending_ = true;
    out_.store(
        life_,
        ports::kv_watch{std::string(keys::claim), watched_revision_, wait},
        wait + settings_.call_timeout,
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

void claim::request_lease(common::time_point now, std::uint64_t expected)
{
    discard_unused_lease();
    preempted_lease_ = 0;
    phase_ = phase::acquiring;
    call_pending_ = true;
    lease_requested_at_ = now;
    out_.store(life_,
               ports::kv_lease_grant{settings_.ttl},
               settings_.call_timeout,
               [this, expected](common::time_point at, kv_reply const& reply)
               {
                   call_pending_ = false;
                   if (retired_ || reply.status != kv_status::done)
                   {
                       on_acquire_failed(at, "lease", reply.status);
                       return;
                   }
                   write_key(reply.lease, expected);
               });
}

void claim::write_key(std::uint64_t lease, std::uint64_t expected)
{
    lease_ = lease;
    call_pending_ = true;
    ports::kv_commit commit;
    commit.preconditions.push_back({std::string(keys::claim), expected});
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
        on_own_key(now, reply.revision);
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
    bool const other_was_faster = status == kv_status::conflict;
    if (!other_was_faster)
    {
        unfit_until_ =
            std::max(unfit_until_, now + settings_.preemption_interval);
    }
    retry_later(now);
}

void claim::on_own_key(common::time_point now, std::uint64_t epoch)
{
    constexpr std::uint32_t max_attempts = 3;
    if (preempted_lease_ == 0)
    {
        on_acquired(now, epoch);
        return;
    }
    end_preempted_lease(now, epoch, max_attempts);
}

// An owner takes a renewed lease as proof that it has no successor. While the
// preempted holder could still renew its lease, it might start a task on a
// worker that has restarted and forgotten this instance's fencing token. This
// instance therefore sends no order before that lease has ended.
void claim::end_preempted_lease(common::time_point now,
                                std::uint64_t epoch,
                                std::uint32_t attempts_left)
{
    phase_ = phase::acquiring;
    if (attempts_left == 0 || retired_)
    {
        discard_unused_lease();
        back_off(now);
        on_acquire_failed(now, "end_lease", kv_status::unclear);
        return;
    }
    call_pending_ = true;
    out_.store(life_,
               ports::kv_lease_renew{lease_},
               settings_.call_timeout,
               [](common::time_point, kv_reply const&) {});
    out_.store(life_,
               ports::kv_lease_revoke{preempted_lease_},
               settings_.write_timeout,
               [this, epoch, attempts_left](common::time_point at,
                                            kv_reply const& reply)
               {
                   call_pending_ = false;
                   bool const ended = reply.status == kv_status::done ||
                                      reply.status == kv_status::missing;
                   if (!ended)
                   {
                       end_preempted_lease(at, epoch, attempts_left - 1);
                       return;
                   }
                   on_acquired(at, epoch);
               });
}

void claim::on_acquired(common::time_point now, std::uint64_t epoch)
{
    if (retired_)
    {
        return;
    }
    phase_ = phase::held;
    epoch_ = epoch;
    free_since_.reset();
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
    out_.store(life_,
               ports::kv_lease_renew{lease_},
               settings_.call_timeout,
               [this, now, lease = lease_](common::time_point at,
                                           kv_reply const& reply)
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
                       mark_lost(at, "the lease has ended");
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

void claim::mark_lost(common::time_point now, std::string const& reason)
{
    if (phase_ != phase::held)
    {
        return;
    }
    out_.log(severity::warning,
             "claim_lost",
             {{"epoch", std::to_string(epoch_)}, {"why", reason}});
    if (now - held_since_ < settings_.stable_after)
    {
        back_off(now);
    }
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

void claim::set_ready(bool ready) noexcept
{
    ready_ = ready;
}

// An item that is older than the claim belongs to an earlier claim.
void claim::on_item(common::time_point now, ports::kv_item const& item)
{
    if (phase_ != phase::held || item.revision <= epoch_)
    {
        return;
    }
    mark_lost(now,
              item.erased ? "the key was deleted"
                          : "the key was taken by another instance");
}

} // namespace fuchsia::core::pool
