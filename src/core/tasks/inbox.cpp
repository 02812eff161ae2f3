#include "core/tasks/inbox.hpp"

#include "core/common/json.hpp"

#include <string_view>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

constexpr std::string_view prefix = "inbox/";
constexpr std::string_view jobs_prefix = "inbox/jobs/";
constexpr std::string_view stop_prefix = "inbox/stop/";

common::result_code code_from(std::int64_t number)
{
    for (auto const& row : common::result_code_table)
    {
        if (static_cast<std::int64_t>(row.code) == number)
        {
            return row.code;
        }
    }
    return common::result_code::job_cancelled;
}

std::optional<stop_notice> read_notice(ports::store_entry const& entry)
{
    common::failure reason;
    auto const object = common::parse_json_object(entry.value, "stop", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "stop");
    stop_notice out;
    out.key = entry.key;
    out.version = entry.version;
    out.job = entry.key.substr(stop_prefix.size());
    out.code = code_from(reader.integer("code", 0, 65535));
    out.why = reader.text_or("why", "");
    return reader.ok() ? std::optional(out) : std::nullopt;
}

} // namespace

std::string inbox_key(std::string const& cell, std::string const& message_name)
{
    return std::string(jobs_prefix) + cell + "/" + message_name;
}

std::string stop_key(std::string const& job)
{
    return std::string(stop_prefix) + job;
}

std::string to_json(stop_notice const& value)
{
    return boost::json::serialize(boost::json::object{
        {"code", static_cast<std::uint16_t>(value.code)}, {"why", value.why}});
}

void parse_inbox_entries(
    std::vector<ports::store_entry> const& entries,
    std::map<std::string, std::vector<stored_inbox_message>>& items,
    std::vector<stop_notice>& notices)
{
    for (auto const& entry : entries)
    {
        if (entry.key.starts_with(stop_prefix))
        {
            if (auto notice = read_notice(entry))
            {
                notices.push_back(std::move(*notice));
            }
            continue;
        }
        if (!entry.key.starts_with(jobs_prefix))
        {
            continue;
        }
        auto const rest = entry.key.substr(jobs_prefix.size());
        auto const slash = rest.find('/');
        common::failure reason;
        auto message = parse_inbox_message(entry.value, reason);
        if (slash != std::string::npos && message)
        {
            items[rest.substr(0, slash)].push_back(
                {entry.key, entry.version, std::move(*message)});
        }
    }
}

inbox::inbox(inbox_settings settings) : settings_(settings)
{
}

void inbox::tick(common::time_point now,
                 store_calls& calls,
                 ports::actions& out)
{
    if (call_ != 0 || now < next_call_at_)
    {
        return;
    }
    ports::store_operation const list = ports::store_list{std::string(prefix)};
    ports::store_operation const watch =
        ports::store_watch{std::string(prefix), index_, settings_.watch_wait};
    next_call_at_ = now + settings_.min_watch_interval;
    call_ = calls.send(call_owner::inbox, "", loaded_ ? watch : list, out);
}

bool inbox::on_store_reply(common::time_point now,
                           call_tag const& tag,
                           ports::store_reply const& reply)
{
    if (tag.number != call_)
    {
        return false;
    }
    call_ = 0;
    if (reply.status != ports::store_status::done)
    {
        next_call_at_ = now + settings_.retry_interval;
        return false;
    }
    // An index that went back shows that the store was replaced: start again
    // at 0.
    index_ = reply.index >= index_ ? reply.index : 0;
    loaded_ = true;
    items_.clear();
    notices_.clear();
    size_ = reply.entries.size();
    parse_inbox_entries(reply.entries, items_, notices_);
    std::map<std::string, common::time_point> first_seen;
    for (auto const& notice : notices_)
    {
        auto const previous = notice_first_seen_.find(notice.key);
        first_seen[notice.key] =
            previous == notice_first_seen_.end() ? now : previous->second;
    }
    notice_first_seen_ = std::move(first_seen);
    return true;
}

std::vector<stored_inbox_message> inbox::items_of(std::string const& cell) const
{
    auto const found = items_.find(cell);
    return found == items_.end() ? std::vector<stored_inbox_message>{}
                                 : found->second;
}

std::vector<stop_notice> const& inbox::notices() const noexcept
{
    return notices_;
}

std::size_t inbox::size() const noexcept
{
    return size_;
}

bool inbox::list_received() const noexcept
{
    return loaded_;
}

std::optional<stop_notice> inbox::expired_notice(common::time_point now) const
{
    for (auto const& notice : notices_)
    {
        if (now - notice_first_seen_.at(notice.key) >=
            settings_.notice_retention)
        {
            return notice;
        }
    }
    return std::nullopt;
}

} // namespace fuchsia::core::tasks
