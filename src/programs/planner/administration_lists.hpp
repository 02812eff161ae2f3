#pragma once

#include "core/config/configuration.hpp"
#include "core/membership/record.hpp"
#include "ports/actions.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// What operators are told of all members: read from the store when asked.
namespace fuchsia::programs::planner
{

/// All keys below one prefix, read again when older than `max_age`, so that
/// many operators who wait for a revision cost five list calls a second.
class cached_list
{
public:
    static constexpr core::common::duration max_age =
        std::chrono::milliseconds(200);

    explicit cached_list(std::string prefix);

    /// Sends a list call unless a fresh answer or a call is there.
    void refresh(core::common::time_point now,
              std::uint64_t& next_call,
              ports::actions& out);
    /// False where the reply is not for this list.
    bool on_store_reply(ports::store_reply const& reply);

    bool in_flight() const noexcept;
    /// The last call failed; until the next one is sent.
    bool failed() const noexcept;
    std::vector<ports::store_entry> const& entries() const noexcept;

private:
    bool is_fresh(core::common::time_point now) const noexcept;

    std::string prefix_;
    std::optional<std::uint64_t> call_in_flight_;
    core::common::time_point sent_at_{};
    bool loaded_ = false;
    bool failed_ = false;
    std::vector<ports::store_entry> entries_;
};

/// Records of the members of both roles, by key; what can't be read is left
/// out.
std::vector<core::membership::record>
read_members(std::vector<ports::store_entry> const& entries);

/// Members that may still act on a configuration older than `revision`: each
/// whose record stands, is not buried and tells an older one.
boost::json::array
not_reported(std::vector<core::membership::record> const& members,
             std::uint64_t revision);

boost::json::object describe_member(core::membership::record const& member);

/// How many partitions each member owns, by role.
boost::json::object
count_claims(std::vector<ports::store_entry> const& entries);

} // namespace fuchsia::programs::planner
