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
    waiting,        ///< For its turn.
    draining_slots, ///< Its upstreams get no new work; keys still run.
    draining_keys,  ///< No new key runs; those that run end.
    awaiting_acknowledgement, ///< Keys were sent; waits for the
                              ///< acknowledgement.
    releasing,                ///< The claim is being given up.
};

/// One partition on its way to another owner. Once its keys were sent the
/// partition is never taken up again: a key run after that would be missing
/// from the successor's memory.
struct partition_handover
{
    handover_stage stage = handover_stage::waiting;
    ports::member_identity successor; ///< Empty name: nobody is left.
    std::uint64_t epoch = 0;
    common::time_point stage_began;
    common::time_point last_sent;
    bool slots_idle = false;
};

/// Messages that carry a partition's keys, each below a frame's bound.
std::vector<ports::key_handover>
split_key_handover(std::uint32_t partition,
                   partition_handover const& from,
                   common::duration reach,
                   std::vector<ports::remembered_key> keys);

/// A predecessor's keys that came in whole.
struct imported_keys
{
    ports::member_identity predecessor;
    std::uint64_t epoch = 0;
    bool slots_idle = false;
    common::time_point complete_since;
    std::vector<ports::remembered_key> keys;
};

/// Collects the messages of handovers to this entry until the claims follow.
class key_import_buffer
{
public:
    explicit key_import_buffer(std::size_t max_keys);

    /// True where the handover is whole now, to be acknowledged.
    bool on_message(common::time_point now,
                    ports::member_identity const& from,
                    ports::key_handover const& message);
    /// The keys for a claim of this epoch that `before` gave up; empty where
    /// they did not come whole or belong to another claim.
    std::optional<imported_keys> take(std::uint32_t partition,
                                      std::uint64_t epoch,
                                      ports::member_identity const& before);

private:
    struct incoming
    {
        ports::member_identity from;
        std::uint64_t epoch = 0;
        bool slots_idle = true;
        common::time_point reaches_from;
        std::uint32_t total = 0;
        std::map<std::string, ports::remembered_key> keys;
    };

    std::size_t count() const noexcept;

    std::size_t max_keys_;
    std::map<std::uint32_t, incoming> incoming_;
};

} // namespace fuchsia::core::requests
