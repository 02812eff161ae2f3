#pragma once

#include "core/common/time.hpp"
#include "core/contracts/contract.hpp"
#include "ports/identity.hpp"
#include "ports/peer.hpp"
#include "ports/requests.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

// A customer's limits on requests apply to all entries together. The owner of
// the customer's partition divides them into slices and leases one to each
// entry that requests one. An entry admits requests only within its slice.
namespace fuchsia::core::contracts
{

struct slice_settings
{
    /// Time that a slice may be used, counted from the request for it.
    common::duration lifetime = std::chrono::seconds(2);
    /// Maximum difference in speed between clocks, in thousandths.
    std::uint32_t drift_permille = 30;
    /// Time between two requests of an entry that has enough.
    common::duration renew_interval = std::chrono::milliseconds(500);
    /// Minimum time between two requests for the same customer.
    common::duration min_request_interval = std::chrono::milliseconds(20);
    /// Time after which an unanswered request is repeated.
    common::duration request_timeout = std::chrono::milliseconds(150);
    /// Maximum share of a contract that one entry gets, in thousandths, so that
    /// a new owner knows how much an entry that has not reported may hold. It
    /// is one and a half times the even share of nine entries: an entry can get
    /// more than its even share, and a new owner can still lease half of the
    /// contract while a whole data centre of three entries can't report.
    std::uint32_t max_share_permille = 167;
    /// Maximum time that requests of a failed entry may still run.
    common::duration max_execution = std::chrono::seconds(30);
};

enum class slice_verdict : std::uint8_t
{
    admitted,
    no_slice,                ///< No valid slice: request one and wait briefly.
    in_flight_limit_reached, ///< The slice's requests in flight are used up.
    rate_limit_reached,      ///< The rate of the slice is used up.
};

/// One customer's slice at the entry that leases it.
class slice_holder
{
public:
    explicit slice_holder(slice_settings settings);

    /// Admits a request if it is within the slice, and counts it in flight.
    slice_verdict admit(common::time_point now,
                        ports::request_class kind,
                        contract const& limits);
    void on_request_end(ports::request_class kind) noexcept;
    /// Counts a request that a larger slice would have admitted.
    void count_unmet_demand() noexcept;

    /// The next request for a slice; empty if none is due.
    std::optional<ports::slice_request> next_request(common::time_point now,
                                                     contract const& limits);
    /// Makes a request due at once, because the customer's owner has changed.
    void request_at_once() noexcept;
    /// Replaces the slice; ignores a grant that does not answer the last
    /// request.
    void on_grant(common::time_point now, ports::slice_grant const& grant);

    /// Whether the last grant was recently smaller than requested, so that it
    /// is useless to wait for a larger slice.
    bool is_limited(common::time_point now) const noexcept;
    /// The same as `is_limited` for requests per second.
    bool is_rate_limited(common::time_point now) const noexcept;
    std::uint32_t in_flight() const noexcept;
    /// Maximum that may be in flight at this entry until the next grant.
    std::uint32_t in_flight_bound(common::time_point now) const noexcept;

private:
    bool is_valid(common::time_point now) const noexcept;
    bool is_request_due(common::time_point now) const noexcept;
    void refill_tokens(common::time_point now) noexcept;

    slice_settings settings_;
    std::array<std::uint32_t, 2> in_flight_{}; ///< Per request class.
    std::uint32_t slots_ = 0; ///< Requests in flight allowed by the slice.
    std::uint32_t rate_ = 0;  ///< Requests per second allowed by the slice.
    common::time_point valid_until_{};
    double tokens_ = 0; ///< Token bucket: requests that may start now.
    common::time_point refilled_at_{};

    std::uint64_t round_ = 0;     ///< Number of the last request for a slice.
    bool awaiting_grant_ = false; ///< The request `round_` is unanswered.
    bool inactive_ = true;        ///< Holds no slice and needs none.
    std::optional<common::time_point>
        requested_at_; ///< Time of the last request for a slice.
    std::uint32_t requested_slots_ = 0; ///< Requested last.
    std::uint32_t requested_rate_ = 0;  ///< Requested last.
    common::time_point limited_until_{};
    common::time_point rate_limited_until_{};

    // Counts since the last request for a slice.
    std::uint32_t peak_in_flight_ = 0;
    std::uint32_t unmet_demand_ = 0;
    std::uint32_t arrivals_ = 0;
    double demand_ = 0;      ///< Decaying maximum, in requests in flight.
    double demand_rate_ = 0; ///< Decaying maximum, in requests per second.
};

/// One customer's limits at the owner, and the part of them that each entry
/// holds.
///
/// The bound on an entry's requests in flight is what it last reported or what
/// it was granted in answer, whichever is more, until it reports again. This
/// holds because an entry reports what it may still use of its slice and
/// ignores a grant that answers an earlier report. The sum of these bounds
/// never exceeds the contract, however many messages are lost or late. A slice
/// that an entry does not return is therefore not leased again until the entry
/// reports, or is fenced and its requests have had time to end.
///
/// A new owner does not know its predecessor's grants. It counts each entry
/// that has not reported to it with the maximum that an entry may hold.
class slice_ledger
{
public:
    explicit slice_ledger(slice_settings settings);

    /// Starts as a new owner; `others` are the entries that may hold grants of
    /// a predecessor.
    void take_over(common::time_point now,
                   std::vector<ports::member_identity> const& others);
    /// Answers a request for a slice; empty if the entry's later request has
    /// already been answered.
    std::optional<ports::slice_grant>
    grant(common::time_point now,
          ports::member_identity const& member,
          ports::slice_request const& request,
          contract const& limits,
          std::uint32_t members,
          std::uint64_t revision);
    /// Lets the share of a fenced entry expire.
    void on_member_fenced(common::time_point now,
                          ports::member_identity const& member);

    /// Maximum that may be in flight at all entries together.
    std::uint32_t granted_in_flight(common::time_point now) const noexcept;

private:
    struct share
    {
        std::uint64_t round = 0; ///< Number of the entry's last request.
        bool reported = false;   ///< False: counted with the maximum share.
        std::uint32_t bound = 0; ///< Maximum requests in flight.
        std::uint32_t wanted = 0;
        std::uint32_t wanted_rate = 0;
        common::time_point requested_at;
        std::uint32_t rate = 0;
        common::time_point rate_until;
        std::uint32_t previous_rate = 0; ///< May still be in use.
        common::time_point previous_rate_until;
        std::optional<common::time_point>
            expires_at; ///< Set for fenced and unreported entries.
    };

    /// Maximum part of `limit` that one of `members` entries gets.
    std::uint32_t cap_of(std::uint32_t limit,
                         std::uint32_t members) const noexcept;
    void remove_expired(common::time_point now);
    /// `lifetime`, extended by the maximum clock drift.
    common::duration lease_duration() const noexcept;
    std::uint32_t fair_share(common::time_point now,
                             std::uint32_t limit,
                             std::uint32_t wanted,
                             std::uint32_t share::*demand) const noexcept;
    std::uint32_t slots_of_others(ports::member_identity const& excluded,
                                  std::uint32_t cap) const noexcept;
    std::uint32_t rate_of_others(common::time_point now,
                                 ports::member_identity const& excluded,
                                 std::uint32_t cap) const noexcept;

    slice_settings settings_;
    std::map<ports::member_identity, share> shares_;
    std::uint32_t last_cap_ = 0;
};

} // namespace fuchsia::core::contracts
