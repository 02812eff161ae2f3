#pragma once

namespace fuchsia::core::membership
{

/// The parts of the takeover rule, one switch each. All are on wherever the
/// system runs; only tests turn one off, to see that the random walks find
/// the fault which that part prevents. No setting reaches them.
struct safety_rules
{
    /// A majority of the witnesses must consent before a burial. Without it a
    /// member that lost only the store is buried while it acts by promises.
    bool require_consent = true;
    /// The record must stand at one version for `bury`. Without it a member
    /// that beats is buried while its accepted beat still lets it act.
    bool require_unchanged_version = true;
    /// Proofs count from when the beat or the promise request was sent.
    /// Without it a late answer stretches a proof beyond `hold`.
    bool count_proof_from_send = true;
    /// While a change of the witness list is unclear, promises must come from
    /// majorities of the old and of the new list. Without it one list's
    /// witnesses promise while the other's consent.
    bool require_both_witness_lists = true;
};

} // namespace fuchsia::core::membership
