#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace fuchsia::core::pool
{

/// When the store had reached which revision, from answers of the store. It
/// tells how old a record is that names a revision, without any other machine's
/// clock.
class revision_times
{
public:
    /// An answer to a call that was asked then. Answers of copies that may be
    /// behind must not be noted.
    void note(common::time_point asked, std::uint64_t revision);
    /// The latest moment by which nothing newer than `revision` is known to
    /// have been written; empty where no answer that is still kept tells.
    std::optional<common::time_point>
    complete_until(std::uint64_t revision) const;

private:
    struct sample
    {
        common::time_point asked{};
        std::uint64_t revision = 0;
    };

    std::deque<sample> samples_; ///< In the order in which answers came.
};

} // namespace fuchsia::core::pool
