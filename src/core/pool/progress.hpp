#pragma once

#include "core/common/result_code.hpp"
#include "core/pool/crash_record.hpp"
#include "ports/pool_workers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::pool
{

/// Progress of a job that must outlive its owner. The next owner takes from it
/// which tasks must not run again, and from which checkpoints the others
/// continue.
struct progress
{
    struct task
    {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        bool done = false;
        /// Attempts that failed. Workers report these ends again, in any order,
        /// to the next owner. If they were counted twice, or not at all, the
        /// job would get too few attempts or too many.
        std::vector<std::uint32_t> failures;
        std::string checkpoint;
    };

    /// A task that is blamed for crashes of workers.
    struct suspect
    {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        crash_record history;
    };

    std::string job;
    std::vector<task> tasks; ///< Tasks that are done, have failed attempts or
                             ///< have a checkpoint.
    std::vector<suspect> suspects;
};

std::string to_json(progress const& value);
std::optional<progress> parse_progress(std::string_view text,
                                       common::failure& reason);

} // namespace fuchsia::core::pool
