#include "core/membership/member.hpp"

#include <set>
#include <utility>
#include <variant>

// What members ask of each other: promises, and consent to a burial.
namespace fuchsia::core::membership
{

void member::drive_rounds(common::time_point now, ports::actions& out)
{
    if (!own_.joined() || now < next_round_ ||
        proof_age(now) < settings_.proof_lifetime / 2)
    {
        return;
    }
    next_round_ = now + settings_.proof_lifetime / 3;
    std::set<ports::member_identity> asked;
    for (auto const& list : own_.possible_lists())
    {
        asked.insert(list.begin(), list.end());
    }
    ports::promise_request const request{
        proof_.begin_round(now), own_.version(), self().config_revision};
    for (auto const& id : asked)
    {
        ++counts_.promise_requests;
        send(id, request, out);
    }
}

void member::advance_fencing(common::time_point now, ports::actions& out)
{
    auto steps = fencing_.next(
        now, self().id, own_.joined(), roster_, platform_, witness_, random_);
    for (auto const& question : steps.questions)
    {
        ++counts_.consent_requests;
        send(question.witness,
             ports::consent_request{question.subject, question.version},
             out);
    }
    for (auto& write : steps.writes)
    {
        ++counts_.fencing_writes;
        out.emplace_back(ports::log_event{
            ports::severity::warning,
            "member_burial",
            {{"member", self().id.name},
             {"subject", write.subject.name},
             {"incarnation", to_hexadecimal(write.subject.incarnation)},
             {"version", std::to_string(write.operation.expected_version)}}});
        call(now,
             call_kind::fencing,
             std::move(write.operation),
             out,
             write.subject);
    }
}

void member::on_peer(common::time_point now,
                     ports::peer_receive const& message,
                     ports::actions& out)
{
    detect_pause(now, out);
    auto const& from = message.from;
    auto const& body = message.message;
    if (auto const* asked = std::get_if<ports::promise_request>(&body))
    {
        handle(now, from, *asked, out);
    }
    else if (auto const* promise = std::get_if<ports::promise_reply>(&body))
    {
        handle(now, from, *promise);
        update_phase_from_proof(now, out);
    }
    else if (auto const* question = std::get_if<ports::consent_request>(&body))
    {
        handle(now, from, *question, out);
    }
    else if (auto const* consent = std::get_if<ports::consent_reply>(&body))
    {
        if (consent->granted)
        {
            fencing_.on_consent(
                from, consent->subject, consent->record_version);
            drive(now, out);
        }
    }
}

// A witness that was paused may itself be buried by now, and a newer process
// under its name may have been taken as a sign that it promises no more. So it
// promises nothing until it holds a proof again.
void member::handle(common::time_point now,
                    ports::member_identity const& from,
                    ports::promise_request const& request,
                    ports::actions& out)
{
    bool const granted = lifecycle_.takes_part() &&
                         proof_.newest().has_value() &&
                         witness_.promise(now, from, roster_);
    ++(granted ? counts_.promises_given : counts_.promises_refused);
    send(from,
         ports::promise_reply{request.round, granted, self().config_revision},
         out);
}

void member::handle(common::time_point now,
                    ports::member_identity const& from,
                    ports::promise_reply const& reply)
{
    if (reply.granted)
    {
        proof_.promised(now, from, reply.round, own_.possible_lists());
    }
}

void member::handle(common::time_point now,
                    ports::member_identity const& from,
                    ports::consent_request const& request,
                    ports::actions& out)
{
    bool const granted =
        lifecycle_.takes_part() && request.subject != self().id &&
        witness_.consent(now, request.subject, request.record_version, roster_);
    counts_.consents_given += granted ? 1 : 0;
    send(from,
         ports::consent_reply{request.subject, request.record_version, granted},
         out);
}

// The address is that of the record under the name; a receiver of another
// incarnation drops the frame.
void member::send(ports::member_identity const& to,
                  ports::peer_message message,
                  ports::actions& out) const
{
    auto const* seen = roster_.find(to.name);
    if (seen != nullptr && seen->readable)
    {
        out.emplace_back(ports::peer_send{
            to, seen->value.info.peer_address, std::move(message)});
    }
}

} // namespace fuchsia::core::membership
