#pragma once

#include "tools/soak/observed_history.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Determines which configuration the answers of the instances are based on.
namespace fuchsia::tools::soak
{

/// Checks the rule `configuration`: an answer must not match only
/// configurations older than the one in force, or older than one that the same
/// incarnation has already applied.
class configuration_check
{
public:
    void record(core::common::time_point at, configuration_set const& change);

    /// Checks an answer that arrived at `at`. Answers must be given in the
    /// order of their arrival.
    void check_answer(observed_history& history,
                      core::common::time_point at,
                      queue_seen const& answer);

private:
    struct version
    {
        core::common::time_point at{};
        std::set<std::string> queues;
    };
    /// From `at` on, an incarnation has applied at least the version with the
    /// index `version_index`.
    struct proof
    {
        core::common::time_point at{};
        std::size_t version_index = 0;
    };

    std::size_t versions_set_by(core::common::time_point at) const;
    /// Index of the first version in [begin, end) that matches the answer, or
    /// `end`.
    std::size_t first_matching_version(queue_seen const& answer,
                                       std::size_t begin,
                                       std::size_t end) const;

    /// Versions in the order in which they were set. The first entry stands for
    /// the time before any configuration and has no queues.
    std::vector<version> versions_{1};
    std::map<std::pair<std::string, std::uint64_t>, std::vector<proof>> proofs_;
};

} // namespace fuchsia::tools::soak
