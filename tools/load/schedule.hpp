#pragma once

#include "tools/load/experiment.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace fuchsia::tools::load
{

/// When one stream's next request is due: the same times for the same seed,
/// whatever the answers do (an open loop).
class arrival_stream
{
public:
    struct shape
    {
        double rate = 0; ///< A second, at factor 1.
        bool poisson = true;
        core::common::duration from{};
        core::common::duration until{};
        std::uint32_t burst_size = 0;
        core::common::duration burst_every = std::chrono::seconds(1);
    };

    arrival_stream(shape stream_shape, std::vector<phase> phases, std::uint64_t seed);

    /// Time of the next request from the run's beginning; empty at its end.
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
    double accumulated_share_ = 0; ///< Even streams: the part of a request that is due.
    std::optional<core::common::duration> steady_;
    std::optional<core::common::duration> burst_;
    std::uint32_t burst_remaining_ = 0;
};

} // namespace fuchsia::tools::load
