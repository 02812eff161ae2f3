#pragma once

#include "core/common/time.hpp"
#include "core/membership/own_record.hpp"
#include "core/membership/safety_rules.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

// Proofs that allow this member to act: accepted heartbeats and the promises of
// its witnesses.
namespace fuchsia::core::membership
{

/// Proofs of this member. A proof is the time at which a heartbeat was sent
/// that the store accepted, or a round of promise requests that majorities of
/// the witnesses granted. It allows the member to act for `proof_lifetime` from
/// that time on.
///
/// If it counted from the reply instead, a slow network could extend the proof
/// beyond the time after which others may fence this member, and two members
/// would act for the same claim.
class proof
{
public:
    explicit proof(safety_rules rules);

    /// Handles that the store accepted a heartbeat that was sent at `sent_at`.
    void on_heartbeat_accepted(common::time_point now,
                               common::time_point sent_at);
    /// Starts a new round of promise requests at `now` and returns its number.
    std::uint64_t begin_round(common::time_point now);
    /// Handles a promise of `witness`. `lists` are all witness lists that the
    /// store may hold.
    void on_promise(common::time_point now,
                    ports::member_identity const& witness,
                    std::uint64_t round,
                    std::vector<witness_list> const& lists);
    /// Invalidates all proofs, including those that replies to earlier calls
    /// would give.
    void invalidate_all(common::time_point now) noexcept;

    /// Time at which the newest proof was sent; empty if there is none.
    std::optional<common::time_point> newest() const noexcept;
    bool newest_is_from_store() const noexcept;

private:
    struct promise_round
    {
        std::uint64_t number = 0;
        common::time_point sent_at;
    };

    std::optional<common::time_point>
    majority_since(witness_list const& list) const;

    safety_rules rules_;
    std::optional<common::time_point> store_proof_;
    std::optional<common::time_point> witness_proof_;
    /// Proofs that were sent before this time do not count.
    common::time_point min_sent_at_ = common::time_point::min();
    std::uint64_t last_round_ = 0;
    std::deque<promise_round> rounds_;
    std::map<ports::member_identity, common::time_point> promises_;
};

} // namespace fuchsia::core::membership
