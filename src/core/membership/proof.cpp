#include "core/membership/proof.hpp"

#include <algorithm>
#include <functional>

namespace fuchsia::core::membership
{

namespace
{

/// Maximum number of rounds whose replies still count. Older rounds could only
/// give proofs that have expired.
constexpr std::size_t max_rounds = 8;
/// Maximum number of witnesses whose promises are kept: two lists of 32.
constexpr std::size_t max_promises = 64;

} // namespace

proof::proof(safety_rules rules) : rules_(rules)
{
}

void proof::on_heartbeat_accepted(common::time_point now,
                                  common::time_point sent_at)
{
    if (sent_at < min_sent_at_)
    {
        return;
    }
    common::time_point const valid_from =
        rules_.count_proof_from_send ? sent_at : now;
    store_proof_ =
        store_proof_ ? std::max(*store_proof_, valid_from) : valid_from;
}

std::uint64_t proof::begin_round(common::time_point now)
{
    if (rounds_.size() == max_rounds)
    {
        rounds_.pop_front();
    }
    rounds_.push_back({++last_round_, now});
    return last_round_;
}

// A promise for an earlier round stays valid, because the witness gave it after
// that round was sent. So promises of different rounds count together: the
// proof is the latest time since which a majority of each list has promised.
void proof::on_promise(common::time_point now,
                       ports::member_identity const& witness,
                       std::uint64_t round,
                       std::vector<witness_list> const& lists)
{
    auto const sent_round = std::find_if(rounds_.begin(),
                                         rounds_.end(),
                                         [round](promise_round const& candidate)
                                         {
                                             return candidate.number == round;
                                         });
    if (sent_round == rounds_.end() || lists.empty())
    {
        return;
    }
    if (promises_.size() == max_promises && promises_.count(witness) == 0)
    {
        promises_.clear(); // Witnesses changed often; the next round refills.
    }
    common::time_point const valid_from =
        rules_.count_proof_from_send ? sent_round->sent_at : now;
    auto const [it, added] = promises_.try_emplace(witness, valid_from);
    it->second = std::max(it->second, valid_from);

    std::optional<common::time_point> since;
    for (auto const& list : lists)
    {
        auto const list_since = majority_since(list);
        if (!list_since)
        {
            return;
        }
        since = since ? std::min(*since, *list_since) : *list_since;
        if (!rules_.require_both_witness_lists)
        {
            break;
        }
    }
    if (since)
    {
        witness_proof_ =
            witness_proof_ ? std::max(*witness_proof_, *since) : *since;
    }
}

std::optional<common::time_point>
proof::majority_since(witness_list const& list) const
{
    std::vector<common::time_point> times;
    for (auto const& witness : list)
    {
        auto const it = promises_.find(witness);
        if (it != promises_.end())
        {
            times.push_back(it->second);
        }
    }
    std::size_t const majority = list.size() / 2 + 1;
    if (times.size() < majority)
    {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majority - 1];
}

void proof::invalidate_all(common::time_point now) noexcept
{
    min_sent_at_ = now;
    store_proof_.reset();
    witness_proof_.reset();
    rounds_.clear();
    promises_.clear();
}

std::optional<common::time_point> proof::newest() const noexcept
{
    if (store_proof_ && witness_proof_)
    {
        return std::max(*store_proof_, *witness_proof_);
    }
    return store_proof_ ? store_proof_ : witness_proof_;
}

bool proof::newest_is_from_store() const noexcept
{
    return store_proof_ &&
           (!witness_proof_ || *store_proof_ >= *witness_proof_);
}

} // namespace fuchsia::core::membership
