#include "core/requests/entry_engine.hpp"

#include <algorithm>
#include <iterator>

// Changes of the members and of the configuration.
namespace fuchsia::core::requests
{

void entry_engine::sync_members(common::time_point now, ports::actions& out)
{
    bool member_lost = false;
    for (auto const& info : members_.live())
    {
        known_members_[info.id].reset();
        last_received_.emplace(info.id, now);
    }
    for (auto it = known_members_.begin(); it != known_members_.end();)
    {
        auto& [id, gone_since] = *it;
        if (!gone_since && !is_live(id))
        {
            gone_since = now;
            member_lost = true;
            for (auto& [customer, ledger] : ledgers_)
            {
                ledger.on_member_fenced(now, id);
            }
        }
        bool const expired =
            gone_since && now - *gone_since > settings_.upstreams.max_execution;
        it = expired ? known_members_.erase(it) : std::next(it);
    }
    if (member_lost)
    {
        auto const is_live_member = [this](ports::member_identity const& id)
        {
            return is_live(id);
        };
        std::erase_if(last_received_,
                      [&is_live_member](auto const& received)
                      {
                          return !is_live_member(received.first);
                      });
        replays_.keep_only(is_live_member);
        peer_loads_.keep_only(is_live_member);
        on_peer_lost(now, out);
    }
}

void entry_engine::sync_configuration(common::time_point now,
                                      ports::actions& out)
{
    auto const& current = follower_.current();
    configuration_current_as_of_ =
        std::max(configuration_current_as_of_, follower_.confirmed_at());
    // While the store does not answer, the promises of the witnesses carry
    // their revisions and so confirm the configuration.
    if (!members_.proved_by_store() && members_.may_act(now))
    {
        configuration_current_as_of_ = now;
    }
    newest_reported_revision_ =
        std::max(newest_reported_revision_, current.revision);
    if (current.revision >= newest_reported_revision_)
    {
        behind_since_.reset();
    }
    if (current.revision == applied_revision_)
    {
        return;
    }
    applied_revision_ = current.revision;
    slots_.set_data_centres_out_of_service(current.data_centres_out_of_service);
    members_.set_config_revision(current.revision);
    log(out,
        ports::severity::info,
        "configuration_applied",
        {{"revision", std::to_string(current.revision)},
         {"contracts", std::to_string(current.contracts.size())},
         {"data_centres_out",
          std::to_string(current.data_centres_out_of_service.size())}});
}

bool entry_engine::is_live(ports::member_identity const& id) const noexcept
{
    return members_.find(id) != nullptr;
}

bool entry_engine::is_peer_silent(
    common::time_point now, ports::member_identity const& id) const noexcept
{
    auto const found = last_received_.find(id);
    return found == last_received_.end() ||
           now - found->second > settings_.peer_silence_timeout;
}

// Whether this entry may send requests to upstreams. A proof of membership is
// not enough: with an outdated configuration the entry could send work to an
// upstream that operators took out of service.
bool entry_engine::may_send(common::time_point now) const noexcept
{
    bool const is_behind =
        behind_since_ &&
        now - *behind_since_ > settings_.newer_configuration_grace;
    bool const is_current =
        now - configuration_current_as_of_ <= settings_.max_configuration_age;
    return !retired_ && !is_behind && is_current && members_.may_act(now);
}

} // namespace fuchsia::core::requests
