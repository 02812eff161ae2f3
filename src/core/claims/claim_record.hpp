#pragma once

#include "core/common/result_code.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Ownership record of one partition, stored under `partitions/<role>/<p>`.
namespace fuchsia::core::claims
{

/// Stored value of a partition's key.
struct claim_record
{
    ports::member_identity owner; ///< Current owner; empty name if unowned.
    /// Member that last released the partition, if it is unowned or if the
    /// owner took it over from a live predecessor; otherwise an empty name.
    ports::member_identity released_by;
    /// Member that the partition was released for. While that member is live,
    /// only it may claim the partition. Empty name if there is none.
    ports::member_identity handed_to;
    std::uint64_t epoch = 0;    ///< Increases with every change of owner.
    std::uint64_t write_id = 0; ///< Random number, new for each write.

    bool operator==(claim_record const&) const = default;
};

std::optional<claim_record> parse_claim_record(std::string_view json,
                                               common::failure& reason);

std::string to_json(claim_record const& value);

/// Returns the key prefix of the role's partitions, such as
/// "partitions/entry/".
std::string partitions_prefix(std::string_view role);

} // namespace fuchsia::core::claims
