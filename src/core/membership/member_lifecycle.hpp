#pragma once

#include "ports/actions.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fuchsia::core::membership
{

/// What a member may do at present.
enum class member_phase : std::uint8_t
{
    joining,                    ///< Its record does not stand yet.
    active_by_store_proof,      ///< Its newest proof is an accepted beat.
    active_by_witness_promises, ///< The store is silent; its witnesses
                                ///< promised.
    proof_expired,              ///< Alive, but acts on nothing.
    removing,                   ///< Planned stop: the record is being erased.
    removed, ///< Planned stop: the store has no record any more.
    fenced,  ///< Over: the store shows another in its place.
};

std::string_view name_of(member_phase value) noexcept;

/// Where the newest proof comes from.
enum class proof_source : std::uint8_t
{
    none,
    store,
    witnesses,
};

/// The life of one member as a state machine (Boost.MSM, in the .cpp). It
/// holds no rule of safety of its own; it keeps the phases in their order, so
/// that nothing leads out of `gone` or `buried`, and logs each change.
class member_lifecycle
{
public:
    explicit member_lifecycle(std::string member);
    ~member_lifecycle();
    member_lifecycle(member_lifecycle&& other) noexcept;
    member_lifecycle& operator=(member_lifecycle&& other) noexcept;
    member_lifecycle(member_lifecycle const&) = delete;
    member_lifecycle& operator=(member_lifecycle const&) = delete;

    /// The record stands.
    void on_joined(ports::actions& out);
    /// The proof comes from here now.
    void on_proof(proof_source source, ports::actions& out);
    /// A planned stop erases the record.
    void on_removing(ports::actions& out);
    void on_removed(ports::actions& out);
    /// Another wrote the record.
    void on_fenced(std::string const& reason, ports::actions& out);

    member_phase current_phase() const noexcept;
    /// Whether this incarnation still takes part: not removing, gone, buried.
    bool is_participating() const noexcept;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
    std::string member_;

    void log_transition(member_phase previous,
                        std::string const& reason,
                        ports::actions& out) const;
};

} // namespace fuchsia::core::membership
