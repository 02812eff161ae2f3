#pragma once

#include "core/common/time.hpp"
#include "core/membership/own_record.hpp"
#include "core/membership/safety_rules.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

// What lets this member act: accepted beats, and promises of its witnesses.
namespace fuchsia::core::membership
{

/// The proofs that this member holds. A proof is a time of sending, of a beat
/// that the store accepted or of a round of promise requests that majorities
/// of the witnesses granted; it lets the member act for `hold` from then.
///
/// Counting from the answer instead would let a slow network stretch the proof
/// beyond the time after which others may bury this member: two would act.
class proof
{
public:
    explicit proof(safety_rules rules);

    /// A beat that was sent at `sent` is known to have been accepted.
    void on_heartbeat_accepted(common::time_point now, common::time_point sent);
    /// A new round of promise requests goes out now; its number.
    std::uint64_t begin_round(common::time_point now);
    /// A witness granted a round. `lists` are all that the store may hold.
    void on_promise(common::time_point now,
                    ports::member_identity const& witness,
                    std::uint64_t round,
                    std::vector<witness_list> const& lists);
    /// Voids all proofs, and those that answers to earlier calls would give.
    void invalidate_all(common::time_point now) noexcept;

    /// When the newest proof was sent; nothing where there is none.
    std::optional<common::time_point> newest() const noexcept;
    bool newest_is_from_store() const noexcept;

private:
    struct round_sent
    {
        std::uint64_t number = 0;
        common::time_point sent;
    };

    std::optional<common::time_point>
    majority_since(witness_list const& list) const;

    safety_rules rules_;
    std::optional<common::time_point> store_proof_;
    std::optional<common::time_point> witness_proof_;
    /// Proofs sent before this do not count.
    common::time_point min_sent_at_ = common::time_point::min();
    std::uint64_t last_round_ = 0;
    std::deque<round_sent> rounds_;
    std::map<ports::member_identity, common::time_point> promises_;
};

} // namespace fuchsia::core::membership
