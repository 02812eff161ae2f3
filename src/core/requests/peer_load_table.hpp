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

/// Numbers of free slots that the peers reported.
class peer_load_table
{
public:
    /// `lifetime` is the time for which a report is valid.
    explicit peer_load_table(common::duration lifetime);

    void on_report(common::time_point now,
                   ports::member_identity const& peer,
                   ports::load_report const& report);
    /// The peer with the most free slots. Subtracts one from the number that it
    /// reported, so that the requests between two reports don't all go to the
    /// same peer.
    std::optional<ports::member_identity>
    take_most_free(common::time_point now);
    /// Removes peers for which `is_live` returns false.
    void keep_only(
        std::function<bool(ports::member_identity const&)> const& is_live);

private:
    struct peer_load
    {
        std::uint32_t free_slots = 0;
        common::time_point valid_until;
    };
    common::duration lifetime_;
    std::map<ports::member_identity, peer_load> loads_;
};

} // namespace fuchsia::core::requests
