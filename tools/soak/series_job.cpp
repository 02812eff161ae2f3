#include "tools/soak/series_job.hpp"

#include "tools/soak/job_id.hpp"

#include <string>

namespace fuchsia::tools::soak
{

planned_job draw_series_job(std::uint32_t number,
                            core::common::duration at,
                            std::uint32_t work_ms,
                            random_source& random)
{
    constexpr std::uint32_t tasks = 4;
    planned_job result;
    result.at = at;
    result.id = draw_id(number, random);
    result.shape.attempts = 3;
    result.shape.steps.resize(1);
    result.shape.steps.front().count = tasks;
    result.spec = "work=" + std::to_string(work_ms);
    result.caller = random.below(caller_count);
    result.instance = random.below(1000);
    return result;
}

} // namespace fuchsia::tools::soak
