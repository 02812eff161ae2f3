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

// HTTP has no status of four digits.
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

offset<flatbuffers::Vector<std::uint8_t>> bytes_to(builder& out,
                                                   std::string const& value)
{
    auto const* const data =
        reinterpret_cast<std::uint8_t const*>(value.data());
    return out.CreateVector(data, value.size());
}

offset<schema::identity> write(builder& out,
                               ports::member_identity const& value)
{
    return schema::Createidentity(
        out, out.CreateString(value.name), value.incarnation);
}

ports::member_identity read(schema::identity const* value)
{
    if (value == nullptr)
    {
        return {};
    }
    return {text_of(value->name()), value->incarnation()};
}

auto write(builder& out, std::vector<ports::header> const& headers)
{
    std::vector<offset<schema::header>> written;
    written.reserve(headers.size());
    for (auto const& header : headers)
    {
        written.push_back(schema::Createheader(out,
                                               out.CreateString(header.name),
                                               out.CreateString(header.value)));
    }
    return out.CreateVector(written);
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

offset<schema::caller_request> write(builder& out,
                                     ports::caller_request const& value)
{
    auto const customer = out.CreateString(value.customer);
    auto const method = out.CreateString(value.method);
    auto const target = out.CreateString(value.target);
    auto const headers = write(out, value.headers);
    auto const body = bytes_to(out, value.body);
    auto const key = out.CreateString(value.idempotency_key);
    return schema::Createcaller_request(out,
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

offset<schema::caller_answer> write(builder& out,
                                    ports::caller_answer const& value)
{
    auto const headers = write(out, value.headers);
    auto const body = bytes_to(out, value.body);
    return schema::Createcaller_answer(out,
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
    builder& out;

    auto operator()(ports::promise_request const& m) const
    {
        return schema::Createpromise_request(
                   out, m.round, m.record_version, m.config_revision)
            .Union();
    }
    auto operator()(ports::promise_reply const& m) const
    {
        return schema::Createpromise_reply(
                   out, m.round, m.granted, m.config_revision)
            .Union();
    }
    auto operator()(ports::consent_request const& m) const
    {
        return schema::Createconsent_request(
                   out, write(out, m.subject), m.record_version)
            .Union();
    }
    auto operator()(ports::consent_reply const& m) const
    {
        return schema::Createconsent_reply(
                   out, write(out, m.subject), m.record_version, m.granted)
            .Union();
    }
    auto operator()(ports::config_offer const& m) const
    {
        return schema::Createconfig_offer(
                   out, m.revision, out.CreateString(m.document))
            .Union();
    }
    auto operator()(ports::config_request const& m) const
    {
        return schema::Createconfig_request(out, m.revision).Union();
    }
    auto operator()(ports::load_report const& m) const
    {
        return schema::Createload_report(out, m.free_slots, m.queued).Union();
    }
    auto operator()(ports::forwarded_request const& m) const
    {
        return schema::Createforwarded_request(
                   out, m.id, m.spill, write(out, m.request), m.epoch)
            .Union();
    }
    auto operator()(ports::forwarded_answer const& m) const
    {
        return schema::Createforwarded_answer(
                   out, m.id, write(out, m.answer), m.free_slots, m.queued)
            .Union();
    }
    auto operator()(ports::slice_request const& m) const
    {
        return schema::Createslice_request(out,
                                           m.round,
                                           out.CreateString(m.customer),
                                           m.in_use,
                                           m.wanted,
                                           m.wanted_rate)
            .Union();
    }
    auto operator()(ports::slice_grant const& m) const
    {
        return schema::Createslice_grant(out,
                                         m.round,
                                         out.CreateString(m.customer),
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
            auto const customer = out.CreateString(key.customer);
            auto const name = out.CreateString(key.key);
            auto const answer = write(out, key.answer);
            keys.push_back(schema::Createremembered_key(out,
                                                        customer,
                                                        name,
                                                        key.finished,
                                                        answer,
                                                        key.age_us,
                                                        key.fingerprint));
        }
        auto const written = out.CreateVector(keys);
        return schema::Createkey_handover(out,
                                          m.partition,
                                          m.epoch,
                                          m.retention_us,
                                          written,
                                          m.last,
                                          m.slots_idle,
                                          m.total_keys)
            .Union();
    }
    auto operator()(ports::key_handover_ack const& m) const
    {
        return schema::Createkey_handover_ack(out, m.partition, m.epoch)
            .Union();
    }
};

// The numbers of the schema's union follow the order of `peer_message`.
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

std::vector<std::uint8_t> with_length(builder const& out)
{
    std::uint32_t const size = out.GetSize();
    std::vector<std::uint8_t> bytes;
    bytes.reserve(length_size + size);
    for (std::size_t index = 0; index < length_size; ++index)
    {
        bytes.push_back(static_cast<std::uint8_t>(size >> (8 * index)));
    }
    bytes.insert(
        bytes.end(), out.GetBufferPointer(), out.GetBufferPointer() + size);
    return bytes;
}

} // namespace

std::vector<std::uint8_t> encode(frame const& value)
{
    builder out;
    auto const from = write(out, value.from);
    auto const to = write(out, value.to);
    auto const token = value.token.empty() ? offset<flatbuffers::String>()
                                           : out.CreateString(value.token);
    auto kind = schema::message_NONE;
    offset<void> body;
    if (value.message)
    {
        kind = kind_of(*value.message);
        body = std::visit(message_writer{out}, *value.message);
    }
    out.Finish(schema::Createframe(out, from, to, token, kind, body));
    return with_length(out);
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
    // The schema lets a message be absent whose kind is named.
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
