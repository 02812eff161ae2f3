#pragma once

#include "ports/peer.hpp"
#include "ports/requests.hpp"
#include "ports/store.hpp"
#include "ports/workers.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Actions that the core requests from its environment. Each decision appends to
// a list of actions; the program passes each one to its adapter, in order.
namespace fuchsia::ports
{

/// The answer to the caller request received under the number `caller`.
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

/// One structured log line: the name of the event and its key=value fields.
struct log_event
{
    severity level = severity::info;
    std::string event;
    std::vector<header> fields;
};

/// All proofs of membership are invalid. The program closes every peer
/// connection and drops its buffered messages before it sends or reads anything
/// else.
struct reset_peers
{
};

/// This incarnation must stop acting: the program drops its remaining work and
/// joins again as a new incarnation.
struct rejoin
{
    std::string reason;
};

/// A planned stop is complete; the process may exit with status 0.
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
