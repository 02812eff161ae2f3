#include "core/requests/entry_engine.hpp"

// Slices of contracts: requests for slices, and grants for the customers whose
// partition this entry owns.
namespace fuchsia::core::requests
{

entry_engine::customer_state& entry_engine::customer_of(std::string const& name)
{
    auto const found = customers_.find(name);
    if (found != customers_.end())
    {
        return found->second;
    }
    return customers_
        .emplace(
            name,
            customer_state{contracts::slice_holder(settings_.slices), {}, {}})
        .first->second;
}

// Returns why a request that the slice does not admit is refused, or nothing if
// it may wait for a larger slice.
std::optional<common::result_code>
entry_engine::slice_refusal(common::time_point now,
                            customer_state const& customer,
                            contracts::slice_verdict verdict) const
{
    if (verdict == contracts::slice_verdict::rate_limit_reached)
    {
        return customer.slice.is_rate_limited(now)
                   ? std::optional(result_code::over_contract_rate)
                   : std::nullopt;
    }
    bool const must_refuse =
        customer.slice.is_limited(now) ||
        customer.awaiting_slice.size() >= settings_.max_awaiting_slice;
    return must_refuse ? std::optional(result_code::over_contract_in_flight)
                       : std::nullopt;
}

contracts::slice_ledger& entry_engine::ledger_of(common::time_point now,
                                                 std::string const& name)
{
    auto const found = ledgers_.find(name);
    if (found != ledgers_.end())
    {
        return found->second;
    }
    auto& ledger =
        ledgers_.emplace(name, contracts::slice_ledger(settings_.slices))
            .first->second;
    auto const& last_takeover = takeovers_[common::partition_of(name)];
    if (last_takeover &&
        now - last_takeover->started_at < settings_.upstreams.max_execution)
    {
        ledger.take_over(now, last_takeover->possible_slice_holders);
    }
    return ledger;
}

void entry_engine::request_slices(common::time_point now, ports::actions& out)
{
    if (!may_send(now))
    {
        return;
    }
    for (auto it = customers_.begin(); it != customers_.end();)
    {
        auto const next = std::next(it);
        bool const withdrawn = contract_of(it->first) == nullptr;
        if (withdrawn && it->second.slice.in_flight() == 0 &&
            it->second.awaiting_slice.empty())
        {
            customers_.erase(it);
        }
        else if (!withdrawn)
        {
            request_slice(now, it->first, out);
            if (!it->second.awaiting_slice.empty())
            {
                customers_to_resume_.insert(it->first);
            }
        }
        it = next;
    }
}

void entry_engine::request_slice(common::time_point now,
                                 std::string const& name,
                                 ports::actions& out)
{
    auto const* limits = contract_of(name);
    auto const& owner = owners_.owner_of(common::partition_of(name)).member;
    if (limits == nullptr || owner.name.empty())
    {
        return;
    }
    auto& customer = customer_of(name);
    auto request = customer.slice.next_request(now, *limits);
    if (!request)
    {
        return;
    }
    request->customer = name;
    customer.last_requested_owner = owner;
    if (owner != members_.self().id)
    {
        send_peer(owner, *request, out);
        return;
    }
    if (auto const grant = grant_slice(now, owner, *request))
    {
        on_slice_grant(now, owner, *grant, out);
    }
}

// Requests slices at once from the new owner of a partition. The new owner does
// not know its predecessor's grants: until a member reports, the owner assumes
// that it holds the maximum slice. Members without a slice therefore report
// too.
void entry_engine::request_slices_from_new_owner(std::uint32_t partition)
{
    for (auto const& [name, limits] : follower_.current().contracts)
    {
        if (common::partition_of(name) == partition)
        {
            customer_of(name).slice.request_at_once();
        }
    }
}

std::optional<ports::slice_grant>
entry_engine::grant_slice(common::time_point now,
                          ports::member_identity const& requester,
                          ports::slice_request const& request)
{
    auto const* limits = contract_of(request.customer);
    bool const is_owner = owns(now, common::partition_of(request.customer));
    if (limits == nullptr || !is_owner || !is_live(requester))
    {
        return std::nullopt;
    }
    return ledger_of(now, request.customer)
        .grant(now,
               requester,
               request,
               *limits,
               static_cast<std::uint32_t>(members_.live().size()),
               follower_.current().revision);
}

void entry_engine::on_slice_grant(common::time_point now,
                                  ports::member_identity const& from,
                                  ports::slice_grant const& grant,
                                  ports::actions& /*out*/)
{
    auto const found = customers_.find(grant.customer);
    if (found == customers_.end() || found->second.last_requested_owner != from)
    {
        return;
    }
    found->second.slice.on_grant(now, grant);
    customers_to_resume_.insert(grant.customer);
}

void entry_engine::resume_awaiting_slice(common::time_point now,
                                         std::string const& name,
                                         ports::actions& out)
{
    auto const found = customers_.find(name);
    if (found == customers_.end())
    {
        return;
    }
    auto& customer = found->second;
    while (!customer.awaiting_slice.empty())
    {
        std::uint64_t const id = customer.awaiting_slice.front();
        auto const it = requests_.find(id);
        if (it == requests_.end() ||
            it->second.stage != request_stage::awaiting_slice)
        {
            customer.awaiting_slice.pop_front();
            continue;
        }
        auto& req = it->second;
        auto const* limits = contract_of(name);
        if (limits == nullptr)
        {
            customer.awaiting_slice.pop_front();
            refuse(now, req, result_code::contract_withdrawn, out);
            continue;
        }
        auto const verdict =
            customer.slice.admit(now, req.request.kind, *limits);
        if (verdict == contracts::slice_verdict::admitted)
        {
            customer.awaiting_slice.pop_front();
            req.counted_in_slice = true;
            req.stage = request_stage::arrived;
            set_timer(req, std::nullopt);
            route(now, req, out);
            continue;
        }
        auto const code = slice_refusal(now, customer, verdict);
        if (!code)
        {
            return;
        }
        customer.awaiting_slice.pop_front();
        refuse(now, req, *code, out);
    }
}

} // namespace fuchsia::core::requests
