#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The platform's catalog of instances, which may lag behind the registrations.
// It uses no sockets.
namespace fuchsia::standins::platform
{

/// One registered instance.
struct catalog_entry
{
    std::string id;
    std::string name; ///< Name of the service, such as upstream, fuchsia-entry.
    std::string address;
    std::uint16_t port = 0;
    std::string data_centre;
    std::map<std::string, std::string> meta;
    core::common::time_point registered_at{};
};

/// State that an injected fault lists for an instance in place of the real one.
enum class listed_state : std::uint8_t
{
    live,
    leaving,
    gone,
};

std::optional<listed_state> listed_state_from(std::string_view name) noexcept;

struct catalog_settings
{
    /// Time after which an entry that is not registered again is removed.
    core::common::duration lifetime = std::chrono::seconds(5);
    std::size_t entries = 20'000; ///< Maximum number of entries.
};

/// Instances by id. The list shows the registrations as they were `lag` ago.
class catalog
{
public:
    /// Time between two snapshots of the entries.
    static constexpr core::common::duration snapshot_interval =
        std::chrono::milliseconds(200);
    /// Longest lag, and the time for which snapshots are retained.
    static constexpr core::common::duration max_lag = std::chrono::seconds(60);

    explicit catalog(catalog_settings settings = {});

    /// Adds or renews an entry. Returns false if the catalog is full.
    bool register_entry(core::common::time_point now, catalog_entry entry);
    bool deregister(std::string_view id);
    /// Removes expired entries and, once per `snapshot_interval`, takes the
    /// snapshot that a lagging list shows later.
    void tick(core::common::time_point now);

    void set_lag(core::common::duration lag);
    void set_frozen(bool frozen);
    void override_state(std::string id, listed_state state);

    /// Returns the listed entries of a service, each with `report_age_ms` in
    /// its metadata.
    std::vector<catalog_entry> list(core::common::time_point now,
                                    std::string_view name) const;

private:
    using snapshot = std::map<std::string, catalog_entry, std::less<>>;
    struct dated_snapshot
    {
        core::common::time_point taken_at{};
        std::shared_ptr<snapshot const> content;
    };

    std::shared_ptr<snapshot const> visible(core::common::time_point now) const;

    catalog_settings settings_;
    snapshot entries_;
    std::deque<dated_snapshot> snapshots_;
    core::common::duration lag_{};
    bool frozen_ = false;
    std::shared_ptr<snapshot const> frozen_snapshot_;
    std::map<std::string, listed_state, std::less<>> overrides_;
};

} // namespace fuchsia::standins::platform
