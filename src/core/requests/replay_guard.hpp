#pragma once

#include "ports/identity.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace fuchsia::core::requests
{

/// Tells a forwarded request that came twice from one that is new.
///
/// A frame that is delivered a second time would run an unkeyed request again.
/// The ids of one sender only rise, so a window below the newest is enough;
/// what is older than the window counts as seen.
class replay_guard
{
public:
    /// True the first time this id of this sender is seen.
    bool is_new(ports::member_identity const& from, std::uint64_t id);
    /// Forgets senders that `is_live` does not know any more.
    void keep_only(
        std::function<bool(ports::member_identity const&)> const& is_live);

private:
    static constexpr std::size_t window = 4096;
    struct seen
    {
        std::uint64_t floor = 0; ///< All ids up to here count as seen.
        std::set<std::uint64_t> above;
    };
    std::map<ports::member_identity, seen> senders_;
};

} // namespace fuchsia::core::requests
