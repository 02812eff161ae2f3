#pragma once

#include "core/common/time.hpp"
#include "core/membership/member_info.hpp"
#include "core/membership/record.hpp"
#include "ports/store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// What the store last showed of all members of one role.
namespace fuchsia::core::membership
{

/// One record together with how long this process has seen it so.
struct observed_record
{
    record value;
    std::uint64_t version = 0;
    /// When an answer first showed this version.
    common::time_point version_seen;
    /// When an answer first showed this incarnation.
    common::time_point incarnation_seen;
    /// When an answer first showed it with a successor; where it has one.
    common::time_point successor_seen;
    /// False where the value could not be parsed: the key is there, but says
    /// nothing of who is live or buried.
    bool readable = true;
};

/// The newest list of records and what follows from it. It remembers nothing
/// of earlier lists but the times since when things are as they are.
class roster
{
public:
    using records_by_name = std::map<std::string, observed_record, std::less<>>;

    /// Most records that are kept; a longer list is refused as a whole, since
    /// a shortened one would show running members as removed.
    static constexpr std::size_t max_records = 1024;

    explicit roster(std::string role);

    /// Takes the answer to a list call sent at `sent`. False, with nothing
    /// changed, where it is older than what is known or too long. `reason`
    /// also tells of records that could not be parsed.
    bool apply(common::time_point now,
               common::time_point sent,
               ports::store_reply const& reply,
               common::failure& reason);
    /// Takes one record known to stand at `version`, such as after a write.
    void update_record(common::time_point now,
                       record const& value,
                       std::uint64_t version);

    bool is_loaded() const noexcept;
    /// When the newest list call was sent.
    common::time_point list_sent() const noexcept;
    /// The store's index at which the newest list was read: it shows every
    /// change up to that.
    std::uint64_t index() const noexcept;
    records_by_name const& records() const noexcept;
    observed_record const* find(std::string_view name) const noexcept;
    std::vector<member_info> const& live() const noexcept;
    bool is_fenced(ports::member_identity const& id) const noexcept;

private:
    observed_record read_entry(common::time_point now,
                               std::string const& name,
                               ports::store_entry const& entry,
                               common::failure& reason) const;
    void rebuild_live();

    std::string role_;
    records_by_name records_;
    std::vector<member_info> live_;
    common::time_point list_sent_{};
    std::uint64_t list_index_ = 0;
    bool known_ = false;
};

} // namespace fuchsia::core::membership
