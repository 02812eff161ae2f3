#pragma once

#include "core/pool/backlog.hpp"
#include "core/pool/claim_holder.hpp"
#include "core/pool/outbox.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::pool
{

struct claim_settings
{
    /// Lease time of the claim, after which the store drops the claim of an
    /// owner that no longer renews it. Not below the shortest lease that the
    /// store grants.
    common::duration ttl = std::chrono::milliseconds(1000);
    /// Time between two lease renewals. A renewal is sent whether or not the
    /// previous one was answered.
    common::duration renew_interval = std::chrono::milliseconds(250);
    /// Timeout of one call to the store.
    common::duration call_timeout = std::chrono::milliseconds(900);
    /// Timeout of the write of the key. Short enough that after a lost answer
    /// the claim is found to be this instance's own before its lease expires.
    common::duration write_timeout = std::chrono::milliseconds(400);
    /// Maximum wait of a watch on a claim that another instance holds; the
    /// claim is read again after it.
    common::duration watch_wait = std::chrono::milliseconds(3000);
    /// Delay after a failed attempt to read or acquire the claim.
    common::duration retry_interval = std::chrono::milliseconds(100);
    /// Scheduling capacity of this instance, relative to half a core and 200
    /// Mbit/s.
    double size = 1;
    /// Minimum ratio of two sizes at which one instance counts as clearly
    /// larger. An instance that is smaller than the largest known holder by at
    /// least this factor lets others acquire a free claim first; one that is
    /// larger than the current holder by at least this factor preempts it.
    double size_ratio = 2;
    /// Time for which a clearly smaller instance leaves a free claim to others;
    /// one that is not fit to be the owner does so twice as long.
    common::duration yield_delay = std::chrono::milliseconds(300);
    /// Time for which an instance does not acquire the claim after it has
    /// handed the claim over.
    common::duration handover_pause = std::chrono::seconds(2);
    /// Time for which a working holder is observed before it is preempted: its
    /// record may not show yet that a worker has just been lost, for which a
    /// successor would have to wait.
    common::duration observation_time = std::chrono::seconds(2);
    /// The same time where its record shows such workers.
    common::duration unreached_limit = std::chrono::seconds(8);
    /// Interval at which an instance that may preempt a holder examines it.
    common::duration preemption_interval = std::chrono::seconds(1);
    /// An instance that loses the claim sooner than this after it acquired it
    /// is not fit to be the owner for now.
    common::duration stable_after = std::chrono::seconds(30);
    /// Time for which such an instance preempts no holder and leaves a free
    /// claim to others first. Doubles with each further loss, up to the
    /// maximum.
    common::duration min_backoff = std::chrono::seconds(5);
    common::duration max_backoff = std::chrono::seconds(80);
};

/// The exclusive right to schedule, held as one key of the store under a lease.
/// The revision at which the holder wrote the key is the epoch, which is the
/// fencing token of every order; a later holder has a higher epoch.
///
/// An instance that is clearly larger than the holder preempts it: it writes
/// the key under its own lease on the condition that the key still has the
/// holder's revision, and then ends the holder's lease. The claim is thus never
/// free in between, an instance that can't write leaves the holder alone, and a
/// write that takes effect late can't hit a later holder.
class claim
{
public:
    claim(claim_settings settings, std::string instance_name, outbox& out);

    void tick(common::time_point now);
    /// Revokes the lease, so that another instance can acquire the claim at
    /// once, and stops this instance from acquiring it again.
    void release();
    /// Stops this instance from acquiring the claim; a held claim stays held.
    void retire() noexcept;
    /// Sets whether this instance could schedule at once, because it has a
    /// current configuration. Initially false.
    void set_ready(bool ready) noexcept;
    /// Revokes the lease and leaves the claim to other instances for
    /// `handover_pause`.
    void hand_over(common::time_point now, std::string const& reason);
    /// Marks the claim as lost without a call to the store, for instance
    /// because a worker has reported a higher fencing token.
    void mark_lost(common::time_point now, std::string const& reason);

    bool held() const noexcept;
    std::uint64_t epoch() const noexcept;
    /// Precondition for commits that only the holder of the claim may make.
    ports::kv_precondition condition() const;
    /// Time at which the last renewal that the store confirmed was sent.
    common::time_point confirmed_at() const noexcept;
    common::time_point held_since() const noexcept;

    /// Processes an item of the store, from an event or a page, for the key of
    /// the claim.
    void on_item(common::time_point now, ports::kv_item const& item);

private:
    enum class phase : std::uint8_t
    {
        reading,   ///< Reads the key, or waits for the time of the next read.
        watching,  ///< Another instance holds the claim; a watch is pending.
        acquiring, ///< Requests a lease, then writes the key.
        held,      ///< This instance holds the claim.
        released,  ///< This instance does not acquire the claim again.
    };

    /// The holder of the claim as seen by this instance.
    struct observed_holder
    {
        claim_holder who;
        std::uint64_t epoch = 0; ///< 0: none has been seen.
        std::uint64_t lease = 0;
        common::time_point since{};
    };

    bool is_fit(common::time_point now) const noexcept;
    bool is_small() const noexcept;
    common::duration time_to_yield(common::time_point now) const noexcept;
    void acquire_or_yield(common::time_point now);
    std::optional<claim_holder> read_holder(ports::kv_item const& item);
    void revoke_lease(std::uint64_t lease);
    void discard_unused_lease();
    void observe_holder(common::time_point now, ports::kv_item const& item);
    void preempt_or_watch(common::time_point now);
    bool may_preempt(common::time_point now) const noexcept;
    void examine_holder();
    void on_holder_examined(common::time_point now,
                            ports::kv_reply const& reply);
    backlog backlog_in(ports::kv_reply const& reply);
    bool should_preempt(common::time_point now, backlog const& record) const;
    void try_state();
    void on_state_read(common::time_point now, ports::kv_reply const& reply);
    void preempt(common::time_point now);
    void back_off(common::time_point now);
    void read_claim();
    void on_claim_read(common::time_point now, ports::kv_reply const& reply);
    void watch_claim();
    void on_watch(common::time_point now, ports::kv_reply const& reply);
    /// Acquires the claim if its key still has the revision `expected`; 0: if
    /// the claim is free.
    void request_lease(common::time_point now, std::uint64_t expected);
    void write_key(std::uint64_t lease, std::uint64_t expected);
    void on_key_written(common::time_point now, ports::kv_reply const& reply);
    void on_acquire_failed(common::time_point now,
                           std::string_view call,
                           ports::kv_status status);
    void on_own_key(common::time_point now, std::uint64_t epoch);
    void end_preempted_lease(common::time_point now,
                             std::uint64_t epoch,
                             std::uint32_t attempts_left);
    void on_acquired(common::time_point now, std::uint64_t epoch);
    void renew(common::time_point now);
    void retry_later(common::time_point now);

    claim_settings settings_;
    std::string own_record_; ///< Value of the key: a `claim_holder` as JSON.
    double largest_holder_size_ = 0; ///< Size of the largest known holder.
    /// Time at which the claim was first seen free; empty while it is held.
    std::optional<common::time_point> free_since_;
    observed_holder holder_;
    bool ready_ = false;
    common::duration backoff_;         ///< Length of the next backoff.
    common::time_point unfit_until_{}; ///< End of the present backoff.
    outbox& out_;
    lifetime_token life_ = std::make_shared<char>();
    phase phase_ = phase::reading;
    bool retired_ = false;
    /// A call to read, watch or acquire the claim is pending.
    bool call_pending_ = false;
    std::uint64_t lease_ = 0;
    /// Lease of the holder that this instance is preempting; 0: none.
    std::uint64_t preempted_lease_ = 0;
    std::uint64_t epoch_ = 0;
    /// Revision from which the next watch continues.
    std::uint64_t watched_revision_ = 0;
    /// Earliest time of the next renewal or read.
    common::time_point next_step_at_{};
    common::time_point lease_requested_at_{};
    common::time_point confirmed_at_{};
    common::time_point held_since_{};
    /// Earliest time of the next log line about missing confirmations.
    common::time_point next_unconfirmed_report_{};
};

} // namespace fuchsia::core::pool
