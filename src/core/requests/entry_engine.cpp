#include "core/requests/entry_engine.hpp"

#include <algorithm>

namespace fuchsia::core::requests
{

namespace
{

/// Where the numbers of requests, exchanges and forwarded requests begin: the
/// exchanges of two incarnations in one process must not share a number. The
/// top bits stay free, the slot table counts from there.
std::uint64_t first_id(ports::member_identity const& self) noexcept
{
    constexpr std::uint64_t mask = (std::uint64_t{1} << 30U) - 1;
    return ((self.incarnation & mask) << 32U) + 1;
}

entry_settings consistent(entry_settings settings)
{
    settings.slices.max_execution = settings.upstreams.max_execution;
    return settings;
}

} // namespace

entry_engine::entry_engine(entry_settings const& settings,
                           membership::member_info const& self,
                           std::uint64_t seed)
    : settings_(consistent(settings)), random_(seed),
      members_(settings_.membership, self, seed ^ 1U),
      claims_("entry", partition_names()), follower_(settings_.configuration),
      slots_(settings_.upstreams, seed ^ 2U), keys_(settings_.keys),
      queue_(settings_.max_queued), retries_(settings_.retries),
      loads_(settings_.load_lifetime), imports_(settings_.keys.max_keys),
      next_id_(first_id(self.id))
{
}

void entry_engine::start(common::time_point now, ports::actions& out)
{
    woke_ = now;
    last_event_ = now;
    members_.start(now, out);
    claims_.start(now, out);
    follower_.start(now, out);
}

void entry_engine::tick(common::time_point now, ports::actions& out)
{
    notice_pause(now, out);
    if (!retired_)
    {
        members_.tick(now, out);
        claims_.tick(now, members_, out);
        follower_.tick(now, out);
        after_platform(now, out);
    }
    slots_.tick(now);
    keys_.tick(now);
    fire_timers(now, out);
    if (!may_send(now))
    {
        fail_waiting(now, out);
    }
    if (!retired_)
    {
        ask_for_slices(now, out);
        send_loads(now, out);
        drive_handovers(now, out);
    }
    after_event(now, out);
    drive_life(now, out);
}

void entry_engine::on_store_reply(common::time_point now,
                                  ports::store_reply const& reply,
                                  ports::actions& out)
{
    notice_pause(now, out);
    if (retired_)
    {
        return;
    }
    switch (reply.id.user)
    {
    case ports::store_user::membership:
        members_.on_store_reply(now, reply, out);
        break;
    case ports::store_user::claims:
        claims_.on_store_reply(now, reply, members_, out);
        break;
    case ports::store_user::configuration:
        follower_.on_store_reply(now, reply, out);
        break;
    default:
        break;
    }
    after_platform(now, out);
    after_event(now, out);
}

void entry_engine::on_instances(common::time_point now,
                                ports::instance_list const& list,
                                ports::actions& out)
{
    notice_pause(now, out);
    slots_.on_instances(now, list);
    if (!retired_)
    {
        members_.on_instances(now, list, out);
        after_platform(now, out);
    }
    after_event(now, out);
}

void entry_engine::begin_stop(common::time_point now, ports::actions& out)
{
    notice_pause(now, out);
    if (!life_.on(entry_event::stop_asked))
    {
        return;
    }
    stop_announced_ = now;
    log(out,
        ports::severity::info,
        "stop_begun",
        {{"phase", std::string(name_of(life_.phase()))}});
    drive_life(now, out);
}

void entry_engine::retire(common::time_point now, ports::actions& out)
{
    retired_ = true;
    fail_waiting(now, out);
    std::vector<std::uint64_t> elsewhere;
    for (auto const& [id, one] : requests_)
    {
        if (one.stage == request_stage::joined ||
            one.stage == request_stage::at_peer)
        {
            elsewhere.push_back(id);
        }
    }
    for (std::uint64_t const id : elsewhere)
    {
        if (requests_.contains(id))
        {
            conclude_linger(now, id, result_code::owner_lost, out);
        }
    }
}

std::optional<common::time_point> entry_engine::next_timer() const noexcept
{
    if (timers_.empty())
    {
        return std::nullopt;
    }
    return timers_.begin()->first;
}

bool entry_engine::ready(common::time_point now) const noexcept
{
    return life_.phase() == entry_phase::serving && may_send(now);
}

entry_status entry_engine::status(common::time_point now) const
{
    entry_status shown;
    shown.phase = life_.phase();
    shown.may_act = members_.may_act(now);
    shown.proof_age = members_.proof_age(now);
    shown.revision = follower_.current().revision;
    shown.members = members_.live().size();
    shown.owned_partitions = claims_.owned(members_).size();
    shown.free_slots = slots_.free_slots();
    shown.usable_slots = slots_.usable_slots();
    shown.queued = queue_.size();
    shown.open = requests_.size();
    shown.keys = keys_.size();
    shown.key_bytes = keys_.bytes();
    return shown;
}

entry_counts const& entry_engine::counts() const noexcept
{
    return counts_;
}

membership::member const& entry_engine::members() const noexcept
{
    return members_;
}

claims::claim_table const& entry_engine::claims() const noexcept
{
    return claims_;
}

config::configuration const& entry_engine::configuration() const noexcept
{
    return follower_.current();
}

std::uint32_t
entry_engine::in_flight(std::string const& customer) const noexcept
{
    auto const found = customers_.find(customer);
    return found == customers_.end() ? 0 : found->second.slice.in_flight();
}

upstreams::slot_table const& entry_engine::slots() const noexcept
{
    return slots_;
}

// A first sending may have waited in a socket buffer through the pause, while
// a later one ran elsewhere. What is read soon after a pause is therefore not
// vouched for (see `key_memory`).
void entry_engine::notice_pause(common::time_point now, ports::actions& out)
{
    if (last_event_ && now - *last_event_ > settings_.membership.pause_limit)
    {
        woke_ = now;
        log(out,
            ports::severity::warning,
            "paused",
            {{"ms",
              std::to_string(common::to_milliseconds(now - *last_event_))}});
    }
    last_event_ = now;
}

void entry_engine::after_event(common::time_point now, ports::actions& out)
{
    pump(now, out);
    while (!unpark_wanted_.empty())
    {
        std::string const name = *unpark_wanted_.begin();
        unpark_wanted_.erase(unpark_wanted_.begin());
        unpark(now, name, out);
    }
    pump(now, out);
}

void entry_engine::after_platform(common::time_point now, ports::actions& out)
{
    sync_configuration(now, out);
    sync_members(now, out);
    sync_claims(now, out);
}

void entry_engine::sync_members(common::time_point now, ports::actions& out)
{
    bool lost = false;
    for (auto const& info : members_.live())
    {
        known_members_[info.id].reset();
        heard_.emplace(info.id, now);
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
                ledger.gone(now, id);
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
        std::erase_if(heard_,
                      [&live](auto const& heard)
                      {
                          return !live(heard.first);
                      });
        replays_.keep_only(live);
        loads_.keep_only(live);
        on_peer_lost(now, out);
    }
}

void entry_engine::sync_claims(common::time_point now, ports::actions& out)
{
    auto const changes = claims_.take_changes();
    for (auto const& change : changes)
    {
        on_claim_change(now, change, out);
    }
    if (changes.empty())
    {
        return;
    }
    for (std::uint32_t const partition : owners_.refresh(now, claims_))
    {
        report_to_new_owner(partition);
        route_seeking(now, partition, out);
    }
}

void entry_engine::sync_configuration(common::time_point now,
                                      ports::actions& out)
{
    auto const& current = follower_.current();
    configuration_seen_ =
        std::max(configuration_seen_, follower_.confirmed_at());
    // While the store is silent the witnesses' promises tell their revisions.
    if (!members_.proved_by_store() && members_.may_act(now))
    {
        configuration_seen_ = now;
    }
    newest_revision_ = std::max(newest_revision_, current.revision);
    if (current.revision >= newest_revision_)
    {
        behind_since_.reset();
    }
    if (current.revision == applied_revision_)
    {
        return;
    }
    applied_revision_ = current.revision;
    slots_.set_data_centres_out(current.data_centres_out);
    members_.set_config_revision(current.revision);
    log(out,
        ports::severity::info,
        "configuration_applied",
        {{"revision", std::to_string(current.revision)},
         {"contracts", std::to_string(current.contracts.size())},
         {"data_centres_out",
          std::to_string(current.data_centres_out.size())}});
}

void entry_engine::on_claim_change(common::time_point now,
                                   claims::claim_change const& change,
                                   ports::actions& out)
{
    std::uint32_t const partition = partition_number(change.now.partition);
    if (partition == common::partition_count)
    {
        return;
    }
    switch (change.kind)
    {
    case claims::claim_change_kind::acquired:
        take_partition(now, partition, change, out);
        break;
    case claims::claim_change_kind::handover_asked:
        start_handover(now, partition, change);
        break;
    case claims::claim_change_kind::lost:
        lose_partition(now, partition, out);
        break;
    case claims::claim_change_kind::owner_changed:
        break;
    }
}

// Only a partition that nobody ever owned, or one whose keys a predecessor
// handed over whole, comes without a past.
void entry_engine::take_partition(common::time_point now,
                                  std::uint32_t partition,
                                  claims::claim_change const& change,
                                  ports::actions& out)
{
    bool const first_owner =
        change.before.name.empty() && change.now.epoch <= 1;
    auto const imported =
        imports_.take(partition, change.now.epoch, change.before);
    handovers_.erase(partition);
    if (first_owner)
    {
        keys_.open(partition, std::nullopt);
    }
    else if (imported && keys_.import_keys(now, partition, imported->keys))
    {
        keys_.open(partition, imported->reaches_from);
    }
    else
    {
        keys_.open(partition, now);
        ++counts_.takeovers;
    }
    slots_.acquire(
        now, partition, first_owner || (imported && imported->slots_idle));
    if (first_owner)
    {
        takeovers_[partition].reset();
    }
    else
    {
        takeover taken{now, {}};
        for (auto const& [id, gone_since] : known_members_)
        {
            taken.others.push_back(id);
        }
        if (!change.before.name.empty())
        {
            taken.others.push_back(change.before);
        }
        takeovers_[partition] = std::move(taken);
    }
    log(out,
        ports::severity::info,
        "partition_acquired",
        {{"partition", change.now.partition},
         {"epoch", std::to_string(change.now.epoch)},
         {"before", change.before.name},
         {"keys", imported ? std::to_string(imported->keys.size()) : "none"}});
}

void entry_engine::lose_partition(common::time_point now,
                                  std::uint32_t partition,
                                  ports::actions& out)
{
    slots_.release(partition);
    handovers_.erase(partition);
    takeovers_[partition].reset();
    std::erase_if(ledgers_,
                  [partition](auto const& one)
                  {
                      return common::partition_of(one.first) == partition;
                  });
    for (std::uint64_t const waiter : keys_.close(partition))
    {
        if (requests_.contains(waiter))
        {
            conclude_linger(now, waiter, result_code::owner_lost, out);
        }
    }
    log(out,
        ports::severity::info,
        "partition_lost",
        {{"partition", partition_name(partition)}});
}

void entry_engine::drive_life(common::time_point now, ports::actions& out)
{
    bool const waited_long = now - stop_announced_ >
                             settings_.balancer_lag + settings_.stop_patience;
    switch (life_.phase())
    {
    case entry_phase::joining:
        if (may_send(now) && claims_.known())
        {
            life_.on(entry_event::joined);
            log(out, ports::severity::info, "serving", {});
        }
        break;
    case entry_phase::announced:
        if (now - stop_announced_ >= settings_.balancer_lag)
        {
            life_.on(entry_event::balancer_passed);
            members_.begin_leaving(now, out);
            claims_.begin_leaving();
        }
        break;
    case entry_phase::finishing:
        if (unanswered_ > 0 || claims_.held(members_) > 0)
        {
            busy_at_ = now;
        }
        if (unanswered_ == 0 &&
            (now - busy_at_ >= settings_.leave_lag || waited_long))
        {
            life_.on(entry_event::finished);
            members_.remove(now, out);
        }
        break;
    case entry_phase::leaving:
        if (members_.gone() || waited_long)
        {
            life_.on(entry_event::removed);
            out.emplace_back(ports::stop_complete{});
        }
        break;
    case entry_phase::serving:
    case entry_phase::stopped:
        break;
    }
}

bool entry_engine::is_live(ports::member_identity const& id) const noexcept
{
    return members_.find(id) != nullptr;
}

bool entry_engine::is_silent(common::time_point now,
                             ports::member_identity const& id) const noexcept
{
    auto const found = heard_.find(id);
    return found == heard_.end() ||
           now - found->second > settings_.silence_limit;
}

// A member whose proof stands but whose configuration is known to be old could
// give work to an upstream that operators took out of service.
bool entry_engine::may_send(common::time_point now) const noexcept
{
    bool const behind =
        behind_since_ && now - *behind_since_ > settings_.config_grace;
    bool const seen = now - configuration_seen_ <= settings_.config_limit;
    return !retired_ && !behind && seen && members_.may_act(now);
}

bool entry_engine::owns(common::time_point now,
                        std::uint32_t partition) const noexcept
{
    return claims_.owns(now, partition_name(partition), members_);
}

void entry_engine::log(ports::actions& out,
                       ports::severity level,
                       std::string event,
                       std::vector<ports::header> fields) const
{
    fields.insert(fields.begin(), {"member", members_.self().id.name});
    out.emplace_back(
        ports::log_event{level, std::move(event), std::move(fields)});
}

} // namespace fuchsia::core::requests
