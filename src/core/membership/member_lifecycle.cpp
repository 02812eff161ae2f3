#include "core/membership/member_lifecycle.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <utility>

namespace fuchsia::core::membership
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct record_accepted
{
};
struct store_proof
{
};
struct witness_proof
{
};
struct proof_ended
{
};
struct remove_requested
{
};
struct record_erased
{
};
struct record_overwritten
{
};

struct joining_state : msm::front::state<>
{
};
struct store_proof_state : msm::front::state<>
{
};
struct witness_proof_state : msm::front::state<>
{
};
struct no_proof_state : msm::front::state<>
{
};
struct removing_state : msm::front::state<>
{
};
struct removed_state : msm::front::state<>
{
};
struct fenced_state : msm::front::state<>
{
};

struct lifecycle_definition
    : msm::front::state_machine_def<lifecycle_definition>
{
    using initial_state = joining_state;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<joining_state,      record_accepted,      no_proof_state, none>,
        Row<joining_state,      remove_requested,       removing_state,     none>,
        Row<joining_state,      record_overwritten,       fenced_state,       none>,
        Row<no_proof_state, store_proof,     store_proof_state,     none>,
        Row<no_proof_state, witness_proof, witness_proof_state, none>,
        Row<no_proof_state, remove_requested,       removing_state,     none>,
        Row<no_proof_state, record_overwritten,       fenced_state,       none>,
        Row<store_proof_state,     witness_proof, witness_proof_state, none>,
        Row<store_proof_state,     proof_ended,         no_proof_state, none>,
        Row<store_proof_state,     remove_requested,       removing_state,     none>,
        Row<store_proof_state,     record_overwritten,       fenced_state,       none>,
        Row<witness_proof_state, store_proof,     store_proof_state,     none>,
        Row<witness_proof_state, proof_ended,         no_proof_state, none>,
        Row<witness_proof_state, remove_requested,       removing_state,     none>,
        Row<witness_proof_state, record_overwritten,       fenced_state,       none>,
        Row<removing_state,     record_erased,      removed_state,         none>
    > {};
    // clang-format on

    // Ignores late events, such as a proof while the record is being erased.
    template<class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

using lifecycle_machine = msm::back::state_machine<lifecycle_definition>;

template<class State>
constexpr int state_number =
    msm::back::get_state_id<lifecycle_machine::stt, State>::value;

struct phase_row
{
    member_phase value;
    int state; ///< State number assigned by Boost.MSM.
    std::string_view name;
};

constexpr std::array<phase_row, 7> phase_table{{
    {member_phase::joining, state_number<joining_state>, "joining"},
    {member_phase::active_by_store_proof,
     state_number<store_proof_state>,
     "active_by_store"},
    {member_phase::active_by_witness_promises,
     state_number<witness_proof_state>,
     "active_by_witnesses"},
    {member_phase::proof_expired, state_number<no_proof_state>, "out_of_proof"},
    {member_phase::removing, state_number<removing_state>, "removing"},
    {member_phase::removed, state_number<removed_state>, "gone"},
    {member_phase::fenced, state_number<fenced_state>, "buried"},
}};

} // namespace

std::string_view name_of(member_phase value) noexcept
{
    for (auto const& row : phase_table)
    {
        if (row.value == value)
        {
            return row.name;
        }
    }
    return {};
}

struct member_lifecycle::machine
{
    lifecycle_machine states;
};

member_lifecycle::member_lifecycle(std::string member)
    : machine_(std::make_unique<machine>()), member_(std::move(member))
{
    machine_->states.start();
}

member_lifecycle::~member_lifecycle() = default;
member_lifecycle::member_lifecycle(member_lifecycle&& other) noexcept = default;
member_lifecycle&
member_lifecycle::operator=(member_lifecycle&& other) noexcept = default;

void member_lifecycle::on_joined(ports::actions& out)
{
    member_phase const previous = current_phase();
    machine_->states.process_event(record_accepted{});
    log_transition(previous, "own record accepted by the store", out);
}

void member_lifecycle::on_proof(proof_source source, ports::actions& out)
{
    member_phase const previous = current_phase();
    switch (source)
    {
    case proof_source::store:
        machine_->states.process_event(store_proof{});
        break;
    case proof_source::witnesses:
        machine_->states.process_event(witness_proof{});
        break;
    case proof_source::none:
        machine_->states.process_event(proof_ended{});
        break;
    }
    log_transition(previous, "proof", out);
}

void member_lifecycle::on_removing(ports::actions& out)
{
    member_phase const previous = current_phase();
    machine_->states.process_event(remove_requested{});
    log_transition(previous, "planned stop", out);
}

void member_lifecycle::on_removed(ports::actions& out)
{
    member_phase const previous = current_phase();
    machine_->states.process_event(record_erased{});
    log_transition(previous, "planned stop", out);
}

void member_lifecycle::on_fenced(std::string const& reason, ports::actions& out)
{
    member_phase const previous = current_phase();
    machine_->states.process_event(record_overwritten{});
    log_transition(previous, reason, out);
}

member_phase member_lifecycle::current_phase() const noexcept
{
    int const state = machine_->states.current_state()[0];
    for (auto const& row : phase_table)
    {
        if (row.state == state)
        {
            return row.value;
        }
    }
    return member_phase::fenced;
}

bool member_lifecycle::is_participating() const noexcept
{
    member_phase const phase = current_phase();
    return phase != member_phase::removing && phase != member_phase::removed &&
           phase != member_phase::fenced;
}

void member_lifecycle::log_transition(member_phase previous,
                                      std::string const& reason,
                                      ports::actions& out) const
{
    member_phase const current = current_phase();
    if (current == previous)
    {
        return;
    }
    bool const bad = current == member_phase::proof_expired ||
                     current == member_phase::fenced;
    out.emplace_back(
        ports::log_event{bad ? ports::severity::warning : ports::severity::info,
                         "member_phase",
                         {{"member", member_},
                          {"from", std::string(name_of(previous))},
                          {"to", std::string(name_of(current))},
                          {"why", reason}}});
}

} // namespace fuchsia::core::membership
