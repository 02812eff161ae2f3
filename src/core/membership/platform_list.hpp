#pragma once

#include "core/common/time.hpp"
#include "ports/instances.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fuchsia::core::membership
{

/// Tracks how long instances have been absent from the platform's list, which
/// lags behind the actual state.
class platform_list
{
public:
    /// Maximum number of names that are kept, including absent ones. Beyond it
    /// the names that were listed least recently are evicted, and a longer list
    /// is ignored.
    static constexpr std::size_t max_names = 4096;

    /// Applies a new list. A list without `self_name` is wrong, because this
    /// instance is running: it is ignored and discards the earlier lists.
    void apply(ports::instance_list const& list, std::string_view self_name);

    /// Whether the platform has dropped the instance first seen under `name` at
    /// `since`: a list received after that contained the name, and it has been
    /// absent for `length` as of the newest list. A lagging list does not
    /// contain an instance that has just started, which does not mean that it
    /// has terminated, so a name never listed must be absent much longer.
    bool dropped_for(std::string_view name,
                     common::time_point since,
                     common::duration length) const;

private:
    struct listing
    {
        common::time_point last_listed;
        common::time_point absent_since; ///< Valid if `absent`.
        bool absent = false;
    };

    void evict_oldest();

    std::map<std::string, listing, std::less<>> listings_;
    common::time_point first_received_{};
    common::time_point newest_received_{};
    bool has_list_ = false;
};

} // namespace fuchsia::core::membership
