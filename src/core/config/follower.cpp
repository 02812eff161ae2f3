#include "core/config/follower.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::config
{

namespace
{

/// Minimum time between the starts of two watches, in case the store answers
/// watches immediately.
constexpr common::duration min_watch_interval = std::chrono::milliseconds(100);
/// Minimum time between two log events for the same refusal.
constexpr common::duration refusal_log_interval = std::chrono::seconds(60);

void append_log(ports::actions& out,
                ports::severity level,
                std::string event,
                std::vector<ports::header> fields)
{
    out.emplace_back(
        ports::log_event{level, std::move(event), std::move(fields)});
}

/// Returns the entry of the index in the reply to a read, list or watch; null
/// if the store has no index.
ports::store_entry const*
find_index_entry(ports::store_reply const& reply) noexcept
{
    for (auto const& entry : reply.entries)
    {
        if (entry.key == index_key)
        {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace

configuration_follower::configuration_follower(follower_settings settings)
    : settings_(settings)
{
}

void configuration_follower::start(common::time_point now, ports::actions& out)
{
    watch_due_ = now;
    send_confirm(now, out);
}

void configuration_follower::tick(common::time_point now, ports::actions& out)
{
    if (now >= confirm_due_ && !in_flight(call_kind::confirm))
    {
        send_confirm(now, out);
    }
    if (index_read_ && now >= watch_due_ && !in_flight(call_kind::watch))
    {
        send_watch(now, out);
    }
    if (fetch_ && now >= fetch_->retry_at)
    {
        send_missing(now, out);
    }
}

void configuration_follower::on_store_reply(common::time_point now,
                                            ports::store_reply const& reply,
                                            ports::actions& out)
{
    auto const found = calls_.find(reply.id.number);
    if (found == calls_.end())
    {
        return;
    }
    pending_call const call = std::move(found->second);
    calls_.erase(found);
    bool const answered = reply.status == ports::store_status::done;
    if (answered)
    {
        store_answered_at_ = now;
    }
    switch (call.kind)
    {
    case call_kind::confirm:
        confirm_due_ =
            std::max(now,
                     call.sent_at + (answered ? settings_.confirm_interval
                                              : settings_.retry_interval));
        break;
    case call_kind::watch:
        watch_due_ = answered && watch_index_ > 0
                         ? std::max(now, call.sent_at + min_watch_interval)
                         : now + settings_.retry_interval;
        break;
    case call_kind::document:
    case call_kind::list:
        on_documents(now, call, reply, out);
        tick(now, out);
        return;
    }
    if (answered)
    {
        on_index(now, call.sent_at, reply, out);
    }
    tick(now, out);
}

void configuration_follower::on_peer(common::time_point now,
                                     ports::peer_receive const& message,
                                     ports::endpoint const& from,
                                     ports::actions& out)
{
    if (auto const* offer = std::get_if<ports::config_offer>(&message.message))
    {
        on_offer(now, message, *offer, out);
        return;
    }
    auto const* request = std::get_if<ports::config_request>(&message.message);
    if (request != nullptr && request->revision < current_.revision)
    {
        out.emplace_back(ports::peer_send{
            message.from,
            from,
            ports::config_offer{current_.revision, to_json(current_)}});
    }
}

void configuration_follower::on_peer_revision(
    common::time_point now,
    std::uint64_t revision,
    ports::member_identity const& from,
    ports::endpoint const& address,
    ports::actions& out)
{
    if (revision <= current_.revision)
    {
        return;
    }
    // Only one peer is asked at a time: after a change every peer reports the
    // new revision, and each would send the whole configuration.
    if (peer_requested_at_ &&
        now - *peer_requested_at_ < settings_.retry_interval)
    {
        return;
    }
    peer_requested_at_ = now;
    out.emplace_back(ports::peer_send{
        from, address, ports::config_request{current_.revision}});
}

void configuration_follower::adopt(configuration newer, ports::actions& out)
{
    apply(std::move(newer), "writer", out);
}

configuration const& configuration_follower::current() const noexcept
{
    return current_;
}

common::time_point configuration_follower::confirmed_at() const noexcept
{
    return confirmed_at_;
}

std::optional<common::time_point>
configuration_follower::store_answered_at() const noexcept
{
    return store_answered_at_;
}

void configuration_follower::send(common::time_point now,
                                  pending_call call,
                                  ports::store_operation operation,
                                  ports::actions& out)
{
    call.sent_at = now;
    auto const number = next_call_++;
    calls_.emplace(number, std::move(call));
    out.emplace_back(ports::store_call{
        {ports::store_requester::configuration, number}, std::move(operation)});
}

void configuration_follower::send_confirm(common::time_point now,
                                          ports::actions& out)
{
    send(now,
         {call_kind::confirm, {}, {}, {}},
         ports::store_read{std::string(index_key)},
         out);
}

void configuration_follower::send_watch(common::time_point now,
                                        ports::actions& out)
{
    send(now,
         {call_kind::watch, {}, {}, {}},
         ports::store_watch{
             std::string(index_key), watch_index_, settings_.watch_wait},
         out);
}

bool configuration_follower::in_flight(call_kind kind) const noexcept
{
    return std::any_of(calls_.begin(),
                       calls_.end(),
                       [kind](auto const& pair)
                       {
                           return pair.second.kind == kind;
                       });
}

bool configuration_follower::in_flight(std::string const& key) const noexcept
{
    return std::any_of(calls_.begin(),
                       calls_.end(),
                       [&key](auto const& pair)
                       {
                           return pair.second.key == key;
                       });
}

void configuration_follower::on_index(common::time_point now,
                                      common::time_point sent_at,
                                      ports::store_reply const& reply,
                                      ports::actions& out)
{
    index_read_ = true;
    auto const* entry = find_index_entry(reply);
    watch_index_ = std::max(reply.index, entry == nullptr ? 0 : entry->version);
    if (entry == nullptr)
    {
        if (current_.revision == 0)
        {
            confirmed_at_ = std::max(confirmed_at_, sent_at);
        }
        return;
    }
    common::failure reason;
    auto index = parse_index(entry->value, reason);
    if (!index)
    {
        log_refusal(now, std::string(index_key), reason, out);
        return;
    }
    if (index->revision == current_.revision)
    {
        confirmed_at_ = std::max(confirmed_at_, sent_at);
        return;
    }
    // An older index is a stale read, or a reply that was overtaken by a newer
    // one. Applying it would undo changes of the operators.
    if (index->revision < current_.revision)
    {
        return;
    }
    if (fetch_ && fetch_->index.revision >= index->revision)
    {
        if (fetch_->index.revision == index->revision)
        {
            fetch_->index_sent_at = std::max(fetch_->index_sent_at, sent_at);
        }
        return;
    }
    begin_fetch(now, sent_at, std::move(*index), out);
}

void configuration_follower::apply(configuration newer,
                                   char const* source,
                                   ports::actions& out)
{
    if (newer.revision <= current_.revision)
    {
        return;
    }
    append_log(out,
               ports::severity::info,
               "configuration_applied",
               {{"revision", std::to_string(newer.revision)},
                {"before", std::to_string(current_.revision)},
                {"source", source},
                {"contracts", std::to_string(newer.contracts.size())},
                {"data_centres_out",
                 std::to_string(newer.data_centres_out_of_service.size())}});
    current_ = std::move(newer);
    if (fetch_ && fetch_->index.revision <= current_.revision)
    {
        // The revision arrived from elsewhere while its documents were being
        // fetched. The fetched index still proves that it was the newest in the
        // store.
        if (fetch_->index.revision == current_.revision)
        {
            confirmed_at_ = std::max(confirmed_at_, fetch_->index_sent_at);
        }
        fetch_.reset();
    }
}

void configuration_follower::on_offer(common::time_point now,
                                      ports::peer_receive const& message,
                                      ports::config_offer const& offer,
                                      ports::actions& out)
{
    if (offer.revision <= current_.revision)
    {
        return;
    }
    common::failure reason;
    auto offered = parse_configuration(offer.document, reason);
    if (offered && offered->revision != offer.revision)
    {
        reason = {
            common::result_code::inconsistent,
            "configuration.revision",
            "the revision of the document differs from that of the offer"};
        offered.reset();
    }
    if (!offered)
    {
        log_refusal(now, "offer of " + message.from.name, reason, out);
        return;
    }
    apply(std::move(*offered), "peer", out);
}

void configuration_follower::log_refusal(common::time_point now,
                                         std::string const& subject,
                                         common::failure const& reason,
                                         ports::actions& out)
{
    std::string text = subject + " " + common::to_string(reason);
    if (text == last_refusal_ && now - last_refusal_at_ < refusal_log_interval)
    {
        return;
    }
    last_refusal_ = std::move(text);
    last_refusal_at_ = now;
    append_log(out,
               ports::severity::error,
               "configuration_refused",
               {{"what", subject},
                {"code", std::string(common::name_of(reason.code))},
                {"where", reason.where},
                {"why", reason.why},
                {"kept_revision", std::to_string(current_.revision)}});
}

} // namespace fuchsia::core::config
