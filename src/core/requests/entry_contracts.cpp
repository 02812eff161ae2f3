#include "core/requests/entry_engine.hpp"

// Slices of contracts: asking for them, and cutting them for customers whose
// partition is ours.
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

// Why a request that its customer's slice does not admit need not wait for a
// larger one; empty where it may.
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
    bool const in_vain =
        customer.slice.is_limited(now) ||
        customer.awaiting_slice.size() >= settings_.max_awaiting_slice;
    return in_vain ? std::optional(result_code::over_contract_in_flight)
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
    auto& added =
        ledgers_.emplace(name, contracts::slice_ledger(settings_.slices))
            .first->second;
    auto const& taken = takeovers_[common::partition_of(name)];
    if (taken && now - taken->started_at < settings_.upstreams.max_execution)
    {
        added.take_over(now, taken->possible_holders);
    }
    return added;
}

void entry_engine::request_slices(common::time_point now, ports::actions& out)
{
    if (!may_send(now))
    {
        return;
    }
    for (auto at = customers_.begin(); at != customers_.end();)
    {
        auto const next = std::next(at);
        bool const gone = contract_of(at->first) == nullptr;
        if (gone && at->second.slice.in_flight() == 0 &&
            at->second.awaiting_slice.empty())
        {
            customers_.erase(at);
        }
        else if (!gone)
        {
            request_slice(now, at->first, out);
            if (!at->second.awaiting_slice.empty())
            {
                customers_to_resume_.insert(at->first);
            }
        }
        at = next;
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

// A new owner knows nothing of its predecessor's grants. It counts everybody
// with the most one may hold until they report, and so they do at once, those
// that hold nothing too.
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
                          ports::member_identity const& to,
                          ports::slice_request const& request)
{
    auto const* limits = contract_of(request.customer);
    bool const ours = owns(now, common::partition_of(request.customer));
    if (limits == nullptr || !ours || !is_live(to))
    {
        return std::nullopt;
    }
    return ledger_of(now, request.customer)
        .grant(now,
               to,
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
        auto const at = requests_.find(id);
        if (at == requests_.end() ||
            at->second.stage != request_stage::awaiting_slice)
        {
            customer.awaiting_slice.pop_front();
            continue;
        }
        auto& one = at->second;
        auto const* limits = contract_of(name);
        if (limits == nullptr)
        {
            customer.awaiting_slice.pop_front();
            refuse(now, one, result_code::contract_withdrawn, out);
            continue;
        }
        auto const verdict =
            customer.slice.admit(now, one.request.kind, *limits);
        if (verdict == contracts::slice_verdict::admitted)
        {
            customer.awaiting_slice.pop_front();
            one.counted_in_slice = true;
            one.stage = request_stage::arrived;
            set_timer(one, std::nullopt);
            route(now, one, out);
            continue;
        }
        auto const code = slice_refusal(now, customer, verdict);
        if (!code)
        {
            return;
        }
        customer.awaiting_slice.pop_front();
        refuse(now, one, *code, out);
    }
}

} // namespace fuchsia::core::requests
