#include "adapters/peer/codec.hpp"

#include "peer_generated.h"

#include <type_traits>
#include <utility>

namespace fuchsia::adapters::peer
{

namespace
{

using builder = flatbuffers::FlatBufferBuilder;
template<class T>
using offset = flatbuffers::Offset<T>;
using core::common::duration;
using core::common::outcome;
using core::common::result_code;

// Maximum HTTP status; a status has three digits.
constexpr std::uint16_t max_status = 999;

std::string text_of(flatbuffers::String const* value)
{
    return value == nullptr ? std::string() : value->str();
}

std::string text_of(flatbuffers::Vector<std::uint8_t> const* value)
{
    return value == nullptr ? std::string()
                            : std::string(value->begin(), value->end());
}

offset<flatbuffers::Vector<std::uint8_t>> write_bytes(builder& fbb,
                                                      std::string const& value)
{
    auto const* const data =
        reinterpret_cast<std::uint8_t const*>(value.data());
    return fbb.CreateVector(data, value.size());
}

offset<schema::identity> write(builder& fbb,
                               ports::member_identity const& value)
{
    return schema::Createidentity(
        fbb, fbb.CreateString(value.name), value.incarnation);
}

ports::member_identity read(schema::identity const* value)
{
    if (value == nullptr)
    {
        return {};
    }
    return {text_of(value->name()), value->incarnation()};
}

auto write(builder& fbb, std::vector<ports::header> const& headers)
{
    std::vector<offset<schema::header>> offsets;
    offsets.reserve(headers.size());
    for (auto const& header : headers)
    {
        offsets.push_back(schema::Createheader(fbb,
                                               fbb.CreateString(header.name),
                                               fbb.CreateString(header.value)));
    }
    return fbb.CreateVector(offsets);
}

std::vector<ports::header>
read(flatbuffers::Vector<offset<schema::header>> const* headers)
{
    std::vector<ports::header> result;
    if (headers == nullptr)
    {
        return result;
    }
    for (auto const* const header : *headers)
    {
        result.push_back({text_of(header->name()), text_of(header->value())});
    }
    return result;
}

offset<schema::caller_request> write(builder& fbb,
                                     ports::caller_request const& value)
{
    auto const customer = fbb.CreateString(value.customer);
    auto const method = fbb.CreateString(value.method);
    auto const target = fbb.CreateString(value.target);
    auto const headers = write(fbb, value.headers);
    auto const body = write_bytes(fbb, value.body);
    auto const key = fbb.CreateString(value.idempotency_key);
    return schema::Createcaller_request(fbb,
                                        customer,
                                        static_cast<std::uint8_t>(value.kind),
                                        method,
                                        target,
                                        headers,
                                        body,
                                        key,
                                        value.attempt,
                                        value.deadline.count());
}

std::optional<ports::caller_request> read(schema::caller_request const* value)
{
    if (value == nullptr ||
        value->kind() > static_cast<std::uint8_t>(ports::request_class::batch))
    {
        return std::nullopt;
    }
    ports::caller_request result;
    result.customer = text_of(value->customer());
    result.kind = static_cast<ports::request_class>(value->kind());
    result.method = text_of(value->method());
    result.target = text_of(value->target());
    result.headers = read(value->headers());
    result.body = text_of(value->body());
    result.idempotency_key = text_of(value->idempotency_key());
    result.attempt = value->attempt();
    result.deadline = duration(value->deadline_us());
    return result;
}

offset<schema::caller_answer> write(builder& fbb,
                                    ports::caller_answer const& value)
{
    auto const headers = write(fbb, value.headers);
    auto const body = write_bytes(fbb, value.body);
    return schema::Createcaller_answer(fbb,
                                       value.status,
                                       headers,
                                       body,
                                       static_cast<std::uint16_t>(value.code),
                                       static_cast<std::uint8_t>(value.outcome),
                                       value.retry_after.count());
}

std::optional<ports::caller_answer> read(schema::caller_answer const* value)
{
    if (value == nullptr || value->status() > max_status ||
        value->says() > static_cast<std::uint8_t>(outcome::unknown))
    {
        return std::nullopt;
    }
    ports::caller_answer result;
    result.status = value->status();
    result.headers = read(value->headers());
    result.body = text_of(value->body());
    result.code = static_cast<result_code>(value->code());
    result.outcome = static_cast<outcome>(value->says());
    result.retry_after = duration(value->retry_after_us());
    return result;
}

struct message_writer
{
    builder& fbb;

    auto operator()(ports::promise_request const& m) const
    {
        return schema::Createpromise_request(
                   fbb, m.round, m.record_version, m.config_revision)
            .Union();
    }
    auto operator()(ports::promise_reply const& m) const
    {
        return schema::Createpromise_reply(
                   fbb, m.round, m.granted, m.config_revision)
            .Union();
    }
    auto operator()(ports::consent_request const& m) const
    {
        return schema::Createconsent_request(
                   fbb, write(fbb, m.subject), m.record_version)
            .Union();
    }
    auto operator()(ports::consent_reply const& m) const
    {
        return schema::Createconsent_reply(
                   fbb, write(fbb, m.subject), m.record_version, m.granted)
            .Union();
    }
    auto operator()(ports::config_offer const& m) const
    {
        return schema::Createconfig_offer(
                   fbb, m.revision, fbb.CreateString(m.document))
            .Union();
    }
    auto operator()(ports::config_request const& m) const
    {
        return schema::Createconfig_request(fbb, m.revision).Union();
    }
    auto operator()(ports::load_report const& m) const
    {
        return schema::Createload_report(fbb, m.free_slots, m.queued).Union();
    }
    auto operator()(ports::forwarded_request const& m) const
    {
        return schema::Createforwarded_request(
                   fbb, m.id, m.spill, write(fbb, m.request), m.epoch)
            .Union();
    }
    auto operator()(ports::forwarded_answer const& m) const
    {
        return schema::Createforwarded_answer(
                   fbb, m.id, write(fbb, m.answer), m.free_slots, m.queued)
            .Union();
    }
    auto operator()(ports::slice_request const& m) const
    {
        return schema::Createslice_request(fbb,
                                           m.round,
                                           fbb.CreateString(m.customer),
                                           m.in_use,
                                           m.wanted,
                                           m.wanted_rate)
            .Union();
    }
    auto operator()(ports::slice_grant const& m) const
    {
        return schema::Createslice_grant(fbb,
                                         m.round,
                                         fbb.CreateString(m.customer),
                                         m.in_flight,
                                         m.rate,
                                         m.valid_us,
                                         m.config_revision)
            .Union();
    }
    auto operator()(ports::key_handover const& m) const
    {
        std::vector<offset<schema::remembered_key>> keys;
        keys.reserve(m.keys.size());
        for (auto const& key : m.keys)
        {
            auto const customer = fbb.CreateString(key.customer);
            auto const name = fbb.CreateString(key.key);
            auto const answer = write(fbb, key.answer);
            keys.push_back(schema::Createremembered_key(fbb,
                                                        customer,
                                                        name,
                                                        key.finished,
                                                        answer,
                                                        key.age_us,
                                                        key.fingerprint));
        }
        auto const offsets = fbb.CreateVector(keys);
        return schema::Createkey_handover(fbb,
                                          m.partition,
                                          m.epoch,
                                          m.retention_us,
                                          offsets,
                                          m.last,
                                          m.slots_idle,
                                          m.total_keys)
            .Union();
    }
    auto operator()(ports::key_handover_ack const& m) const
    {
        return schema::Createkey_handover_ack(fbb, m.partition, m.epoch)
            .Union();
    }
};

// The union tags of the schema follow the order of the alternatives of
// `peer_message`, after the tag 0 for no message.
schema::message kind_of(ports::peer_message const& message)
{
    return static_cast<schema::message>(message.index() + 1);
}

std::optional<ports::peer_message>
read_handover(schema::key_handover const& value)
{
    ports::key_handover result;
    result.partition = value.partition();
    result.epoch = value.epoch();
    result.retention_us = value.memory_us();
    result.last = value.last();
    result.slots_idle = value.slots_idle();
    result.total_keys = value.total_keys();
    if (value.keys() == nullptr)
    {
        return result;
    }
    for (auto const* const key : *value.keys())
    {
        auto answer = read(key->answer());
        if (!answer)
        {
            return std::nullopt;
        }
        result.keys.push_back({text_of(key->customer()),
                               text_of(key->key()),
                               key->ended(),
                               std::move(*answer),
                               key->age_us(),
                               key->fingerprint()});
    }
    return result;
}

std::optional<ports::peer_message>
read_forwarded(schema::forwarded_request const& value)
{
    auto request = read(value.request());
    if (!request)
    {
        return std::nullopt;
    }
    return ports::forwarded_request{
        value.id(), value.spill(), std::move(*request), value.epoch()};
}

std::optional<ports::peer_message>
read_forwarded(schema::forwarded_answer const& value)
{
    auto answer = read(value.answer());
    if (!answer)
    {
        return std::nullopt;
    }
    return ports::forwarded_answer{
        value.id(), std::move(*answer), value.free_slots(), value.queued()};
}

std::optional<ports::peer_message> read_message(schema::frame const& value)
{
    switch (value.body_type())
    {
    case schema::message_promise_request:
    {
        auto const& m = *value.body_as_promise_request();
        return ports::promise_request{
            m.round(), m.record_version(), m.config_revision()};
    }
    case schema::message_promise_reply:
    {
        auto const& m = *value.body_as_promise_reply();
        return ports::promise_reply{
            m.round(), m.granted(), m.config_revision()};
    }
    case schema::message_consent_request:
    {
        auto const& m = *value.body_as_consent_request();
        return ports::consent_request{read(m.subject()), m.record_version()};
    }
    case schema::message_consent_reply:
    {
        auto const& m = *value.body_as_consent_reply();
        return ports::consent_reply{
            read(m.subject()), m.record_version(), m.granted()};
    }
    case schema::message_config_offer:
    {
        auto const& m = *value.body_as_config_offer();
        return ports::config_offer{m.revision(), text_of(m.document())};
    }
    case schema::message_config_request:
        return ports::config_request{
            value.body_as_config_request()->revision()};
    case schema::message_load_report:
    {
        auto const& m = *value.body_as_load_report();
        return ports::load_report{m.free_slots(), m.queued()};
    }
    case schema::message_forwarded_request:
        return read_forwarded(*value.body_as_forwarded_request());
    case schema::message_forwarded_answer:
        return read_forwarded(*value.body_as_forwarded_answer());
    case schema::message_slice_request:
    {
        auto const& m = *value.body_as_slice_request();
        return ports::slice_request{m.round(),
                                    text_of(m.customer()),
                                    m.in_use(),
                                    m.wanted(),
                                    m.wanted_rate()};
    }
    case schema::message_slice_grant:
    {
        auto const& m = *value.body_as_slice_grant();
        return ports::slice_grant{m.round(),
                                  text_of(m.customer()),
                                  m.in_flight(),
                                  m.rate(),
                                  m.valid_us(),
                                  m.config_revision()};
    }
    case schema::message_key_handover:
        return read_handover(*value.body_as_key_handover());
    case schema::message_key_handover_ack:
    {
        auto const& m = *value.body_as_key_handover_ack();
        return ports::key_handover_ack{m.partition(), m.epoch()};
    }
    case schema::message_NONE:
        break;
    }
    return std::nullopt;
}

std::vector<std::uint8_t> add_length_prefix(builder const& fbb)
{
    std::uint32_t const size = fbb.GetSize();
    std::vector<std::uint8_t> bytes;
    bytes.reserve(length_size + size);
    for (std::size_t index = 0; index < length_size; ++index)
    {
        bytes.push_back(static_cast<std::uint8_t>(size >> (8 * index)));
    }
    bytes.insert(
        bytes.end(), fbb.GetBufferPointer(), fbb.GetBufferPointer() + size);
    return bytes;
}

} // namespace

std::vector<std::uint8_t> encode(frame const& value)
{
    builder fbb;
    auto const from = write(fbb, value.from);
    auto const to = write(fbb, value.to);
    auto const token = value.token.empty() ? offset<flatbuffers::String>()
                                           : fbb.CreateString(value.token);
    auto kind = schema::message_NONE;
    offset<void> body;
    if (value.message)
    {
        kind = kind_of(*value.message);
        body = std::visit(message_writer{fbb}, *value.message);
    }
    fbb.Finish(schema::Createframe(fbb, from, to, token, kind, body));
    return add_length_prefix(fbb);
}

std::optional<frame> decode(std::span<std::uint8_t const> bytes,
                            core::common::failure& reason)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!schema::VerifyframeBuffer(verifier))
    {
        reason = {result_code::malformed_frame, "frame", "no valid buffer"};
        return std::nullopt;
    }
    auto const& parsed = *schema::Getframe(bytes.data());
    // The verifier accepts a frame that has a message type but no message.
    if (parsed.body_type() != schema::message_NONE && parsed.body() == nullptr)
    {
        reason = {
            result_code::malformed_frame, "frame", "the message is absent"};
        return std::nullopt;
    }
    frame result{read(parsed.from()),
                 read(parsed.to()),
                 text_of(parsed.token()),
                 read_message(parsed)};
    bool const has_body = parsed.body_type() != schema::message_NONE;
    if (result.from.name.empty() || result.to.name.empty() ||
        has_body != result.message.has_value())
    {
        reason = {result_code::malformed_frame,
                  "frame",
                  "a field is absent or out of range"};
        return std::nullopt;
    }
    return result;
}

} // namespace fuchsia::adapters::peer
