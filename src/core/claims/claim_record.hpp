#pragma once

#include "core/common/result_code.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// What the store keeps of one partition, under `partitions/<role>/<p>`.
namespace fuchsia::core::claims
{

struct claim_record
{
    ports::member_identity owner; ///< Empty name: nobody.
    /// Who gave it up last, where nobody owns it or its owner took it over
    /// from a live predecessor; else an empty name.
    ports::member_identity released_by;
    /// Whom it was released for, and who alone may claim it while live; empty
    /// name where there is none.
    ports::member_identity handed_to;
    std::uint64_t epoch = 0;    ///< Rises with every change of owner.
    std::uint64_t write_id = 0; ///< Drawn for each write.

    bool operator==(claim_record const&) const = default;
};

std::optional<claim_record> parse_claim_record(std::string_view json,
                                               common::failure& reason);

std::string to_json(claim_record const& value);

/// "partitions/entry/".
std::string partitions_prefix(std::string_view role);

} // namespace fuchsia::core::claims
