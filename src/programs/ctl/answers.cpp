#include "programs/ctl/answers.hpp"

#include "core/common/json.hpp"
#include "programs/ctl/table.hpp"

#include <ostream>

namespace fuchsia::programs::ctl
{

using boost::json::array;
using boost::json::object;

array const& array_of(object const& body, std::string_view key)
{
    static array const empty;
    auto const* value = body.if_contains(key);
    return value != nullptr && value->is_array() ? value->get_array() : empty;
}

std::string text_of(object const& body, std::string_view key)
{
    auto const* value = body.if_contains(key);
    return value == nullptr ? "-" : plain_text(*value);
}

std::uint64_t revision_of(object const& body)
{
    core::common::json_reader reader(body, "answer");
    return static_cast<std::uint64_t>(
        reader.integer_or("revision", 0, 0, INT64_MAX));
}

void print_revision(std::ostream& out, object const& body)
{
    out << "\nrevision " << text_of(body, "revision")
        << ", confirmed by the store " << text_of(body, "confirmed_ms_ago")
        << " ms ago\n";
}

void print_contracts(std::ostream& out, object const& body)
{
    auto rows = array_of(body, "contracts");
    auto const* changed_at = body.if_contains("changed_at");
    for (auto& row : rows)
    {
        auto const customer = text_of(row.as_object(), "customer");
        if (changed_at != nullptr && changed_at->is_object())
        {
            row.as_object()["changed_at"] =
                text_of(changed_at->get_object(), customer);
        }
    }
    print_table(out,
                {{"CUSTOMER", "customer"},
                 {"MILLICORES", "millicores"},
                 {"MEMORY MB", "memory_mb"},
                 {"ACCELERATORS", "accelerators"},
                 {"IN FLIGHT", "requests_in_flight"},
                 {"PER SECOND", "requests_per_second"},
                 {"BATCH PERMILLE", "batch_permille"},
                 {"TARGET MS", "latency_target_ms"},
                 {"CHANGED AT", "changed_at"}},
                rows);
    for (auto const& name : array_of(body, "withdrawn"))
    {
        out << "withdrawn: " << plain_text(name) << '\n';
    }
    print_revision(out, body);
}

void print_status(std::ostream& out, object const& body)
{
    object rest = body;
    rest.erase("members");
    auto const claims = rest["claims"];
    rest.erase("claims");
    print_members(out, rest);
    out << '\n';
    print_table(out,
                {{"ROLE", "role"},
                 {"MEMBER", "name"},
                 {"DATA CENTRE", "data_centre"},
                 {"HTTP", "http"},
                 {"REVISION", "revision"},
                 {"LEAVING", "leaving"},
                 {"BURIED", "buried"}},
                array_of(body, "members"));
    out << '\n';
    array rows;
    if (claims.is_object())
    {
        for (auto const& role : claims.get_object())
        {
            for (auto const& owner : role.value().as_object())
            {
                rows.push_back(object{{"role", role.key()},
                                      {"owner", owner.key()},
                                      {"count", owner.value()}});
            }
        }
    }
    print_table(out,
                {{"ROLE", "role"}, {"OWNER", "owner"}, {"PARTITIONS", "count"}},
                rows);
}

} // namespace fuchsia::programs::ctl
