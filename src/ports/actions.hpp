#pragma once

#include "ports/peer.hpp"
#include "ports/requests.hpp"
#include "ports/store.hpp"
#include "ports/workers.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

// What the core asks of its surroundings. Every decision appends to a list of
// actions; the program hands each to its adapter, in order.
namespace fuchsia::ports
{

/// The answer to the caller request that came in under `caller`.
struct caller_reply
{
    std::uint64_t caller = 0;
    caller_answer answer;
};

enum class severity : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// One structured log line: an event's name and its key=value fields.
struct log_event
{
    severity level = severity::info;
    std::string event;
    std::vector<header> fields;
};

/// All proofs are void: close every peer connection and drop what waits in
/// its buffers before anything else is sent or read.
struct reset_peers
{
};

/// This incarnation may not go on: drop what is left and join as a new one.
struct rejoin
{
    std::string reason;
};

/// A planned stop is complete: the process may exit with status 0.
struct stop_complete
{
};

using action = std::variant<store_call,
                            peer_send,
                            caller_reply,
                            upstream_send,
                            worker_call,
                            log_event,
                            reset_peers,
                            rejoin,
                            stop_complete>;

using actions = std::vector<action>;

} // namespace fuchsia::ports
