#include "core/membership/member.hpp"

#include <set>
#include <utility>
#include <variant>

// Messages between members: requests for promises and for consent to fencing.
namespace fuchsia::core::membership
{

void member::request_promises(common::time_point now, ports::actions& out)
{
    if (!own_record_.has_joined() || now < next_round_ ||
        proof_age(now) < settings_.proof_lifetime / 2)
    {
        return;
    }
    next_round_ = now + settings_.proof_lifetime / 3;
    std::set<ports::member_identity> recipients;
    for (auto const& witnesses : own_record_.possible_witness_lists())
    {
        recipients.insert(witnesses.begin(), witnesses.end());
    }
    ports::promise_request const request{
        proof_.begin_round(now), own_record_.version(), self().config_revision};
    for (auto const& id : recipients)
    {
        ++counts_.promise_requests;
        send(id, request, out);
    }
}

void member::advance_fencing(common::time_point now, ports::actions& out)
{
    auto actions = fencing_.next(now,
                                 self().id,
                                 own_record_.has_joined(),
                                 roster_,
                                 platform_,
                                 witness_,
                                 random_);
    for (auto const& query : actions.consent_queries)
    {
        ++counts_.consent_requests;
        send(query.witness,
             ports::consent_request{query.subject, query.version},
             out);
    }
    for (auto& write : actions.writes)
    {
        ++counts_.fencing_writes;
        out.emplace_back(ports::log_event{
            ports::severity::warning,
            "member_burial",
            {{"member", self().id.name},
             {"subject", write.subject.name},
             {"incarnation", to_hexadecimal(write.subject.incarnation)},
             {"version", std::to_string(write.operation.expected_version)}}});
        call_store(now,
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
    auto const& sender = message.from;
    auto const& body = message.message;
    if (auto const* request = std::get_if<ports::promise_request>(&body))
    {
        handle(now, sender, *request, out);
    }
    else if (auto const* promise = std::get_if<ports::promise_reply>(&body))
    {
        handle(now, sender, *promise);
        update_phase_from_proof(now, out);
    }
    else if (auto const* query = std::get_if<ports::consent_request>(&body))
    {
        handle(now, sender, *query, out);
    }
    else if (auto const* consent = std::get_if<ports::consent_reply>(&body))
    {
        if (consent->granted)
        {
            fencing_.on_consent(
                sender, consent->subject, consent->record_version);
            advance(now, out);
        }
    }
}

// A witness that was paused may have been fenced meanwhile, and observers may
// have concluded from a newer process under its name that it gives no more
// promises. So it refuses promises until it has a proof again.
void member::handle(common::time_point now,
                    ports::member_identity const& sender,
                    ports::promise_request const& request,
                    ports::actions& out)
{
    bool const granted = lifecycle_.is_participating() &&
                         proof_.newest().has_value() &&
                         witness_.promise(now, sender, roster_);
    ++(granted ? counts_.promises_given : counts_.promises_refused);
    send(sender,
         ports::promise_reply{request.round, granted, self().config_revision},
         out);
}

void member::handle(common::time_point now,
                    ports::member_identity const& sender,
                    ports::promise_reply const& reply)
{
    if (reply.granted)
    {
        proof_.on_promise(
            now, sender, reply.round, own_record_.possible_witness_lists());
    }
}

void member::handle(common::time_point now,
                    ports::member_identity const& sender,
                    ports::consent_request const& request,
                    ports::actions& out)
{
    bool const granted =
        lifecycle_.is_participating() && request.subject != self().id &&
        witness_.consent(now, request.subject, request.record_version, roster_);
    counts_.consents_given += granted ? 1 : 0;
    send(sender,
         ports::consent_reply{request.subject, request.record_version, granted},
         out);
}

// Sends to the address in the record under the receiver's name. If another
// incarnation receives the frame, it drops it.
void member::send(ports::member_identity const& receiver,
                  ports::peer_message message,
                  ports::actions& out) const
{
    auto const* observed = roster_.find(receiver.name);
    if (observed != nullptr && observed->readable)
    {
        out.emplace_back(ports::peer_send{
            receiver, observed->value.info.peer_address, std::move(message)});
    }
}

} // namespace fuchsia::core::membership
