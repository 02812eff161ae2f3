#pragma once

#include "tools/soak/observed_history.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Which configuration the instances' answers are from.
namespace fuchsia::tools::soak
{

/// Checks `configuration`: an answer that only an older configuration than the
/// one in force explains, or than one whose effect the same incarnation has
/// shown.
class configuration_check
{
public:
    void record(core::common::time_point at, configuration_set const& change);

    /// Judges an answer that came at `at`, in the order of the answers.
    void check_answer(observed_history& history,
               core::common::time_point at,
               queue_seen const& answer);

private:
    struct version
    {
        core::common::time_point at{};
        std::set<std::string> queues;
    };
    /// From `at` on, an incarnation has at least the version at this place.
    struct proof
    {
        core::common::time_point at{};
        std::size_t version_index = 0;
    };

    std::size_t versions_set_by(core::common::time_point at) const;
    /// The first version of [begin, end) that explains the answer, or `end`.
    std::size_t first_matching_version(queue_seen const& answer,
                         std::size_t begin,
                         std::size_t end) const;

    /// In their order; before the first there is no queue.
    std::vector<version> versions_{1};
    std::map<std::pair<std::string, std::uint64_t>, std::vector<proof>> proofs_;
};

} // namespace fuchsia::tools::soak
