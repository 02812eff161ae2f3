#include "core/pool/operator_follower.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

operator_follower::operator_follower(operator_follower_settings settings,
                                     platform_records const& records,
                                     outbox& out,
                                     revision_times& times)
    : settings_(settings), platform_records_(records), out_(out), times_(times)
{
}

void operator_follower::start(common::time_point now)
{
    read_page(now, "");
}

void operator_follower::tick(common::time_point now)
{
    if (read_pending_ && now >= next_read_at_)
    {
        read_pending_ = false;
        read_page(now, "");
    }
}

operator_state const& operator_follower::state() const noexcept
{
    return state_;
}

bool operator_follower::loaded() const noexcept
{
    return loaded_;
}

std::uint64_t operator_follower::change_count() const noexcept
{
    return change_count_;
}

void operator_follower::read_page(common::time_point now,
                                  std::string const& after_key)
{
    if (after_key.empty())
    {
        pending_data_centres_out_.clear();
    }
    out_.store(life_,
               ports::kv_range{platform_records_.operators_prefix, after_key},
               settings_.call_timeout,
               [this, after_key, now](common::time_point received_at,
                                      kv_reply const& reply)
               {
                   times_.note(now, reply.revision);
                   on_page(received_at, now, after_key, reply);
               });
}

void operator_follower::on_page(common::time_point now,
                                common::time_point sent_at,
                                std::string const& after_key,
                                kv_reply const& reply)
{
    if (reply.status != kv_status::done)
    {
        note_failure(now, sent_at, "page", reply.status);
        retry_read(now);
        return;
    }
    failed_calls_ = 0;
    if (after_key.empty())
    {
        watched_revision_ = std::max(watched_revision_, reply.revision);
        pages_requested_at_ = sent_at;
    }
    for (auto const& item : reply.items)
    {
        apply_item(item);
    }
    if (reply.more && !reply.items.empty())
    {
        read_page(now, reply.items.back().key);
        return;
    }
    // The pages also show data centres that returned to service while no watch
    // was running.
    if (state_.data_centres_out != pending_data_centres_out_)
    {
        state_.data_centres_out = pending_data_centres_out_;
        ++change_count_;
    }
    state_.current_as_of = pages_requested_at_;
    loaded_ = loaded_ || state_.config.version > 0;
    if (loaded_)
    {
        // Over a slow link the first page is outdated when the last one
        // arrives.
        bool const outdated =
            now - pages_requested_at_ > settings_.watch_wait_after_change;
        watch(now,
              outdated ? settings_.watch_wait_after_change
                       : settings_.watch_wait);
    }
    else
    {
        retry_read(now);
    }
}

void operator_follower::watch(common::time_point now, common::duration wait)
{
    out_.store(life_,
               ports::kv_watch{
                   platform_records_.operators_prefix, watched_revision_, wait},
               wait + settings_.call_timeout,
               [this, sent_at = now, wait](common::time_point received_at,
                                           kv_reply const& reply)
               {
                   on_watch(received_at, sent_at, wait, reply);
               });
}

// An item that a later item of the same answer replaces is not parsed, because
// a small instance needs most of a second to parse a document of a thousand
// queues.
bool operator_follower::is_replaced(std::vector<ports::kv_item> const& items,
                                    std::size_t index)
{
    return std::any_of(items.begin() + static_cast<std::ptrdiff_t>(index + 1),
                       items.end(),
                       [&key = items[index].key](ports::kv_item const& later)
                       {
                           return later.key == key;
                       });
}

// An answer without events advances the revision from which watches continue,
// but only after `watch_overlap`, because a stalled watch may have missed a
// change. If the revision never advanced, it would drop out of the store's
// history, and all records would be read again whenever operators write nothing
// for that long.
void operator_follower::advance_watch(common::time_point now,
                                      std::uint64_t revision)
{
    idle_answers_.push_back({now, revision});
    while (now - idle_answers_.front().received_at >= settings_.watch_overlap)
    {
        watched_revision_ =
            std::max(watched_revision_, idle_answers_.front().revision);
        idle_answers_.pop_front();
    }
}

void operator_follower::on_watch(common::time_point now,
                                 common::time_point sent_at,
                                 common::duration wait,
                                 kv_reply const& reply)
{
    if (reply.status != kv_status::done)
    {
        note_failure(now, sent_at, "watch", reply.status);
        retry_read(now);
        return;
    }
    failed_calls_ = 0;
    times_.note(sent_at, reply.revision);
    if (reply.items.empty())
    {
        // The store gives an answer without events at the end of the wait.
        state_.current_as_of = std::min(now, sent_at + wait);
        advance_watch(now, reply.revision);
        watch(now, settings_.watch_wait);
        return;
    }
    state_.current_as_of = std::max(state_.current_as_of, sent_at);
    for (std::size_t index = 0; index < reply.items.size(); ++index)
    {
        auto const& item = reply.items[index];
        watched_revision_ = std::max(watched_revision_, item.revision);
        if (is_replaced(reply.items, index))
        {
            continue;
        }
        pending_data_centres_out_ = state_.data_centres_out;
        apply_item(item);
        state_.data_centres_out = pending_data_centres_out_;
    }
    ++change_count_;
    watch(now, settings_.watch_wait_after_change);
}

void operator_follower::apply_item(ports::kv_item const& item)
{
    // Parsing a document of thousands of queues takes a small instance long.
    if (item.key == config_key_ && item.revision == config_revision_)
    {
        return;
    }
    common::failure reason;
    auto change = platform_records_.read_operator(item, reason);
    if (!change)
    {
        if (seen_failures_.is_new(item.key, reason))
        {
            out_.log(severity::error,
                     "operator_entry_ignored",
                     {{"key", item.key}, {"why", common::to_string(reason)}});
        }
        return;
    }
    seen_failures_.forget(item.key);
    if (auto* const config = std::get_if<configuration>(&*change))
    {
        config_key_ = item.key;
        config_revision_ = item.revision;
        apply_config(std::move(*config));
    }
    else if (auto const* const data_centre =
                 std::get_if<data_centre_change>(&*change))
    {
        bool const changed =
            data_centre->out
                ? pending_data_centres_out_.insert(data_centre->name).second
                : pending_data_centres_out_.erase(data_centre->name) > 0;
        bool const was_out =
            state_.data_centres_out.contains(data_centre->name);
        if (changed && was_out != data_centre->out)
        {
            out_.log(severity::info,
                     "data_centre_changed",
                     {{"data_centre", data_centre->name},
                      {"out", data_centre->out ? "true" : "false"},
                      {"revision", std::to_string(item.revision)}});
        }
    }
}

void operator_follower::apply_config(configuration config)
{
    if (config.version <= state_.config.version)
    {
        return;
    }
    out_.log(severity::info,
             "configuration_in_force",
             {{"version", std::to_string(config.version)},
              {"before", std::to_string(state_.config.version)},
              {"queues", std::to_string(config.queues.size())}});
    state_.config = std::move(config);
    ++change_count_;
}

// Logs the first, second, fourth, eighth and so on of the failures in a row.
void operator_follower::note_failure(common::time_point now,
                                     common::time_point sent_at,
                                     char const* call,
                                     kv_status status)
{
    if (!std::has_single_bit(++failed_calls_))
    {
        return;
    }
    auto const age = now - state_.current_as_of;
    out_.log(
        severity::warning,
        "configuration_not_heard",
        {{"call", call},
         {"status", std::to_string(static_cast<unsigned>(status))},
         {"took_ms", std::to_string(common::to_milliseconds(now - sent_at))},
         {"in_a_row", std::to_string(failed_calls_)},
         {"version", std::to_string(state_.config.version)},
         {"age_ms",
          loaded_ ? std::to_string(common::to_milliseconds(age)) : "unknown"}});
}

void operator_follower::retry_read(common::time_point now)
{
    read_pending_ = true;
    next_read_at_ = now + settings_.retry_interval;
}

} // namespace fuchsia::core::pool
