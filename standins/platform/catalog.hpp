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

// The platform's lagging list of instances, without its sockets.
namespace fuchsia::standins::platform
{

/// One registered instance.
struct catalog_entry
{
    std::string id;
    std::string name; ///< Of the service: upstream, fuchsia-entry and so on.
    std::string address;
    std::uint16_t port = 0;
    std::string data_centre;
    std::map<std::string, std::string> meta;
    core::common::time_point registered{};
};

/// What a fault says of one instance instead of the truth.
enum class listed_state : std::uint8_t
{
    live,
    leaving,
    gone,
};

std::optional<listed_state> listed_state_from(std::string_view name) noexcept;

struct catalog_settings
{
    /// An entry that is not registered again within this time drops out.
    core::common::duration lifetime = std::chrono::seconds(5);
    std::size_t entries = 20'000;
};

/// Instances by id; what is listed is what was true `lag` ago.
class catalog
{
public:
    static constexpr core::common::duration picture_interval =
        std::chrono::milliseconds(200);
    static constexpr core::common::duration max_lag = std::chrono::seconds(60);

    explicit catalog(catalog_settings settings = {});

    /// False where the catalog is full.
    bool register_entry(core::common::time_point now, catalog_entry entry);
    bool deregister(std::string_view id);
    /// Drops entries whose lifetime is over and takes the picture that a
    /// lagging list shows later.
    void tick(core::common::time_point now);

    void set_lag(core::common::duration lag);
    void set_frozen(bool frozen);
    void override_state(std::string id, listed_state state);

    /// The entries of a service as the list has them now, each with
    /// `report_age_ms` among its meta.
    std::vector<catalog_entry> list(core::common::time_point now,
                                    std::string_view name) const;

private:
    using picture = std::map<std::string, catalog_entry, std::less<>>;
    struct dated_picture
    {
        core::common::time_point taken{};
        std::shared_ptr<picture const> what;
    };

    std::shared_ptr<picture const> visible(core::common::time_point now) const;

    catalog_settings settings_;
    picture entries_;
    std::deque<dated_picture> pictures_;
    core::common::duration lag_{};
    bool frozen_ = false;
    std::shared_ptr<picture const> frozen_picture_;
    std::map<std::string, listed_state, std::less<>> overrides_;
};

} // namespace fuchsia::standins::platform
