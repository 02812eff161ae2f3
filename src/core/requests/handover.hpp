#pragma once

#include "core/common/time.hpp"
#include "ports/identity.hpp"
#include "ports/peer.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::core::requests
{

enum class handover_stage : std::uint8_t
{
    waiting,        ///< Waiting for its turn.
    draining_slots, ///< Its upstreams get no new work; new keys still run.
    draining_keys,  ///< No new key runs; waiting for the running ones to end.
    awaiting_acknowledgement, ///< Keys were sent; waiting for the
                              ///< acknowledgement.
    releasing,                ///< The claim is being given up.
};

/// Handover of one partition to another owner. Once its keys were sent, the
/// handover is never cancelled: a key run after that would be missing from the
/// successor's memory.
struct partition_handover
{
    handover_stage stage = handover_stage::waiting;
    ports::member_identity successor; ///< Empty name: no other entry is left.
    std::uint64_t epoch = 0;
    common::time_point stage_began;
    common::time_point last_sent;
    bool slots_idle = false;
};

/// Splits a partition's keys into messages that each fit into a frame.
/// `history_length` is how far back the keys are complete.
std::vector<ports::key_handover>
split_key_handover(std::uint32_t partition,
                   partition_handover const& handover,
                   common::duration history_length,
                   std::vector<ports::remembered_key> keys);

/// Complete set of keys received from a predecessor.
struct imported_keys
{
    ports::member_identity predecessor;
    std::uint64_t epoch = 0;
    bool slots_idle = false;
    common::time_point complete_since;
    std::vector<ports::remembered_key> keys;
};

/// Collects the messages of handovers to this entry until it gets the claims.
class key_import_buffer
{
public:
    explicit key_import_buffer(std::size_t max_keys);

    /// Adds a message; true if the handover is now complete and is to be
    /// acknowledged.
    bool on_message(common::time_point now,
                    ports::member_identity const& sender,
                    ports::key_handover const& message);
    /// Removes and returns the keys for a claim of this epoch that
    /// `predecessor` released; empty if they are incomplete or belong to
    /// another claim.
    std::optional<imported_keys>
    take(std::uint32_t partition,
         std::uint64_t epoch,
         ports::member_identity const& predecessor);

private:
    struct incoming_handover
    {
        ports::member_identity sender;
        std::uint64_t epoch = 0;
        bool slots_idle = true;
        common::time_point complete_since;
        std::uint32_t total = 0; ///< Keys in the complete handover.
        std::map<std::string, ports::remembered_key> keys;
    };

    std::size_t key_count() const noexcept;

    std::size_t max_keys_;
    std::map<std::uint32_t, incoming_handover> incoming_;
};

} // namespace fuchsia::core::requests
