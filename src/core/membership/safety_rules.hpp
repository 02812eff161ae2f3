#pragma once

namespace fuchsia::core::membership
{

/// Conditions of the takeover protocol, one switch each. All are on in
/// production; only tests turn one off, to check that the random walks find the
/// fault that it prevents. There is no setting for them.
struct safety_rules
{
    /// A majority of the witnesses must consent before a member is fenced.
    /// Without it a member that has lost only the store is fenced while it acts
    /// on the promises of its witnesses.
    bool require_consent = true;
    /// The record must be unchanged for `fencing_delay`. Without it a member
    /// that sends heartbeats is fenced while an accepted heartbeat still allows
    /// it to act.
    bool require_unchanged_version = true;
    /// Proofs count from the time at which the heartbeat or promise request was
    /// sent. Without it a late reply extends a proof beyond `proof_lifetime`.
    bool count_proof_from_send = true;
    /// While the outcome of a change of the witness list is unknown, promises
    /// must come from majorities of both the old and the new list. Without it
    /// the witnesses of one list promise while those of the other consent.
    bool require_both_witness_lists = true;
};

} // namespace fuchsia::core::membership
