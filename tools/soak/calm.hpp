#pragma once

#include "tools/soak/observation.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

// When trouble was on, and whether a time limit counts.
namespace fuchsia::tools::soak
{

/// From the begin of the first of some troubles to the end of the last of them;
/// `to` is empty while one is on.
struct trouble_span
{
    core::common::time_point from{};
    std::optional<core::common::time_point> to;
};

class calm_log
{
public:
    /// A system may take `settle` after the end of trouble to be itself again.
    explicit calm_log(core::common::duration settle);

    void set(core::common::time_point at, trouble_set const& trouble);

    /// No trouble was on from `settle` before `begin` to `end`.
    bool calm(core::common::time_point begin,
              core::common::time_point end) const;

    /// Some stretch longer than `length` between `begin` and `end` was calm.
    bool calm_stretch(core::common::time_point begin,
                      core::common::time_point end,
                      core::common::duration length) const;

    std::vector<trouble_span> const& spans() const noexcept;

private:
    core::common::duration settle_;
    std::set<std::string> on_;
    std::vector<trouble_span> spans_;
};

} // namespace fuchsia::tools::soak
