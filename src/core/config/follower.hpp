#pragma once

#include "core/config/configuration.hpp"
#include "ports/actions.hpp"
#include "ports/instances.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsia::core::config
{

struct follower_settings
{
    /// One long poll of the store's index key waits this long.
    common::duration watch_wait = std::chrono::seconds(10);
    /// Pause before the next try after an unanswered call.
    common::duration retry_interval = std::chrono::milliseconds(500);
    /// The index is read at least this often while the store answers, so that
    /// the configuration's proof stays young between changes.
    common::duration confirm_interval = std::chrono::milliseconds(500);
};

/// Keeps this process's configuration the newest that the store or any peer
/// has: watches the index, reads changed contracts, takes a peer's offer, and
/// never applies a revision that is not higher than the last.
class follower
{
public:
    explicit follower(follower_settings settings);

    void start(common::time_point now, ports::actions& out);
    void tick(common::time_point now, ports::actions& out);
    /// Only replies of `store_user::configuration`.
    void on_store_reply(common::time_point now,
                        ports::store_reply const& reply,
                        ports::actions& out);
    /// Handles config_offer and config_request, answers through `from`.
    void on_peer(common::time_point now,
                 ports::peer_receive const& message,
                 ports::endpoint const& from,
                 ports::actions& out);
    /// A peer or witness said that it has `revision`: asks it for the content
    /// where that is newer.
    void on_peer_revision(common::time_point now,
                          std::uint64_t revision,
                          ports::member_identity const& from,
                          ports::endpoint const& where,
                          ports::actions& out);

    configuration const& current() const noexcept;
    /// When the store last showed that `current` is its newest: the time at
    /// which the confirming call was SENT. The epoch where it never did.
    common::time_point confirmed_at() const noexcept;

private:
    follower_settings settings_;
    configuration current_;
    common::time_point confirmed_at_{};
};

} // namespace fuchsia::core::config
