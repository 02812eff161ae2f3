#pragma once

#include "ports/identity.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace fuchsia::core::requests
{

/// Detects duplicates of forwarded requests.
///
/// A frame delivered twice would run a request without an idempotency key
/// again. The ids of one sender only increase, so a window of the newest ids is
/// enough; an id older than the window is treated as a duplicate.
class replay_guard
{
public:
    /// Records the id; true if it is the first time that this sender used it.
    bool is_new(ports::member_identity const& sender, std::uint64_t id);
    /// Forgets senders for which `is_live` returns false.
    void keep_only(
        std::function<bool(ports::member_identity const&)> const& is_live);

private:
    static constexpr std::size_t window_size = 4096; ///< Ids per sender.
    struct sender_history
    {
        std::uint64_t floor =
            0; ///< All ids up to this one are treated as seen.
        std::set<std::uint64_t> recent_ids; ///< Seen ids above `floor`.
    };
    std::map<ports::member_identity, sender_history> senders_;
};

} // namespace fuchsia::core::requests
