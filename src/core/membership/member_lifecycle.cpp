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

struct record_stands
{
};
struct proof_by_store
{
};
struct proof_by_witnesses
{
};
struct proof_over
{
};
struct remove_asked
{
};
struct record_erased
{
};
struct record_taken
{
};

struct joining_state : msm::front::state<>
{
};
struct by_store_state : msm::front::state<>
{
};
struct by_witnesses_state : msm::front::state<>
{
};
struct out_of_proof_state : msm::front::state<>
{
};
struct removing_state : msm::front::state<>
{
};
struct gone_state : msm::front::state<>
{
};
struct buried_state : msm::front::state<>
{
};

struct member_life : msm::front::state_machine_def<member_life>
{
    using initial_state = joining_state;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<joining_state,      record_stands,      out_of_proof_state, none>,
        Row<joining_state,      remove_asked,       removing_state,     none>,
        Row<joining_state,      record_taken,       buried_state,       none>,
        Row<out_of_proof_state, proof_by_store,     by_store_state,     none>,
        Row<out_of_proof_state, proof_by_witnesses, by_witnesses_state, none>,
        Row<out_of_proof_state, remove_asked,       removing_state,     none>,
        Row<out_of_proof_state, record_taken,       buried_state,       none>,
        Row<by_store_state,     proof_by_witnesses, by_witnesses_state, none>,
        Row<by_store_state,     proof_over,         out_of_proof_state, none>,
        Row<by_store_state,     remove_asked,       removing_state,     none>,
        Row<by_store_state,     record_taken,       buried_state,       none>,
        Row<by_witnesses_state, proof_by_store,     by_store_state,     none>,
        Row<by_witnesses_state, proof_over,         out_of_proof_state, none>,
        Row<by_witnesses_state, remove_asked,       removing_state,     none>,
        Row<by_witnesses_state, record_taken,       buried_state,       none>,
        Row<removing_state,     record_erased,      gone_state,         none>
    > {};
    // clang-format on

    // What arrives late, such as a proof while the record is being erased,
    // changes nothing.
    template<class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

using life_machine = msm::back::state_machine<member_life>;

template<class State>
constexpr int state_number =
    msm::back::get_state_id<life_machine::stt, State>::value;

struct phase_row
{
    member_phase value;
    int state; ///< MSM's number of the state.
    std::string_view name;
};

constexpr std::array<phase_row, 7> phase_table{{
    {member_phase::joining, state_number<joining_state>, "joining"},
    {member_phase::active_by_store_proof,
     state_number<by_store_state>,
     "active_by_store"},
    {member_phase::active_by_witness_promises,
     state_number<by_witnesses_state>,
     "active_by_witnesses"},
    {member_phase::proof_expired,
     state_number<out_of_proof_state>,
     "out_of_proof"},
    {member_phase::removing, state_number<removing_state>, "removing"},
    {member_phase::removed, state_number<gone_state>, "gone"},
    {member_phase::fenced, state_number<buried_state>, "buried"},
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
    life_machine life;
};

member_lifecycle::member_lifecycle(std::string member)
    : machine_(std::make_unique<machine>()), member_(std::move(member))
{
    machine_->life.start();
}

member_lifecycle::~member_lifecycle() = default;
member_lifecycle::member_lifecycle(member_lifecycle&& other) noexcept = default;
member_lifecycle&
member_lifecycle::operator=(member_lifecycle&& other) noexcept = default;

void member_lifecycle::joined(ports::actions& out)
{
    member_phase const before = current_phase();
    machine_->life.process_event(record_stands{});
    log_transition(before, "record stands", out);
}

void member_lifecycle::proved(proof_source source, ports::actions& out)
{
    member_phase const before = current_phase();
    switch (source)
    {
    case proof_source::store:
        machine_->life.process_event(proof_by_store{});
        break;
    case proof_source::witnesses:
        machine_->life.process_event(proof_by_witnesses{});
        break;
    case proof_source::none:
        machine_->life.process_event(proof_over{});
        break;
    }
    log_transition(before, "proof", out);
}

void member_lifecycle::removing(ports::actions& out)
{
    member_phase const before = current_phase();
    machine_->life.process_event(remove_asked{});
    log_transition(before, "planned stop", out);
}

void member_lifecycle::removed(ports::actions& out)
{
    member_phase const before = current_phase();
    machine_->life.process_event(record_erased{});
    log_transition(before, "planned stop", out);
}

void member_lifecycle::fenced(std::string const& why, ports::actions& out)
{
    member_phase const before = current_phase();
    machine_->life.process_event(record_taken{});
    log_transition(before, why, out);
}

member_phase member_lifecycle::current_phase() const noexcept
{
    int const state = machine_->life.current_state()[0];
    for (auto const& row : phase_table)
    {
        if (row.state == state)
        {
            return row.value;
        }
    }
    return member_phase::fenced;
}

bool member_lifecycle::takes_part() const noexcept
{
    member_phase const here = current_phase();
    return here != member_phase::removing && here != member_phase::removed &&
           here != member_phase::fenced;
}

void member_lifecycle::log_transition(member_phase before,
                                      std::string const& why,
                                      ports::actions& out) const
{
    member_phase const after = current_phase();
    if (after == before)
    {
        return;
    }
    bool const bad =
        after == member_phase::proof_expired || after == member_phase::fenced;
    out.emplace_back(
        ports::log_event{bad ? ports::severity::warning : ports::severity::info,
                         "member_phase",
                         {{"member", member_},
                          {"from", std::string(name_of(before))},
                          {"to", std::string(name_of(after))},
                          {"why", why}}});
}

} // namespace fuchsia::core::membership
