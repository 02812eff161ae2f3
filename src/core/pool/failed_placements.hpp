#pragma once

#include "core/pool/job.hpp"

#include <string>
#include <vector>

namespace fuchsia::core::pool
{

/// Steps for which a dispatch round found no worker, so that it need not look
/// for workers for steps that need at least as much. Capacity only gets less
/// within a round.
class failed_placements
{
public:
    /// Adds a step of a queue with this service, both of which must outlive
    /// this object.
    void add(step const& failed, std::string const& service);
    /// Whether no worker can be found for this step either.
    bool rule_out(step const& requested, std::string const& service) const;

private:
    struct placement
    {
        step const* spec = nullptr;
        std::string const* service = nullptr;
    };

    std::vector<placement> failed_;
};

} // namespace fuchsia::core::pool
