#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace fuchsia::core::requests
{

enum class entry_phase : std::uint8_t
{
    joining, ///< Has no proof of membership yet and refuses all requests.
    serving, ///< Accepts requests.
    stop_announced, ///< No longer ready, but the balancer may still send
                    ///< requests.
    draining,       ///< Refuses new requests, completes the others, hands over
                    ///< claims.
    leaving,        ///< All work is done; its member record is being removed.
    stopped,        ///< The process may exit.
};

std::string_view name_of(entry_phase value) noexcept;

enum class entry_event : std::uint8_t
{
    joined,
    stop_requested,
    balancer_lag_elapsed,
    drained,
    removed,
};

/// Phases of an entry from its start to its planned stop.
class entry_lifecycle
{
public:
    entry_lifecycle();
    entry_lifecycle(entry_lifecycle&&) noexcept;
    entry_lifecycle& operator=(entry_lifecycle&&) noexcept;
    ~entry_lifecycle();

    entry_phase phase() const noexcept;
    /// Makes the transition for `event`. Returns false if the current phase has
    /// none.
    bool handle(entry_event event);

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace fuchsia::core::requests
