#pragma once

#include "ports/identity.hpp"
#include "ports/requests.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Messages between the processes of this system. adapters/peer encodes them as
// FlatBuffers frames (schema/peer.fbs); the core never handles a frame.
namespace fuchsia::ports
{

/// Asks a witness to promise that, for the fencing delay, it gives no consent
/// to fence the sender. Also carries the configuration revision.
struct promise_request
{
    std::uint64_t round = 0;
    /// Newest known version of the sender's record.
    std::uint64_t record_version = 0;
    std::uint64_t config_revision = 0;
};

struct promise_reply
{
    std::uint64_t round = 0;
    bool granted = false;
    std::uint64_t config_revision = 0;
};

/// Asks a witness for consent to fence `subject`, whose record the sender has
/// read twice at the same version.
struct consent_request
{
    member_identity subject;
    std::uint64_t record_version = 0;
};

struct consent_reply
{
    member_identity subject;
    std::uint64_t record_version = 0;
    bool granted = false;
};

/// The complete configuration, sent to a peer that has an older revision.
struct config_offer
{
    std::uint64_t revision = 0;
    std::string document;
};

struct config_request
{
    std::uint64_t revision = 0; ///< Revision that the sender has.
};

/// Load of the sender, sent to every peer a few times per second.
struct load_report
{
    std::uint32_t free_slots = 0;
    std::uint32_t queued = 0;
};

/// One request that another entry runs: the owner of its idempotency key, or an
/// entry with free slots (a spill). The receiver never forwards it again.
struct forwarded_request
{
    std::uint64_t id = 0;
    bool spill = false;     ///< No key: any free slot may run the request.
    caller_request request; ///< `deadline` is the time left on sending.
    /// Epoch of the receiver's claim of the key's partition, if the sender
    /// confirms that the caller sent the request after that claim began;
    /// otherwise 0.
    std::uint64_t epoch = 0;
};

struct forwarded_answer
{
    std::uint64_t id = 0;
    caller_answer answer;
    /// Load of the answering entry, as in `load_report`. An entry that forwards
    /// many requests to a peer thus sees changes of its free slots at once.
    std::uint32_t free_slots = 0;
    std::uint32_t queued = 0;
};

/// Asks the owner of hash(customer) for a slice of the customer's contract.
struct slice_request
{
    std::uint64_t round = 0;
    std::string customer;
    /// Maximum number of requests that may be in flight at the sender until the
    /// reply arrives: the number in flight now, or the slice still valid if
    /// that is larger.
    std::uint32_t in_use = 0;
    std::uint32_t wanted = 0;      ///< Requested limit of requests in flight.
    std::uint32_t wanted_rate = 0; ///< Requested rate limit, in requests/s.
};

/// A slice that is valid for `valid_us` counted from the time at which the
/// request was SENT, on the clock of the requesting entry.
struct slice_grant
{
    std::uint64_t round = 0;
    std::string customer;
    std::uint32_t in_flight = 0;
    std::uint32_t rate = 0;
    std::uint64_t valid_us = 0;
    std::uint64_t config_revision = 0; ///< Revision of the contract.
};

/// One recorded idempotency key of a partition that changes its owner in a
/// planned stop.
struct remembered_key
{
    std::string customer;
    std::string key;
    bool finished = false; ///< False: still running at the handover.
    caller_answer answer;
    std::uint64_t age_us = 0;
    /// Hash of method, target and body, or 0 if unknown. A different request
    /// with the same key must not get this answer.
    std::uint64_t fingerprint = 0;
};

struct key_handover
{
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;
    /// Period for which the sender has retained keys.
    std::uint64_t retention_us = 0;
    std::vector<remembered_key> keys;
    bool last = true;
    /// Whether the sender has no more requests running on the upstreams of the
    /// partition.
    bool slots_idle = false;
    /// Number of keys in all messages of this handover, which is complete once
    /// the receiver has this many.
    std::uint32_t total_keys = 0;
};

struct key_handover_ack
{
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;
};

using peer_message = std::variant<promise_request,
                                  promise_reply,
                                  consent_request,
                                  consent_reply,
                                  config_offer,
                                  config_request,
                                  load_report,
                                  forwarded_request,
                                  forwarded_answer,
                                  slice_request,
                                  slice_grant,
                                  key_handover,
                                  key_handover_ack>;

/// A message to a peer. Its frame names the incarnations of both sides; a
/// receiver that is another incarnation drops the message.
struct peer_send
{
    member_identity to;
    endpoint remote_endpoint;
    peer_message message;
};

struct peer_receive
{
    member_identity from;
    peer_message message;
};

} // namespace fuchsia::ports
