#pragma once

#include "core/common/time.hpp"
#include "ports/instances.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fuchsia::core::membership
{

/// How long the platform's lagging list has been naming an instance no more.
class platform_list
{
public:
    /// Most names that are kept, absent ones included; beyond it those absent
    /// the longest are forgotten, and a longer list is not taken.
    static constexpr std::size_t max_names = 4096;

    /// A list that does not name `self`, which runs, is wrong about who is
    /// gone: it is not taken, and what earlier lists said no longer counts.
    void apply(ports::instance_list const& list, std::string_view self_name);

    /// Whether the platform has dropped the instance that was first seen under
    /// `name` at `since`: its name stood in a list received after that, and
    /// has been absent for `length` up to the newest list. A list that lags
    /// does not name what has just started, and that is no sign of its going;
    /// so a name that never stood there must be absent much longer.
    bool dropped_for(std::string_view name,
                     common::time_point since,
                     common::duration length) const;

private:
    struct listing
    {
        common::time_point last_listed;
        common::time_point absent_since; ///< Where it is absent.
        bool absent = false;
    };

    void evict_oldest();

    std::map<std::string, listing, std::less<>> listings_;
    common::time_point first_received_{};
    common::time_point newest_received_{};
    bool has_list_ = false;
};

} // namespace fuchsia::core::membership
