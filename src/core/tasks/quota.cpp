#include "core/tasks/quota.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

namespace json = boost::json;
using ports::resources;

constexpr std::array parts{
    &resources::millicores, &resources::memory_mb, &resources::accelerators};

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
    for (auto const part : parts)
    {
        out.*part = contract.capacity.*part * contract.batch_permille / 1000;
    }
    return out;
}

// `part` of a sum that is held to `limit`, in proportion.
std::int64_t share_of(std::int64_t part, std::int64_t sum, std::int64_t limit)
{
    if (sum <= limit)
    {
        return part;
    }
    // In double: the product of two large amounts may not fit.
    return static_cast<std::int64_t>(static_cast<double>(part) *
                                     static_cast<double>(limit) /
                                     static_cast<double>(sum));
}

// What of a grant is for batch, and what is left for services.
std::int64_t batch_part(allowance const& granted, std::int64_t resources::*part)
{
    return std::min(granted.batch.*part, granted.all.*part);
}

// Moves `granted` to `need`, up by no more than `room` in each part.
resources
moved(resources const& granted, resources const& need, resources const& room)
{
    resources out = need;
    for (auto const part : parts)
    {
        auto const most = granted.*part + std::max<std::int64_t>(0, room.*part);
        out.*part = std::min(need.*part, most);
    }
    return out;
}

resources least(resources const& one, resources const& other)
{
    resources out;
    for (auto const part : parts)
    {
        out.*part = std::min(one.*part, other.*part);
    }
    return out;
}

resources most(resources const& one, resources const& other)
{
    resources out;
    for (auto const part : parts)
    {
        out.*part = std::max(one.*part, other.*part);
    }
    return out;
}

allowance sum_of(quota_document const& document)
{
    allowance sum;
    for (auto const& [cell, grant] : document.cells)
    {
        sum.all += grant.granted.all;
        sum.batch += grant.granted.batch;
    }
    return sum;
}

resources minus(resources left, resources const& right)
{
    left -= right;
    return left;
}

bool holds(allowance const& room, allowance const& wanted)
{
    return room.all.holds(wanted.all) && room.batch.holds(wanted.batch);
}

// Whether the cell could start its next task, were `after` its grant.
bool holds_one_more(quota_document document,
                    std::string const& cell,
                    cell_grant const& after,
                    cell_need const& need,
                    contracts::contract const& contract)
{
    auto wanted = need.in_use;
    wanted.all += need.unit.all;
    wanted.batch += need.unit.batch;
    document.cells[cell] = after;
    return holds(scaled(document, cell, contract), wanted);
}

} // namespace

std::string to_json(quota_document const& value)
{
    json::object cells;
    for (auto const& [cell, grant] : value.cells)
    {
        cells.emplace(cell,
                      json::object{{"e", grant.epoch},
                                   {"all", encoded(grant.granted.all)},
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

// Services keep their grants as long as the contract holds these alone; what
// they leave is shared out to batch. Were all grants scaled alike, a cell with
// services only would stop one while batch goes on in other cells.
allowance scaled(quota_document const& document,
                 std::string const& cell,
                 contracts::contract const& contract)
{
    auto const found = document.cells.find(cell);
    if (found == document.cells.end())
    {
        return {};
    }
    auto const& own = found->second.granted;
    auto const batch_most = batch_share(contract);
    allowance out;
    for (auto const part : parts)
    {
        std::int64_t services = 0;
        std::int64_t batch = 0;
        for (auto const& [name, grant] : document.cells)
        {
            auto const of_batch = batch_part(grant.granted, part);
            batch += of_batch;
            services += grant.granted.all.*part - of_batch;
        }
        auto const limit = contract.capacity.*part;
        auto const left = std::min(batch_most.*part,
                                   std::max<std::int64_t>(0, limit - services));
        auto const own_batch = batch_part(own, part);
        out.batch.*part = share_of(own_batch, batch, left);
        out.all.*part = share_of(own.all.*part - own_batch, services, limit) +
                        out.batch.*part;
    }
    return out;
}

cell_grant grown(quota_document const& document,
                 std::string const& cell,
                 allowance const& need,
                 contracts::contract const& contract)
{
    auto const found = document.cells.find(cell);
    cell_grant const before =
        found == document.cells.end() ? cell_grant{} : found->second;
    auto const sum = sum_of(document);
    cell_grant out = before;
    out.granted.all =
        moved(before.granted.all, need.all, minus(contract.capacity, sum.all));
    out.granted.batch = moved(before.granted.batch,
                              need.batch,
                              minus(batch_share(contract), sum.batch));
    return out;
}

quota_book::quota_book(std::uint64_t incarnation, quota_settings settings)
    : writer_(std::to_string(incarnation) + ":"), settings_(settings)
{
}

void quota_book::set_need(std::string const& customer,
                          std::string const& cell,
                          cell_need const& need)
{
    accounts_[customer].needs[cell] = need;
}

void quota_book::drop_cell(std::string const& cell)
{
    for (auto& [customer, of] : accounts_)
    {
        of.needs.erase(cell);
    }
}

void quota_book::refresh()
{
    for (auto& [customer, of] : accounts_)
    {
        of.read = false;
        of.next_try = {};
    }
}

allowance quota_book::allowed(std::string const& customer,
                              std::string const& cell,
                              contracts::contract const& contract) const
{
    auto const found = accounts_.find(customer);
    if (found == accounts_.end())
    {
        return {};
    }
    auto const& of = found->second;
    auto const need = of.needs.find(cell);
    auto const grant = of.stored.cells.find(cell);
    if (need == of.needs.end() || grant == of.stored.cells.end() ||
        grant->second.epoch != need->second.epoch)
    {
        return {};
    }
    auto out = scaled(of.stored, cell, contract);
    auto const doubt = of.doubtful.find(cell);
    if (doubt != of.doubtful.end())
    {
        out.all = least(out.all, doubt->second.granted.all);
        out.batch = least(out.batch, doubt->second.granted.batch);
    }
    return out;
}

bool quota_book::known(std::string const& customer,
                       std::string const& cell) const
{
    auto const found = accounts_.find(customer);
    if (found == accounts_.end())
    {
        return false;
    }
    auto const& of = found->second;
    auto const need = of.needs.find(cell);
    auto const grant = of.stored.cells.find(cell);
    return need != of.needs.end() && grant != of.stored.cells.end() &&
           grant->second.epoch == need->second.epoch;
}

void quota_book::send_read(std::string const& customer,
                           account& of,
                           store_calls& calls,
                           ports::actions& out)
{
    of.call_writes = false;
    of.call = calls.send(call_owner::quota,
                         customer,
                         ports::store_read{"quota/" + customer},
                         out);
}

// What the document should be; empty where nothing is to be changed.
std::optional<quota_document>
quota_book::wished(common::time_point now,
                   account& of,
                   contracts::contract const& contract) const
{
    auto next = of.stored;
    bool shrinks = false;
    bool urgent = !of.doubtful.empty();
    for (auto const& [cell, need] : of.needs)
    {
        bool const used = need.wanted != allowance{};
        if (!used && next.cells.count(cell) == 0)
        {
            continue;
        }
        auto const before = next.cells[cell];
        auto after = grown(next, cell, need.wanted, contract);
        if (!holds_one_more(next, cell, after, need, contract))
        {
            after.granted.all = least(before.granted.all, need.in_use.all);
            after.granted.batch =
                least(before.granted.batch, need.in_use.batch);
        }
        // Never below what is in use: that is the evictions' business.
        after.granted.all =
            most(after.granted.all, least(need.in_use.all, before.granted.all));
        after.granted.batch =
            most(after.granted.batch,
                 least(need.in_use.batch, before.granted.batch));
        after.epoch = need.epoch;
        bool const less = !holds(after.granted, before.granted);
        bool const more = !holds(before.granted, after.granted);
        shrinks = shrinks || less;
        urgent = urgent || more || after.epoch != before.epoch;
        next.cells[cell] = after;
        if (!used && need.in_use == allowance{} && after.granted == allowance{})
        {
            next.cells.erase(cell);
        }
    }
    if (!shrinks)
    {
        of.idle_since.reset();
    }
    else if (!of.idle_since)
    {
        of.idle_since = now;
    }
    bool const idle =
        of.idle_since && now - *of.idle_since >= settings_.idle_time;
    return urgent || idle ? std::optional(next) : std::nullopt;
}

void quota_book::tick(
    common::time_point now,
    std::map<std::string, contracts::contract, std::less<>> const& contracts,
    store_calls& calls,
    ports::actions& out)
{
    for (auto& [customer, of] : accounts_)
    {
        if (of.call != 0 || now < of.next_try)
        {
            continue;
        }
        if (!of.read)
        {
            send_read(customer, of, calls, out);
            continue;
        }
        auto const found = contracts.find(customer);
        contracts::contract const contract =
            found == contracts.end() ? contracts::contract{} : found->second;
        auto next = wished(now, of, contract);
        if (next && calls.may_write(now))
        {
            send_write(customer, of, std::move(*next), calls, out);
        }
        else if (!next && is_short(of))
        {
            // All of the contract is granted: see whether a cell gave back.
            of.read = false;
            of.next_try = now + settings_.retry_interval;
        }
    }
}

bool quota_book::is_short(account const& of)
{
    for (auto const& [cell, need] : of.needs)
    {
        auto const grant = of.stored.cells.find(cell);
        auto const granted = grant == of.stored.cells.end()
                                 ? allowance{}
                                 : grant->second.granted;
        if (!holds(granted, need.wanted))
        {
            return true;
        }
    }
    return false;
}

void quota_book::send_write(std::string const& customer,
                            account& of,
                            quota_document next,
                            store_calls& calls,
                            ports::actions& out)
{
    next.writer = writer_ + std::to_string(++writes_);
    // Until the answer is known each cell counts on the lesser of what stands
    // and what was asked for.
    for (auto const& [cell, need] : of.needs)
    {
        auto const grant = next.cells.find(cell);
        auto const value =
            grant == next.cells.end() ? cell_grant{} : grant->second;
        auto& doubt = of.doubtful.try_emplace(cell, value).first->second;
        doubt.granted.all = least(doubt.granted.all, value.granted.all);
        doubt.granted.batch = least(doubt.granted.batch, value.granted.batch);
    }
    of.call_writes = true;
    of.idle_since.reset();
    of.call = calls.send(
        call_owner::quota,
        customer,
        ports::store_write{"quota/" + customer, to_json(next), of.version},
        out);
    of.attempted = std::move(next);
}

void quota_book::taken(account& of,
                       quota_document document,
                       std::uint64_t version)
{
    of.stored = std::move(document);
    of.version = version;
    of.read = true;
    of.doubtful.clear();
}

void quota_book::on_store_reply(common::time_point now,
                                call_tag const& tag,
                                ports::store_reply const& reply)
{
    auto const found = accounts_.find(tag.name);
    if (found == accounts_.end() || found->second.call != tag.number)
    {
        return;
    }
    auto& of = found->second;
    of.call = 0;
    bool const wrote = std::exchange(of.call_writes, false);
    if (wrote && reply.status == ports::store_status::done)
    {
        taken(of, std::move(of.attempted), reply.index);
        return;
    }
    if (wrote && reply.status == ports::store_status::unavailable)
    {
        of.next_try = now + settings_.retry_interval;
        return;
    }
    if (wrote)
    {
        of.read = false;
        of.next_try = reply.status == ports::store_status::conflict
                          ? now
                          : now + settings_.retry_interval;
        return;
    }
    if (reply.status != ports::store_status::done)
    {
        of.next_try = now + settings_.retry_interval;
        return;
    }
    auto const version =
        reply.entries.empty() ? 0 : reply.entries.front().version;
    if (of.version != 0 && version < of.version)
    {
        of.next_try = now + settings_.retry_interval;
        return; // A stale read.
    }
    common::failure reason;
    auto document = reply.entries.empty()
                        ? std::optional(quota_document{})
                        : parse_quota(reply.entries.front().value, reason);
    if (!document)
    {
        of.next_try = now + settings_.refresh_interval;
        return;
    }
    if (version == of.version)
    {
        // A write of unknown fate may still come; `doubtful` stays, and
        // `wished` writes again until the version moves.
        of.read = true;
        return;
    }
    taken(of, std::move(*document), version);
}

} // namespace fuchsia::core::tasks
