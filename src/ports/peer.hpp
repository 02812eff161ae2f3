#pragma once

#include "ports/identity.hpp"
#include "ports/requests.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Messages between the system's own processes. adapters/peer turns them into
// FlatBuffers frames (schema/peer.fbs); the core never sees a frame.
namespace fuchsia::ports
{

/// "Promise that for `bury` you give no consent to bury me." Doubles as the
/// carrier of the configuration revision.
struct promise_request
{
    std::uint64_t round = 0;
    std::uint64_t record_version = 0; ///< Newest known version of its record.
    std::uint64_t config_revision = 0;
};

struct promise_reply
{
    std::uint64_t round = 0;
    bool granted = false;
    std::uint64_t config_revision = 0;
};

/// "May `subject`, whose record I read twice at this version, be buried?"
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

/// The whole configuration, sent to a peer whose revision is older.
struct config_offer
{
    std::uint64_t revision = 0;
    std::string document;
};

struct config_request
{
    std::uint64_t revision = 0; ///< What the asker has.
};

/// Sent to every peer a few times a second.
struct load_report
{
    std::uint32_t free_slots = 0;
    std::uint32_t queued = 0;
};

/// One request run by another entry: the owner of its key, or a spill to free
/// slots. Never forwarded again.
struct forwarded_request
{
    std::uint64_t id = 0;
    bool spill = false;     ///< No key: any free slot of the receiver will do.
    caller_request request; ///< `deadline` is the time left when sent.
    /// Where the sender vouches that the caller sent this after the receiver's
    /// claim of the key's partition began: the claim's epoch. Else 0.
    std::uint64_t epoch = 0;
};

struct forwarded_answer
{
    std::uint64_t id = 0;
    caller_answer answer;
    /// The answerer's load, as in `load_report`: who forwards much to a peer
    /// learns of its free slots as fast as they change.
    std::uint32_t free_slots = 0;
    std::uint32_t queued = 0;
};

/// Asks the owner of hash(customer) for a slice of the contract.
struct slice_request
{
    std::uint64_t round = 0;
    std::string customer;
    /// Requests that may be in flight here until the answer comes: those in
    /// flight now, or the slice still held where that is more.
    std::uint32_t in_use = 0;
    std::uint32_t wanted = 0;      ///< Requests in flight hoped for.
    std::uint32_t wanted_rate = 0; ///< Requests a second hoped for.
};

/// Valid for `valid_us` from when the request was SENT, on its sender's clock.
struct slice_grant
{
    std::uint64_t round = 0;
    std::string customer;
    std::uint32_t in_flight = 0;
    std::uint32_t rate = 0;
    std::uint64_t valid_us = 0;
    std::uint64_t config_revision = 0; ///< The contract it was cut from.
};

/// One remembered key of a partition that changes its owner in a planned stop.
struct remembered_key
{
    std::string customer;
    std::string key;
    bool finished = false; ///< False: it was running when handed over.
    caller_answer answer;
    std::uint64_t age_us = 0;
    /// Hash of method, target and body: another request under the same key
    /// must not get this answer. 0 where it is not known.
    std::uint64_t fingerprint = 0;
};

struct key_handover
{
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;
    /// How far back the sender's memory reaches.
    std::uint64_t retention_us = 0;
    std::vector<remembered_key> keys;
    bool last = true;
    /// Nothing of the sender runs on the partition's upstreams any more.
    bool slots_idle = false;
    /// Keys in all messages of this handover: it is whole when so many came.
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

/// A message to a peer. The frame names both incarnations: a receiver that is
/// another incarnation drops it.
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
