#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace fuchsia::core::requests
{

enum class entry_phase : std::uint8_t
{
    joining,        ///< No proof yet: refuses everything.
    serving,        ///< Ready.
    stop_announced, ///< Not ready any more, but the balancer may not know yet.
    draining,       ///< Takes nothing new; ends what runs, hands over claims.
    leaving,        ///< Nothing left; its member record is being removed.
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

/// The phases of an entry from its start to its planned stop.
class entry_lifecycle
{
public:
    entry_lifecycle();
    entry_lifecycle(entry_lifecycle&&) noexcept;
    entry_lifecycle& operator=(entry_lifecycle&&) noexcept;
    ~entry_lifecycle();

    entry_phase phase() const noexcept;
    /// Takes the step that `event` means in this phase; false where none.
    bool handle(entry_event event);

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace fuchsia::core::requests
