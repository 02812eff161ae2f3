#include "core/pool/owner.hpp"

#include <algorithm>
#include <string>

// Fencing tokens of orders. An order that got no answer may be carried out
// seconds later, also by the next incarnation of its worker, which can't tell
// it from a present one: a task that is done would run again. Everything that
// is sent to the worker from then on therefore has a higher token.
namespace fuchsia::core::pool
{

using ports::severity;

// Commits have the claim's key as a precondition, so the last one came before
// any successor's claim.
token_range owner::allowed_tokens() const
{
    auto const epoch = claim_.epoch();
    return {epoch, std::max(epoch, ledger_.last_commit().revision)};
}

std::uint64_t owner::next_token(worker& target)
{
    return target.token.next(allowed_tokens());
}

// Makes the worker refuse orders with `token` once it has received the next
// one.
void owner::supersede_token(worker& target,
                            std::uint64_t token,
                            std::string_view reason)
{
    if (!target.token.supersede(token))
    {
        return;
    }
    ++counters_.tokens_superseded;
    out_.log(severity::info,
             "token_superseded",
             {{"worker", target.info.id},
              {"born", std::to_string(target.incarnation)},
              {"order", std::string(reason)},
              {"fencing_token", std::to_string(token)},
              {"next", std::to_string(next_token(target))}});
}

void owner::note_unanswered(common::time_point now,
                            worker& target,
                            std::uint64_t token,
                            std::string_view order)
{
    target.order_unanswered_at = now;
    supersede_token(target, token, order);
}

// A worker that restarts learns the next token from the next poll.
common::duration owner::idle_interval_of(common::time_point now,
                                         worker const& target) const
{
    bool const may_be_late =
        target.order_unanswered_at != common::time_point{} &&
        now - target.order_unanswered_at <= settings_.late_order_limit;
    return may_be_late ? settings_.restart_watch_interval
                       : settings_.idle_interval;
}

// The worker did nothing. An order that was overtaken by one with a higher
// token of this owner is refused as well, and shows nothing about the claim.
bool owner::on_fenced(common::time_point now,
                      std::string const& worker_id,
                      std::string_view order,
                      std::uint64_t token)
{
    if (!fleet_.has_superseded(worker_id, token))
    {
        claim_.mark_lost(now,
                         "worker " + worker_id + " has seen a later owner");
        return false;
    }
    ++counters_.orders_overtaken;
    out_.log(severity::info,
             "order_overtaken",
             {{"worker", worker_id},
              {"order", std::string(order)},
              {"fencing_token", std::to_string(token)}});
    return true;
}

} // namespace fuchsia::core::pool
