#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace fuchsia::core::pool
{

/// Times by which the store had reached certain revisions, taken from its
/// answers. They give the age of a record that contains a revision without
/// relying on the clock of another machine.
class revision_times
{
public:
    /// Records an answer to a call that was sent at `sent_at`. Stale reads must
    /// not be recorded, because their replica may be behind.
    void note(common::time_point sent_at, std::uint64_t revision);
    /// Returns the latest time at which nothing newer than `revision` had been
    /// written; empty if the recorded answers do not show one.
    std::optional<common::time_point>
    complete_until(std::uint64_t revision) const;

private:
    struct sample
    {
        common::time_point sent_at{};
        std::uint64_t revision = 0;
    };

    std::deque<sample> samples_; ///< In the order of the answers.
};

} // namespace fuchsia::core::pool
