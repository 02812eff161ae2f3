#include "core/pool/claim.hpp"

#include "core/pool/keys.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

claim::claim(claim_settings settings, std::string self, outbox& out)
    : settings_(settings),
      self_(to_json(claim_holder{std::move(self), settings.size})), out_(out)
{
}

void claim::tick(common::time_point now)
{
    if (now < next_step_ || phase_ == phase::released)
    {
        return;
    }
    if (phase_ == phase::held)
    {
        renew(now);
    }
    else if (!busy_ && !retired_)
    {
        look();
    }
}

void claim::look()
{
    busy_ = true;
    phase_ = phase::looking;
    out_.store(life_,
               ports::kv_read{std::string(keys::claim)},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_look(at, reply);
               });
}

void claim::on_look(common::time_point now, kv_reply const& reply)
{
    busy_ = false;
    if (phase_ != phase::looking)
    {
        return;
    }
    if (reply.status == kv_status::missing)
    {
        claim_or_yield(now);
        return;
    }
    if (reply.status != kv_status::done || reply.items.empty())
    {
        look_again(now);
        return;
    }
    auto const& item = reply.items.front();
    // Our own claim, whose answer was lost.
    if (item.value == self_ && lease_ != 0 && item.lease == lease_)
    {
        take(now, item.create_revision);
        return;
    }
    seen_revision_ = reply.revision;
    yielded_ = false;
    note_holder(now, item);
    watch();
}

// A small instance that schedules a large pool fills its own link and
// processor, and its renewals come late. So whoever is clearly smaller than a
// holder it has seen lets others try first.
void claim::claim_or_yield(common::time_point now)
{
    bool const small = settings_.size * settings_.clearly_larger <= largest_;
    if (!small || yielded_)
    {
        yielded_ = false;
        ask_lease(now);
        return;
    }
    yielded_ = true;
    phase_ = phase::looking;
    next_step_ = now + settings_.yield;
}

std::optional<claim_holder> claim::read_holder(ports::kv_item const& item)
{
    common::failure reason;
    auto read = parse_claim_holder(item.value, reason);
    if (!read)
    {
        out_.log(severity::warning,
                 "holder_unreadable",
                 {{"why", common::to_string(reason)}});
    }
    return read;
}

void claim::note_holder(common::time_point now, ports::kv_item const& item)
{
    auto const present = read_holder(item);
    if (!present)
    {
        return;
    }
    largest_ = std::max(largest_, present->size);
    if (settings_.size >= present->size * settings_.clearly_larger)
    {
        ask_for_it(now, *present);
    }
}

// Whoever starts first claims first, large or small. Lost or unanswered, the
// request is made again at a later look.
void claim::ask_for_it(common::time_point now, claim_holder const& present)
{
    if (now < next_ask_ || retired_)
    {
        return;
    }
    next_ask_ = now + settings_.ask_interval;
    out_.log(severity::info,
             "claim_wanted",
             {{"holder", present.instance},
              {"its_size", std::to_string(present.size)},
              {"our_size", std::to_string(settings_.size)}});
    ports::kv_commit commit;
    commit.puts.push_back({std::string(keys::handover), self_, 0});
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

// Lost, the call is needless: unrenewed, the lease ends within its time.
void claim::end_lease(std::uint64_t lease)
{
    out_.store(life_,
               ports::kv_lease_revoke{lease},
               settings_.call_timeout,
               [](common::time_point, kv_reply const&) {});
}

void claim::hand_over(common::time_point now, std::string const& why)
{
    if (phase_ != phase::held)
    {
        return;
    }
    auto const lease = lease_;
    mark_lost(why);
    next_step_ = now + settings_.handover_pause;
    end_lease(lease);
}

void claim::watch()
{
    phase_ = phase::waiting;
    busy_ = true;
    out_.store(life_,
               ports::kv_watch{std::string(keys::claim),
                               seen_revision_,
                               settings_.watch_wait},
               settings_.watch_wait + settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_watch(at, reply);
               });
}

void claim::on_watch(common::time_point now, kv_reply const& reply)
{
    busy_ = false;
    if (phase_ != phase::waiting || retired_)
    {
        return;
    }
    if (reply.status != kv_status::done)
    {
        look_again(now);
        return;
    }
    seen_revision_ = reply.revision;
    if (!reply.items.empty() && reply.items.back().erased)
    {
        claim_or_yield(now);
        return;
    }
    // A watch may have been deaf to the one change that matters: look.
    look();
}

void claim::ask_lease(common::time_point now)
{
    phase_ = phase::claiming;
    busy_ = true;
    asked_ = now;
    out_.store(life_,
               ports::kv_lease_grant{settings_.ttl},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   busy_ = false;
                   if (retired_ || reply.status != kv_status::done)
                   {
                       look_again(at);
                       return;
                   }
                   ask_key(reply.lease);
               });
}

void claim::ask_key(std::uint64_t lease)
{
    lease_ = lease;
    busy_ = true;
    ports::kv_commit commit;
    commit.preconditions.push_back({std::string(keys::claim), 0});
    commit.puts.push_back({std::string(keys::claim), self_, lease});
    out_.store(life_,
               std::move(commit),
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_key(at, reply);
               });
}

void claim::on_key(common::time_point now, kv_reply const& reply)
{
    busy_ = false;
    if (reply.status == kv_status::done)
    {
        take(now, reply.revision);
        return;
    }
    // Lost to another instance, or unclear: reading tells.
    look_again(now);
}

void claim::take(common::time_point now, std::uint64_t epoch)
{
    if (retired_)
    {
        return;
    }
    phase_ = phase::held;
    epoch_ = epoch;
    confirmed_ = asked_;
    since_ = now;
    next_step_ = now;
    out_.log(
        severity::info,
        "claim_taken",
        {{"epoch", std::to_string(epoch)}, {"lease", std::to_string(lease_)}});
}

void claim::renew(common::time_point now)
{
    next_step_ = now + settings_.renew_interval;
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
                confirmed_ = std::max(confirmed_, now);
            }
            else if (reply.status == kv_status::missing)
            {
                mark_lost("lease ended");
            }
        });
}

void claim::release()
{
    bool const held_now = phase_ == phase::held;
    retired_ = true;
    phase_ = phase::released;
    if (!held_now)
    {
        return;
    }
    out_.log(
        severity::info, "claim_released", {{"epoch", std::to_string(epoch_)}});
    end_lease(lease_);
}

void claim::retire() noexcept
{
    retired_ = true;
}

void claim::mark_lost(std::string const& why)
{
    if (phase_ != phase::held)
    {
        return;
    }
    out_.log(severity::warning,
             "claim_lost",
             {{"epoch", std::to_string(epoch_)}, {"why", why}});
    phase_ = phase::looking;
    busy_ = false;
    lease_ = 0;
    next_step_ = {};
}

void claim::look_again(common::time_point now)
{
    if (phase_ == phase::released)
    {
        return;
    }
    phase_ = phase::looking;
    next_step_ = now + settings_.retry;
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
    return confirmed_;
}

common::time_point claim::held_since() const noexcept
{
    return since_;
}

// What is older than the claim concerned an earlier one.
void claim::on_item(common::time_point now, ports::kv_item const& item)
{
    if (phase_ != phase::held || item.revision <= epoch_)
    {
        return;
    }
    if (item.key == keys::claim)
    {
        mark_lost(item.erased ? "key erased" : "key taken by another");
        return;
    }
    auto const to = item.erased ? std::nullopt : read_holder(item);
    if (to)
    {
        hand_over(now, "asked for by " + to->instance);
    }
}

} // namespace fuchsia::core::pool
