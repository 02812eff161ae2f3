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

// A customer's limits on requests hold over all entries together. The owner
// of the customer's partition cuts them into slices and lends one to each
// entry that asks. An entry admits requests only within its slice.
namespace fuchsia::core::contracts
{

struct slice_settings
{
    /// How long a slice may be used, from when it was asked for.
    common::duration lifetime = std::chrono::seconds(2);
    /// Clocks may differ in speed by this much.
    std::uint32_t drift_permille = 30;
    common::duration renew_interval = std::chrono::milliseconds(500);
    /// Least time between two requests for the same customer.
    common::duration min_request_interval = std::chrono::milliseconds(20);
    /// An unanswered request is repeated after this.
    common::duration request_timeout = std::chrono::milliseconds(150);
    /// No entry holds a larger part of a contract, so that a new owner knows
    /// how much an entry that does not report may have at most. Half as much
    /// again as the even share of nine: an entry can take more than its share,
    /// and a new owner has half the contract left to lend while a whole data
    /// centre of three entries can't report.
    std::uint32_t max_share_permille = 167;
    /// How long requests of an entry that died may run on.
    common::duration max_execution = std::chrono::seconds(30);
};

enum class slice_verdict : std::uint8_t
{
    admitted,
    no_slice,                ///< None in force: ask and wait a moment.
    in_flight_limit_reached, ///< Its requests in flight are used up.
    rate_limit_reached,
};

/// One customer's slice at the entry that borrows it.
class slice_holder
{
public:
    explicit slice_holder(slice_settings settings);

    slice_verdict admit(common::time_point now,
                        ports::request_class kind,
                        contract const& limits);
    void on_request_end(ports::request_class kind) noexcept;
    /// One more request would have been admitted with a larger slice.
    void count_unmet_demand() noexcept;

    /// The next request for a slice where it is time for one.
    std::optional<ports::slice_request> next_request(common::time_point now,
                                                     contract const& limits);
    /// Asks again at once: the customer's owner is another one.
    void request_at_once() noexcept;
    void on_grant(common::time_point now, ports::slice_grant const& grant);

    /// Whether the owner gave less than was wanted just now, so that waiting
    /// for more is in vain.
    bool is_limited(common::time_point now) const noexcept;
    /// The same for requests a second.
    bool is_rate_limited(common::time_point now) const noexcept;
    std::uint32_t in_flight() const noexcept;
    /// Most that may be in flight here until the next grant.
    std::uint32_t in_flight_bound(common::time_point now) const noexcept;

private:
    bool is_valid(common::time_point now) const noexcept;
    bool is_time(common::time_point now) const noexcept;
    void refill(common::time_point now) noexcept;

    slice_settings settings_;
    std::array<std::uint32_t, 2> in_flight_{}; ///< By class.
    std::uint32_t slots_ = 0;                  ///< The slice in force.
    std::uint32_t rate_ = 0;
    common::time_point valid_until_{};
    double tokens_ = 0;
    common::time_point refilled_{};

    std::uint64_t round_ = 0;
    bool waiting_ = false; ///< For the answer to `round_`.
    bool at_rest_ = true;  ///< Nothing held and nothing wanted.
    std::optional<common::time_point> asked_;
    std::uint32_t wanted_ = 0;
    std::uint32_t wanted_rate_ = 0;
    common::time_point limited_until_{};
    common::time_point rate_limited_until_{};

    std::uint32_t peak_ = 0; ///< Demand since the last request for a slice.
    std::uint32_t unmet_ = 0;
    std::uint32_t arrivals_ = 0;
    double demand_ = 0;
    double demand_rate_ = 0;
};

/// One customer's limits at the owner: what each entry may have.
///
/// What an entry may have in flight is what it last reported or what it was
/// granted in answer, whichever is more, until it reports again: an entry
/// reports what it may still use of its slice, and takes no grant for an
/// earlier report. The sum of these bounds never exceeds the contract, however
/// many messages are lost or late. A slice that an entry does not give back is
/// therefore not lent again until the entry reports or is buried and its
/// requests have had time to end.
///
/// An owner that took over knows no grants of its predecessor. It counts each
/// entry that has not reported to it with the most that one may hold.
class slice_ledger
{
public:
    explicit slice_ledger(slice_settings settings);

    /// `others` are the entries that may hold a predecessor's grants.
    void take_over(common::time_point now,
                   std::vector<ports::member_identity> const& others);
    /// Empty for a request that a later one of the same entry has overtaken.
    std::optional<ports::slice_grant>
    grant(common::time_point now,
          ports::member_identity const& member,
          ports::slice_request const& request,
          contract const& limits,
          std::uint32_t members,
          std::uint64_t revision);
    /// The entry was buried: what it had runs out.
    void on_member_fenced(common::time_point now,
                          ports::member_identity const& member);

    /// Most that may be in flight at all entries together.
    std::uint32_t granted_in_flight(common::time_point now) const noexcept;

private:
    struct share
    {
        std::uint64_t round = 0;
        bool reported = false; ///< False: counted with the cap.
        std::uint32_t bound = 0;
        std::uint32_t wanted = 0;
        std::uint32_t wanted_rate = 0;
        common::time_point asked;
        std::uint32_t rate = 0;
        common::time_point rate_until;
        std::uint32_t old_rate = 0;
        common::time_point old_rate_until;
        std::optional<common::time_point> ends; ///< Gone or unreported: when.
    };

    std::uint32_t cap_of(std::uint32_t limit,
                         std::uint32_t members) const noexcept;
    void drop_ended(common::time_point now);
    common::duration lease() const noexcept;
    std::uint32_t fair_part(common::time_point now,
                            std::uint32_t limit,
                            std::uint32_t wanted,
                            std::uint32_t share::*member) const noexcept;
    std::uint32_t others_slots(ports::member_identity const& but,
                               std::uint32_t cap) const noexcept;
    std::uint32_t others_rate(common::time_point now,
                              ports::member_identity const& but,
                              std::uint32_t cap) const noexcept;

    slice_settings settings_;
    std::map<ports::member_identity, share> shares_;
    std::uint32_t last_cap_ = 0;
};

} // namespace fuchsia::core::contracts
