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
                                     platform_records const& words,
                                     outbox& out,
                                     revision_times& times)
    : settings_(settings), platform_records_(words), out_(out), times_(times)
{
}

void operator_follower::start(common::time_point now)
{
    read(now, "");
}

void operator_follower::tick(common::time_point now)
{
    if (waiting_to_read_ && now >= read_at_)
    {
        waiting_to_read_ = false;
        read(now, "");
    }
}

operator_state const& operator_follower::state() const noexcept
{
    return state_;
}

bool operator_follower::loaded() const noexcept
{
    return known_;
}

std::uint64_t operator_follower::changes() const noexcept
{
    return changes_;
}

void operator_follower::read(common::time_point now, std::string const& after)
{
    if (after.empty())
    {
        out_in_pages_.clear();
    }
    out_.store(life_,
               ports::kv_range{platform_records_.operators_prefix, after},
               settings_.call_timeout,
               [this, after, now](common::time_point at, kv_reply const& reply)
               {
                   times_.note(now, reply.revision);
                   on_page(at, now, after, reply);
               });
}

void operator_follower::on_page(common::time_point now,
                                common::time_point asked,
                                std::string const& after,
                                kv_reply const& reply)
{
    if (reply.status != kv_status::done)
    {
        note_failure(now, asked, "page", reply.status);
        read_again(now);
        return;
    }
    failures_ = 0;
    if (after.empty())
    {
        watched_ = std::max(watched_, reply.revision);
        pages_asked_ = asked;
    }
    for (auto const& item : reply.items)
    {
        take(item);
    }
    if (reply.more && !reply.items.empty())
    {
        read(now, reply.items.back().key);
        return;
    }
    // What was taken back while no watch heard it.
    if (state_.data_centres_out != out_in_pages_)
    {
        state_.data_centres_out = out_in_pages_;
        ++changes_;
    }
    state_.current_as_of = pages_asked_;
    known_ = known_ || state_.config.version > 0;
    if (known_)
    {
        // Pages over a thin link are old when the last of them arrives.
        bool const old = now - pages_asked_ > settings_.watch_wait_after_change;
        watch(now,
              old ? settings_.watch_wait_after_change : settings_.watch_wait);
    }
    else
    {
        read_again(now);
    }
}

void operator_follower::watch(common::time_point now, common::duration wait)
{
    out_.store(
        life_,
        ports::kv_watch{platform_records_.operators_prefix, watched_, wait},
        wait + settings_.call_timeout,
        [this, asked = now, wait](common::time_point at, kv_reply const& reply)
        {
            on_watch(at, asked, wait, reply);
        });
}

// What a later item of the same answer replaces need not be read: a document of
// a thousand queues takes a small instance most of a second.
bool operator_follower::is_replaced(std::vector<ports::kv_item> const& items,
                                    std::size_t number)
{
    return std::any_of(items.begin() + static_cast<std::ptrdiff_t>(number + 1),
                       items.end(),
                       [&key = items[number].key](ports::kv_item const& later)
                       {
                           return later.key == key;
                       });
}

// An answer without events moves the place from which watches go on, but only
// after a while: a watch that was deaf may have missed a change. Left where it
// is, the place would fall out of the store's history, and all that operators
// set would be read again whenever they are quiet for that long.
void operator_follower::move_on(common::time_point now, std::uint64_t revision)
{
    quiet_.push_back({now, revision});
    while (now - quiet_.front().at >= settings_.watch_overlap)
    {
        watched_ = std::max(watched_, quiet_.front().revision);
        quiet_.pop_front();
    }
}

void operator_follower::on_watch(common::time_point now,
                                 common::time_point asked,
                                 common::duration wait,
                                 kv_reply const& reply)
{
    if (reply.status != kv_status::done)
    {
        note_failure(now, asked, "watch", reply.status);
        read_again(now);
        return;
    }
    failures_ = 0;
    times_.note(asked, reply.revision);
    if (reply.items.empty())
    {
        // It was given when the wait was over.
        state_.current_as_of = std::min(now, asked + wait);
        move_on(now, reply.revision);
        watch(now, settings_.watch_wait);
        return;
    }
    state_.current_as_of = std::max(state_.current_as_of, asked);
    for (std::size_t number = 0; number < reply.items.size(); ++number)
    {
        auto const& item = reply.items[number];
        watched_ = std::max(watched_, item.revision);
        if (is_replaced(reply.items, number))
        {
            continue;
        }
        out_in_pages_ = state_.data_centres_out;
        take(item);
        state_.data_centres_out = out_in_pages_;
    }
    ++changes_;
    watch(now, settings_.watch_wait_after_change);
}

void operator_follower::take(ports::kv_item const& item)
{
    // To parse a document of thousands of queues takes a small instance long.
    if (item.key == config_key_ && item.revision == config_revision_)
    {
        return;
    }
    common::failure reason;
    auto change = platform_records_.read_operator(item, reason);
    if (!change)
    {
        out_.log(severity::error,
                 "operator_entry_ignored",
                 {{"key", item.key}, {"why", common::to_string(reason)}});
        return;
    }
    if (auto* const config = std::get_if<configuration>(&*change))
    {
        config_key_ = item.key;
        config_revision_ = item.revision;
        take_config(std::move(*config));
    }
    else if (auto const* const moved =
                 std::get_if<data_centre_change>(&*change))
    {
        bool const changed = moved->out
                                 ? out_in_pages_.insert(moved->name).second
                                 : out_in_pages_.erase(moved->name) > 0;
        bool const before = state_.data_centres_out.contains(moved->name);
        if (changed && before != moved->out)
        {
            out_.log(severity::info,
                     "data_centre_changed",
                     {{"data_centre", moved->name},
                      {"out", moved->out ? "true" : "false"},
                      {"revision", std::to_string(item.revision)}});
        }
    }
}

void operator_follower::take_config(configuration config)
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
    ++changes_;
}

// The first failure in a row and then ever fewer of them.
void operator_follower::note_failure(common::time_point now,
                                     common::time_point asked,
                                     char const* call,
                                     kv_status status)
{
    if (!std::has_single_bit(++failures_))
    {
        return;
    }
    auto const age = now - state_.current_as_of;
    out_.log(
        severity::warning,
        "configuration_not_heard",
        {{"call", call},
         {"status", std::to_string(static_cast<unsigned>(status))},
         {"took_ms", std::to_string(common::to_milliseconds(now - asked))},
         {"in_a_row", std::to_string(failures_)},
         {"version", std::to_string(state_.config.version)},
         {"age_ms",
          known_ ? std::to_string(common::to_milliseconds(age)) : "unknown"}});
}

void operator_follower::read_again(common::time_point now)
{
    waiting_to_read_ = true;
    read_at_ = now + settings_.retry;
}

} // namespace fuchsia::core::pool
