#pragma once

#include "core/common/result_code.hpp"
#include "core/membership/member_info.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What the store keeps of one member, under `members/<role>/<name>`.
namespace fuchsia::core::membership
{

/// One member's record. Its store version is the fence: whoever changes the
/// record makes every write that expects the older version fail.
struct record
{
    member_info info;
    std::uint64_t heartbeat_count = 0; ///< Counts this incarnation's writes.
    /// Whose promises may stand in for the store's answers.
    std::vector<ports::member_identity> witnesses;
    /// This incarnation never acts again.
    bool fenced = false;
    /// A newer incarnation under the same name runs and waits for this one's
    /// burial; 0 where there is none.
    std::uint64_t successor = 0;
    /// Drawn for each write, so that its writer knows it again on read back.
    std::uint64_t write_id = 0;

    bool operator==(record const&) const = default;
};

/// Parses the value under a member's key; `role` and `name` are the key's.
std::optional<record> parse_record(std::string_view role,
                                   std::string_view name,
                                   std::string_view json,
                                   common::failure& reason);

std::string to_json(record const& value);

/// The record that buries `value`: the same but for the flag and the write id.
record make_fenced(record value, std::uint64_t write_id);

/// "members/entry/".
std::string members_prefix(std::string_view role);

/// 64-bit numbers travel as 16 hexadecimal digits: JSON's integers end at 63
/// bits for many readers.
std::string to_hexadecimal(std::uint64_t number);
std::optional<std::uint64_t> from_hexadecimal(std::string_view text) noexcept;

/// "entry-kochi-a-1#9f0c". One string takes fewer bytes than an object, and
/// every member reads all records every other second.
std::string to_text(ports::member_identity const& id);
std::optional<ports::member_identity> identity_from(std::string_view text);

} // namespace fuchsia::core::membership
