#include "core/requests/entry_engine.hpp"

#include <algorithm>
#include <iterator>

// What other members and the configuration mean for this entry.
namespace fuchsia::core::requests
{

void entry_engine::sync_members(common::time_point now, ports::actions& out)
{
    bool lost = false;
    for (auto const& info : members_.live())
    {
        known_members_[info.id].reset();
        last_received_.emplace(info.id, now);
    }
    for (auto at = known_members_.begin(); at != known_members_.end();)
    {
        auto& [id, gone_since] = *at;
        if (!gone_since && !is_live(id))
        {
            gone_since = now;
            lost = true;
            for (auto& [customer, ledger] : ledgers_)
            {
                ledger.on_member_fenced(now, id);
            }
        }
        bool const over =
            gone_since && now - *gone_since > settings_.upstreams.max_execution;
        at = over ? known_members_.erase(at) : std::next(at);
    }
    if (lost)
    {
        auto const live = [this](ports::member_identity const& id)
        {
            return is_live(id);
        };
        std::erase_if(last_received_,
                      [&live](auto const& heard)
                      {
                          return !live(heard.first);
                      });
        replays_.keep_only(live);
        peer_loads_.keep_only(live);
        on_peer_lost(now, out);
    }
}

void entry_engine::sync_configuration(common::time_point now,
                                      ports::actions& out)
{
    auto const& current = follower_.current();
    configuration_current_as_of_ =
        std::max(configuration_current_as_of_, follower_.confirmed_at());
    // While the store is silent the witnesses' promises tell their revisions.
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

// A member whose proof stands but whose configuration is known to be old could
// give work to an upstream that operators took out of service.
bool entry_engine::may_send(common::time_point now) const noexcept
{
    bool const behind =
        behind_since_ &&
        now - *behind_since_ > settings_.newer_configuration_grace;
    bool const seen =
        now - configuration_current_as_of_ <= settings_.max_configuration_age;
    return !retired_ && !behind && seen && members_.may_act(now);
}

} // namespace fuchsia::core::requests
