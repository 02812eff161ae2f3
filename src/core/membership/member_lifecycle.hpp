#pragma once

#include "ports/actions.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fuchsia::core::membership
{

/// Phase of a member, which decides what it may do.
enum class member_phase : std::uint8_t
{
    /// The store has not accepted its record yet.
    joining,
    /// Its newest proof is a heartbeat that the store accepted.
    active_by_store_proof,
    /// The store does not answer; a majority of its witnesses has promised.
    active_by_witness_promises,
    /// It runs, but may not act because its newest proof has expired.
    proof_expired,
    /// Planned stop: the record is being erased.
    removing,
    /// Planned stop: the record has been erased.
    removed,
    /// Final: its record was fenced, removed or replaced by another process.
    fenced,
};

std::string_view name_of(member_phase value) noexcept;

/// Source of the newest proof.
enum class proof_source : std::uint8_t
{
    none,
    store,
    witnesses,
};

/// Lifecycle of one member as a state machine (Boost.MSM, in the .cpp). It
/// implements no safety rule. It enforces the order of the phases, so that
/// `removed` and `fenced` are final, and logs each transition.
class member_lifecycle
{
public:
    explicit member_lifecycle(std::string member);
    ~member_lifecycle();
    member_lifecycle(member_lifecycle&& other) noexcept;
    member_lifecycle& operator=(member_lifecycle&& other) noexcept;
    member_lifecycle(member_lifecycle const&) = delete;
    member_lifecycle& operator=(member_lifecycle const&) = delete;

    /// Handles that the store accepted the record.
    void on_joined(ports::actions& out);
    /// Sets the source of the newest proof.
    void on_proof(proof_source source, ports::actions& out);
    /// Handles that a planned stop begins to erase the record.
    void on_removing(ports::actions& out);
    void on_removed(ports::actions& out);
    /// Handles that another process has changed or removed the record.
    void on_fenced(std::string const& reason, ports::actions& out);

    member_phase current_phase() const noexcept;
    /// Whether this incarnation is neither removing, removed nor fenced.
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
