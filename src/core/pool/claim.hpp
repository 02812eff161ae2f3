#pragma once

#include "core/pool/claim_holder.hpp"
#include "core/pool/outbox.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsia::core::pool
{

struct claim_settings
{
    /// How long the store keeps the claim of an owner that fell silent. No
    /// shorter than the shortest lease that the store grants.
    common::duration ttl = std::chrono::milliseconds(1000);
    /// A renewal is sent this often, whether or not the last one was answered.
    common::duration renew_interval = std::chrono::milliseconds(250);
    common::duration call_timeout = std::chrono::milliseconds(900);
    /// Between two looks at a claim that somebody else holds.
    common::duration watch_wait = std::chrono::milliseconds(3000);
    /// After a failed try to claim.
    common::duration retry = std::chrono::milliseconds(100);
    /// How much of a pool this instance can schedule; 1 is half a core and 200
    /// Mbit/s.
    double size = 1;
    /// Smaller by this factor than a holder that was seen, an instance leaves a
    /// free claim to others first; larger by it, it asks for the claim.
    double clearly_larger = 2;
    /// How long it is left to them.
    common::duration yield = std::chrono::milliseconds(500);
    /// Between two requests for a claim that somebody smaller holds.
    common::duration ask_interval = std::chrono::seconds(5);
    /// Who gave the claim up leaves it to others for this long.
    common::duration handover_pause = std::chrono::seconds(2);
};

/// The right to schedule: one key under a lease of the store. The revision at
/// which the key came to be is the epoch, the fencing token of every order;
/// whoever claims later has a higher one.
class claim
{
public:
    claim(claim_settings settings, std::string self, outbox& out);

    void tick(common::time_point now);
    /// Gives the claim back, so that another instance takes it at once.
    void release();
    /// From here on it never claims again.
    void retire() noexcept;
    /// Gives the claim to whoever takes it next, and does not take it itself
    /// for a while.
    void hand_over(common::time_point now, std::string const& why);
    /// The claim is known to be lost, from elsewhere than the store.
    void mark_lost(std::string const& why);

    bool held() const noexcept;
    std::uint64_t epoch() const noexcept;
    /// The claim's condition, for commits that only its holder may make.
    ports::kv_precondition condition() const;
    /// When the last answered renewal was sent.
    common::time_point confirmed_at() const noexcept;
    common::time_point held_since() const noexcept;

    /// An event or a page of the store that concerns the claim's key, or that
    /// of a request for it.
    void on_item(common::time_point now, ports::kv_item const& item);

private:
    enum class phase : std::uint8_t
    {
        looking,  ///< Reads whether somebody holds it.
        waiting,  ///< Somebody does; a watch waits for the end of it.
        claiming, ///< Asks for a lease, then for the key.
        held,
        released,
    };

    void claim_or_yield(common::time_point now);
    std::optional<claim_holder> read_holder(ports::kv_item const& item);
    void end_lease(std::uint64_t lease);
    void note_holder(common::time_point now, ports::kv_item const& item);
    void ask_for_it(common::time_point now, claim_holder const& present);
    void look();
    void on_look(common::time_point now, ports::kv_reply const& reply);
    void watch();
    void on_watch(common::time_point now, ports::kv_reply const& reply);
    void ask_lease(common::time_point now);
    void ask_key(std::uint64_t lease);
    void on_key(common::time_point now, ports::kv_reply const& reply);
    void take(common::time_point now, std::uint64_t epoch);
    void renew(common::time_point now);
    void look_again(common::time_point now);

    claim_settings settings_;
    std::string self_;     ///< As the key's value: a `holder`.
    double largest_ = 0;   ///< Size of the largest holder that was seen.
    bool yielded_ = false; ///< The free claim was left to others once.
    common::time_point next_ask_{};
    outbox& out_;
    lifetime_token life_ = std::make_shared<char>();
    phase phase_ = phase::looking;
    bool retired_ = false;
    bool busy_ = false; ///< A call of the present phase waits for its answer.
    std::uint64_t lease_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t seen_revision_ = 0;
    common::time_point next_step_{};
    common::time_point asked_{};
    common::time_point confirmed_{};
    common::time_point since_{};
};

} // namespace fuchsia::core::pool
