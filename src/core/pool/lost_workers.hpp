#pragma once

#include "core/pool/fleet.hpp"

#include <string>
#include <vector>

namespace fuchsia::core::pool
{

/// Tells the loss of a rack from the loss of single workers. When a rack loses
/// power or its network, all its workers vanish at once and no task is to
/// blame.
class lost_workers
{
public:
    /// Records that the worker leaves the fleet.
    void note_gone(common::time_point now, worker const& target);
    /// Whether the worker was lost with its rack: no other worker that was
    /// there is left, and one of them ran nothing that may have crashed it.
    bool lost_with_rack(fleet const& workers, worker const& target) const;

private:
    struct gone_worker
    {
        std::string service;
        std::string rack;
        common::time_point contact_lost_at{};
        bool may_have_crashed = false; ///< See `worker`.
    };

    std::vector<gone_worker> gone_; ///< Silent workers that left the fleet.
};

} // namespace fuchsia::core::pool
