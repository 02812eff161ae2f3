#pragma once

#include "core/common/result_code.hpp"
#include "ports/pool_workers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::core::pool
{

/// What of a job's run must outlive its owner: who takes over knows by it
/// what must not run again, and from where the rest goes on.
struct progress
{
    struct task
    {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        bool done = false;
        /// Attempts that failed. Their workers list these ends again, in any
        /// order, to whoever takes over: counted twice, or not at all, a job
        /// would get too few attempts or too many.
        std::vector<std::uint32_t> failures;
        std::string checkpoint;
    };

    std::string job;
    std::vector<task> tasks; ///< Those of which something is known.
};

std::string to_json(progress const& value);
std::optional<progress> parse_progress(std::string_view json,
                                       common::failure& reason);

} // namespace fuchsia::core::pool
