#include "programs/planner/administration_lists.hpp"

#include "adapters/http/message.hpp"
#include "core/claims/claim_record.hpp"

#include <map>
#include <string_view>
#include <utility>

namespace fuchsia::programs::planner
{

namespace
{

/// Splits `<prefix><role>/<name>` into role and name. Empty if `key` has
/// another form.
std::optional<std::pair<std::string, std::string>>
role_and_name(std::string_view key, std::string_view prefix)
{
    if (!key.starts_with(prefix))
    {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    auto const slash = key.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    return std::pair(std::string(key.substr(0, slash)),
                     std::string(key.substr(slash + 1)));
}

} // namespace

cached_list::cached_list(std::string prefix) : prefix_(std::move(prefix))
{
}

void cached_list::refresh(core::common::time_point now,
                          std::uint64_t& next_call,
                          ports::actions& out)
{
    if (call_in_flight_ || is_fresh(now))
    {
        return;
    }
    failed_ = false;
    sent_at_ = now;
    call_in_flight_ = next_call++;
    out.emplace_back(ports::store_call{
        {ports::store_requester::administration, *call_in_flight_},
        ports::store_list{prefix_}});
}

bool cached_list::on_store_reply(ports::store_reply const& reply)
{
    if (!call_in_flight_ || reply.id.number != *call_in_flight_)
    {
        return false;
    }
    call_in_flight_.reset();
    failed_ = reply.status != ports::store_status::done;
    loaded_ = !failed_;
    entries_ = reply.entries;
    return true;
}

bool cached_list::is_fresh(core::common::time_point now) const noexcept
{
    return loaded_ && now - sent_at_ < max_age;
}

bool cached_list::in_flight() const noexcept
{
    return call_in_flight_.has_value();
}

bool cached_list::failed() const noexcept
{
    return failed_;
}

std::vector<ports::store_entry> const& cached_list::entries() const noexcept
{
    return entries_;
}

std::vector<core::membership::record>
read_members(std::vector<ports::store_entry> const& entries)
{
    std::vector<core::membership::record> members;
    for (auto const& entry : entries)
    {
        auto const key = role_and_name(entry.key, "members/");
        if (!key)
        {
            continue;
        }
        core::common::failure reason;
        auto record = core::membership::parse_record(
            key->first, key->second, entry.value, reason);
        if (record)
        {
            members.push_back(std::move(*record));
        }
    }
    return members;
}

boost::json::array
not_reported(std::vector<core::membership::record> const& members,
             std::uint64_t revision)
{
    boost::json::array waiting;
    for (auto const& member : members)
    {
        if (!member.fenced && member.info.config_revision < revision)
        {
            waiting.push_back(describe_member(member));
        }
    }
    return waiting;
}

boost::json::object describe_member(core::membership::record const& member)
{
    return {
        {"role", member.info.role},
        {"name", member.info.id.name},
        {"data_centre", member.info.data_centre},
        {"http", adapters::http::to_string(member.info.http_address)},
        {"revision", member.info.config_revision},
        {"beat", member.heartbeat_count},
        {"leaving", member.info.leaving},
        {"buried", member.fenced},
    };
}

boost::json::object count_claims(std::vector<ports::store_entry> const& entries)
{
    std::map<std::string, std::map<std::string, std::uint64_t>> counts;
    for (auto const& entry : entries)
    {
        auto const key = role_and_name(entry.key, "partitions/");
        core::common::failure reason;
        auto const claim =
            core::claims::parse_claim_record(entry.value, reason);
        if (key && claim)
        {
            auto const& owner = claim->owner.name;
            ++counts[key->first][owner.empty() ? "-" : owner];
        }
    }
    boost::json::object result;
    for (auto const& [role, owners] : counts)
    {
        boost::json::object by_owner;
        for (auto const& [owner, count] : owners)
        {
            by_owner[owner] = count;
        }
        result[role] = std::move(by_owner);
    }
    return result;
}

} // namespace fuchsia::programs::planner
