#pragma once

#include "core/common/time.hpp"
#include "ports/identity.hpp"
#include "ports/peer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace fuchsia::core::requests
{

/// What peers told of their free slots.
class peer_load_table
{
public:
    /// A report counts for `lifetime`.
    explicit peer_load_table(common::duration lifetime);

    void on_report(common::time_point now,
                   ports::member_identity const& from,
                   ports::load_report const& report);
    /// The peer with most free slots. Takes one slot from what it told, so
    /// that many requests between two reports don't all go to the same peer.
    std::optional<ports::member_identity>
    take_most_free(common::time_point now);
    void keep_only(
        std::function<bool(ports::member_identity const&)> const& is_live);

private:
    struct row
    {
        std::uint32_t free_slots = 0;
        common::time_point until;
    };
    common::duration lifetime_;
    std::map<ports::member_identity, row> rows_;
};

} // namespace fuchsia::core::requests
