#pragma once

#include "tools/load/experiment.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace fuchsia::tools::load
{

/// Open-loop schedule of the requests of one stream. The times depend only on
/// the shape, the phases and the seed, not on the answers.
class arrival_stream
{
public:
    struct shape
    {
        double rate = 0;     ///< Arrivals per second at factor 1.
        bool poisson = true; ///< Poisson arrivals; otherwise evenly spaced.
        core::common::duration from{};  ///< Offset from the start of the run.
        core::common::duration until{}; ///< Offset of the end; 0: run's end.
        std::uint32_t burst_size = 0;   ///< Requests per burst; 0: no bursts.
        core::common::duration burst_every = std::chrono::seconds(1);
    };

    arrival_stream(shape stream_shape,
                   std::vector<phase> phases,
                   std::uint64_t seed);

    /// Returns the time of the next request, counted from the start of the run;
    /// empty after the last request.
    std::optional<core::common::duration> next();

private:
    double factor_at(core::common::duration at) const;
    std::optional<core::common::duration> next_steady();
    std::optional<core::common::duration> next_of_burst();

    shape shape_;
    std::vector<phase> phases_;
    std::mt19937_64 random_;
    core::common::duration end_{};
    double steady_at_us_ = 0;
    /// Fraction of a request that is due; used for evenly spaced arrivals.
    double accumulated_share_ = 0;
    std::optional<core::common::duration> steady_;
    std::optional<core::common::duration> burst_;
    std::uint32_t burst_remaining_ = 0;
};

} // namespace fuchsia::tools::load
