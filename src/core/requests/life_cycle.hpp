#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace fuchsia::core::requests
{

enum class entry_phase : std::uint8_t
{
    joining,   ///< No proof yet: refuses everything.
    serving,   ///< Ready.
    announced, ///< Not ready any more, but the balancer may not know yet.
    finishing, ///< Takes nothing new; ends what runs, hands over claims.
    leaving,   ///< Nothing left; its member record is being removed.
    stopped,   ///< The process may exit.
};

std::string_view name_of(entry_phase value) noexcept;

enum class entry_event : std::uint8_t
{
    joined,
    stop_asked,
    balancer_passed,
    finished,
    removed,
};

/// The phases of an entry from its start to its planned stop.
class life_cycle
{
public:
    life_cycle();
    life_cycle(life_cycle&&) noexcept;
    life_cycle& operator=(life_cycle&&) noexcept;
    ~life_cycle();

    entry_phase phase() const noexcept;
    /// Takes the step that `event` means in this phase; false where none.
    bool on(entry_event event);

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace fuchsia::core::requests
