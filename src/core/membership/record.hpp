#pragma once

#include "core/common/result_code.hpp"
#include "core/membership/member_info.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Record of a member in the store, under the key `members/<role>/<name>`.
namespace fuchsia::core::membership
{

/// Record of one member. Its version in the store is the fencing token: a
/// change of the record makes every write fail that expects the older version.
struct record
{
    member_info info;
    std::uint64_t heartbeat_count = 0; ///< Number of this incarnation's writes.
    /// Members whose promises can replace replies from the store.
    std::vector<ports::member_identity> witnesses;
    /// Whether this incarnation is fenced, so that it never acts again.
    bool fenced = false;
    /// Newer incarnation under the same name that waits until this one is
    /// fenced; 0 if there is none.
    std::uint64_t successor = 0;
    /// Random number of each write, by which its writer recognises it when it
    /// reads the record.
    std::uint64_t write_id = 0;

    bool operator==(record const&) const = default;
};

/// Parses the value under a member's key; `role` and `name` come from the key.
std::optional<record> parse_record(std::string_view role,
                                   std::string_view name,
                                   std::string_view json,
                                   common::failure& reason);

std::string to_json(record const& value);

/// Returns a copy of `value` that is marked as fenced and has a new write id.
record make_fenced(record value, std::uint64_t write_id);

/// Key prefix of the records of a role, such as "members/entry/".
std::string members_prefix(std::string_view role);

/// Converts a 64-bit number to up to 16 hexadecimal digits. Many JSON parsers
/// limit integers to 63 bits.
std::string to_hexadecimal(std::uint64_t number);
std::optional<std::uint64_t> from_hexadecimal(std::string_view text) noexcept;

/// Returns an identity as text, such as "entry-kochi-a-1#9f0c". A string takes
/// fewer bytes than an object, and every member reads all records every two
/// seconds.
std::string to_text(ports::member_identity const& id);
std::optional<ports::member_identity> identity_from(std::string_view text);

} // namespace fuchsia::core::membership
