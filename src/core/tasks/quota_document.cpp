#include "core/tasks/quota_document.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

namespace json = boost::json;
using ports::resources;

json::array encoded(resources const& value)
{
    return {value.millicores, value.memory_mb, value.accelerators};
}

resources read_resources(json::value const& value)
{
    auto const& array = value.as_array();
    return {array.at(0).to_number<std::int64_t>(),
            array.at(1).to_number<std::int64_t>(),
            array.at(2).to_number<std::int64_t>()};
}

resources batch_share(contracts::contract const& contract)
{
    resources out;
    for (auto const part : resource_parts)
    {
        out.*part = contract.capacity.*part * contract.batch_permille / 1000;
    }
    return out;
}

// Scales `part` down in proportion if `sum`, of which it is a part, exceeds
// `limit`.
std::int64_t share_of(std::int64_t part, std::int64_t sum, std::int64_t limit)
{
    if (sum <= limit)
    {
        return part;
    }
    // Computed in double, since the product of two large amounts may overflow.
    return static_cast<std::int64_t>(static_cast<double>(part) *
                                     static_cast<double>(limit) /
                                     static_cast<double>(sum));
}

// Returns the part of a grant that is for batch; the rest is for services.
std::int64_t batch_part(allowance const& granted, std::int64_t resources::*part)
{
    return std::min(granted.batch.*part, granted.total.*part);
}

// Returns `need`, limited in each part to `granted` plus `available`.
resources adjusted_amount(resources const& granted,
                          resources const& need,
                          resources const& available)
{
    resources out = need;
    for (auto const part : resource_parts)
    {
        auto const limit =
            granted.*part + std::max<std::int64_t>(0, available.*part);
        out.*part = std::min(need.*part, limit);
    }
    return out;
}

allowance sum_of(quota_document const& document)
{
    allowance sum;
    for (auto const& [cell, grant] : document.cells)
    {
        sum.total += grant.granted.total;
        sum.batch += grant.granted.batch;
    }
    return sum;
}

resources minus(resources lhs, resources const& rhs)
{
    lhs -= rhs;
    return lhs;
}

} // namespace

std::string to_json(quota_document const& value)
{
    json::object cells;
    for (auto const& [cell, grant] : value.cells)
    {
        cells.emplace(cell,
                      json::object{{"e", grant.epoch},
                                   {"all", encoded(grant.granted.total)},
                                   {"batch", encoded(grant.granted.batch)}});
    }
    return json::serialize(
        json::object{{"w", value.writer}, {"cells", std::move(cells)}});
}

std::optional<quota_document> parse_quota(std::string_view json,
                                          common::failure& reason)
{
    auto const object = common::parse_json_object(json, "quota", reason);
    if (!object)
    {
        return std::nullopt;
    }
    try
    {
        quota_document out;
        out.writer = object->at("w").as_string();
        for (auto const& item : object->at("cells").as_object())
        {
            auto const& grant = item.value().as_object();
            out.cells[std::string(item.key())] = {
                grant.at("e").to_number<std::uint64_t>(),
                {read_resources(grant.at("all")),
                 read_resources(grant.at("batch"))}};
        }
        return out;
    }
    catch (std::exception const& error)
    {
        reason = {common::result_code::malformed_json, "quota", error.what()};
        return std::nullopt;
    }
}

// Services keep their grants as long as the contract covers all services; batch
// shares the rest. If all grants were scaled alike, a cell that runs services
// only would have to stop one while batch continues in other cells.
allowance scaled_grant(quota_document const& document,
                       std::string const& cell,
                       contracts::contract const& contract)
{
    auto const found = document.cells.find(cell);
    if (found == document.cells.end())
    {
        return {};
    }
    auto const& own = found->second.granted;
    auto const batch_limit = batch_share(contract);
    allowance out;
    for (auto const part : resource_parts)
    {
        std::int64_t services = 0;
        std::int64_t batch = 0;
        for (auto const& [name, grant] : document.cells)
        {
            auto const batch_amount = batch_part(grant.granted, part);
            batch += batch_amount;
            services += grant.granted.total.*part - batch_amount;
        }
        auto const limit = contract.capacity.*part;
        auto const remaining = std::min(
            batch_limit.*part, std::max<std::int64_t>(0, limit - services));
        auto const own_batch = batch_part(own, part);
        out.batch.*part = share_of(own_batch, batch, remaining);
        out.total.*part =
            share_of(own.total.*part - own_batch, services, limit) +
            out.batch.*part;
    }
    return out;
}

cell_grant adjust_grant(quota_document const& document,
                        std::string const& cell,
                        allowance const& need,
                        contracts::contract const& contract)
{
    auto const found = document.cells.find(cell);
    cell_grant const before =
        found == document.cells.end() ? cell_grant{} : found->second;
    auto const sum = sum_of(document);
    cell_grant out = before;
    out.granted.total = adjusted_amount(
        before.granted.total, need.total, minus(contract.capacity, sum.total));
    out.granted.batch =
        adjusted_amount(before.granted.batch,
                        need.batch,
                        minus(batch_share(contract), sum.batch));
    return out;
}

} // namespace fuchsia::core::tasks
