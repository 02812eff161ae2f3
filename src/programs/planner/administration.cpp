#include "programs/planner/administration.hpp"

#include "core/membership/record.hpp"
#include "programs/planner/administration_message.hpp"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <utility>

namespace fuchsia::programs::planner
{

namespace
{

using core::common::failure;
using core::common::result_code;

/// Room below the bound of the whole configuration for changes that other
/// planners accept at the same moment.
constexpr std::size_t max_accepted_bytes =
    core::config::max_configuration_bytes * 9 / 10;

/// The follower asks the store twice a second; after this long without an
/// answer a change would only wait in vain.
constexpr core::common::duration store_silent_after = std::chrono::seconds(3);

constexpr std::array<std::string_view, 5> own_paths{
    "contracts", "data-centres", "revisions", "status", "members"};

} // namespace

struct administration::call
{
    core::common::time_point now;
    std::uint64_t request = 0;
    adapters::http::request const& message;
    parsed_target target;
    administration_view const& view;
    ports::actions& out;
    administration_answers& answers;

    void answer(adapters::http::response response) const
    {
        answers.push_back({request, std::move(response)});
    }

    void refuse(result_code code, std::string where, std::string why) const
    {
        answer(adapters::http::failure_response(
            {code, std::move(where), std::move(why)}));
    }

    void refuse_method(std::string_view allowed) const
    {
        refuse(result_code::bad_method,
               message.method,
               "this path takes " + std::string(allowed));
    }

    /// Refuses the request, and says so, where its query has other names.
    bool allow_query(std::initializer_list<std::string_view> known) const
    {
        for (auto const& [name, value] : target.query)
        {
            if (std::find(known.begin(), known.end(), name) == known.end())
            {
                refuse(result_code::unknown_key,
                       "query." + name,
                       "this path takes no such parameter");
                return false;
            }
        }
        return true;
    }
};

bool has_token(std::string_view authorization, std::string_view token) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    bool const has_scheme = authorization.starts_with(scheme);
    return adapters::http::equal_in_constant_time(
               has_scheme ? authorization.substr(scheme.size())
                          : std::string_view{},
               token) &&
           !token.empty();
}

administration::administration(administration_settings settings,
                               ports::member_identity self)
    : settings_(settings), self_(std::move(self))
{
}

bool administration::handles(std::string_view target) noexcept
{
    constexpr std::string_view root = "/v1/";
    std::string_view path = target.substr(0, target.find('?'));
    if (!path.starts_with(root))
    {
        return false;
    }
    path.remove_prefix(root.size());
    auto const first = path.substr(0, path.find('/'));
    return std::find(own_paths.begin(), own_paths.end(), first) !=
           own_paths.end();
}

void administration::on_request(core::common::time_point now,
                                std::uint64_t request,
                                adapters::http::request const& message,
                                administration_view const& view,
                                ports::actions& out,
                                administration_answers& answers)
{
    auto target = parse_target(message.target);
    call what{now,
              request,
              message,
              target ? std::move(*target) : parsed_target{},
              view,
              out,
              answers};
    route(what);
    settle(now, view, out, answers);
}

void administration::on_store_reply(core::common::time_point now,
                                    ports::store_reply const& reply,
                                    administration_view const& view,
                                    ports::actions& out,
                                    administration_answers& answers)
{
    bool taken =
        members_.on_store_reply(reply) || partitions_.on_store_reply(reply);
    for (auto at = changes_.begin(); !taken && at != changes_.end(); ++at)
    {
        taken = at->writer.on_store_reply(now, reply, next_call_, out);
    }
    for (auto at = removals_.begin(); !taken && at != removals_.end(); ++at)
    {
        taken = at->removal.on_store_reply(now, reply, next_call_, out);
    }
    settle(now, view, out, answers);
}

void administration::tick(core::common::time_point now,
                          administration_view const& view,
                          ports::actions& out,
                          administration_answers& answers)
{
    for (auto& pending : changes_)
    {
        pending.writer.tick(now, next_call_, out);
    }
    for (auto& pending : removals_)
    {
        pending.removal.tick(now, next_call_, out);
    }
    settle(now, view, out, answers);
}

void administration::route(call& what)
{
    auto const& path = what.target.path;
    auto const is = [&path](std::string_view first, std::size_t size)
    {
        return path.size() == size && path[0] == first;
    };
    if (is("contracts", 1))
    {
        contracts(what);
    }
    else if (is("contracts", 2))
    {
        contract(what, path[1]);
    }
    else if (is("data-centres", 1))
    {
        data_centres(what);
    }
    else if (is("data-centres", 2))
    {
        data_centre(what, path[1]);
    }
    else if (is("revisions", 2))
    {
        auto const revision = parse_number(path[1]);
        if (!revision)
        {
            what.refuse(result_code::out_of_range, path[1], "a revision");
            return;
        }
        report(what, {what.request, false, *revision});
    }
    else if (is("status", 1))
    {
        report(what, {what.request, true, 0});
    }
    else if (is("members", 3))
    {
        member(what, path[1], path[2]);
    }
    else
    {
        what.refuse(result_code::unknown_path, what.message.target, {});
    }
}

void administration::contracts(call& what)
{
    if (what.message.method != "GET")
    {
        what.refuse_method("GET");
        return;
    }
    if (!what.allow_query({}))
    {
        return;
    }
    auto const& current = what.view.configuration.current();
    boost::json::array standing;
    for (auto const& [customer, value] : current.contracts)
    {
        standing.push_back(boost::json::parse(to_json(value)));
    }
    boost::json::object changed_at;
    for (auto const& [customer, revision] : current.contract_revisions)
    {
        changed_at[customer] = revision;
    }
    what.answer(json_answer({
        {"revision", current.revision},
        {"confirmed_ms_ago",
         confirmed_ms_ago(what.now, what.view.configuration)},
        {"contracts", std::move(standing)},
        {"withdrawn", core::config::to_json_array(current.withdrawn)},
        {"changed_at", std::move(changed_at)},
    }));
}

void administration::contract(call& what, std::string const& customer)
{
    auto const& method = what.message.method;
    if (method == "GET")
    {
        auto const& current = what.view.configuration.current();
        auto const found = current.contracts.find(customer);
        if (found == current.contracts.end())
        {
            what.refuse(result_code::not_found,
                        customer,
                        current.withdrawn.count(customer) != 0
                            ? "the contract was withdrawn"
                            : "no contract names this customer");
            return;
        }
        what.answer(json_answer({
            {"revision", current.revision},
            {"changed_at", core::config::contract_revision(current, customer)},
            {"contract", boost::json::parse(to_json(found->second))},
        }));
        return;
    }
    if (method == "DELETE")
    {
        begin_change(what, core::config::withdraw_contract{customer});
        return;
    }
    if (method != "PUT")
    {
        what.refuse_method("GET, PUT and DELETE");
        return;
    }
    failure reason;
    auto value = core::contracts::parse_contract(what.message.body, reason);
    if (!value)
    {
        what.answer(adapters::http::failure_response(reason));
        return;
    }
    if (value->customer != customer)
    {
        what.refuse(result_code::inconsistent,
                    "contract.customer",
                    "the path names " + customer);
        return;
    }
    begin_change(what, core::config::put_contract{std::move(*value)});
}

void administration::data_centres(call& what)
{
    if (what.message.method != "GET")
    {
        what.refuse_method("GET");
        return;
    }
    if (!what.allow_query({}))
    {
        return;
    }
    auto const& current = what.view.configuration.current();
    auto names = what.view.data_centres();
    names.insert(what.view.membership.self().data_centre);
    for (auto const& [name, revision] : current.data_centre_revisions)
    {
        names.insert(name);
    }
    boost::json::array list;
    for (auto const& name : names)
    {
        list.push_back(boost::json::object{
            {"name", name},
            {"state",
             current.data_centres_out_of_service.count(name) != 0 ? "out"
                                                                  : "in"},
            {"changed_at", core::config::data_centre_revision(current, name)},
        });
    }
    what.answer(json_answer({
        {"revision", current.revision},
        {"confirmed_ms_ago",
         confirmed_ms_ago(what.now, what.view.configuration)},
        {"data_centres", std::move(list)},
    }));
}

void administration::data_centre(call& what, std::string const& name)
{
    if (what.message.method != "PUT")
    {
        what.refuse_method("PUT");
        return;
    }
    failure reason;
    auto const out = parse_data_centre_state(what.message.body, reason);
    if (!out)
    {
        what.answer(adapters::http::failure_response(reason));
        return;
    }
    // A mistyped name would be accepted, reported in force, and leave the data
    // centre that was meant in service.
    auto known = what.view.data_centres();
    known.insert(what.view.membership.self().data_centre);
    auto const& current = what.view.configuration.current();
    bool const is_known = known.count(name) != 0 ||
                          current.data_centre_revisions.count(name) != 0;
    bool const is_new = what.target.query.count("new") != 0 &&
                        core::config::is_valid_name(name);
    if (!is_known && !is_new)
    {
        what.refuse(result_code::not_found,
                    name,
                    "no such data centre is known; new=true adds it");
        return;
    }
    begin_change(what, core::config::set_data_centre{name, *out});
}

void administration::member(call& what,
                            std::string const& role,
                            std::string const& name)
{
    if (what.message.method != "DELETE")
    {
        what.refuse_method("DELETE");
        return;
    }
    if (role != "entry" && role != "planner")
    {
        what.refuse(
            result_code::out_of_range, role, "the role is entry or planner");
        return;
    }
    if (removals_.size() >= max_removals)
    {
        what.refuse(result_code::queue_full, {}, "too many removals at once");
        return;
    }
    removals_.push_back({what.request,
                         what.message.remote_address,
                         member_removal(settings_.fence_after,
                                        role,
                                        name,
                                        self_.incarnation + ++writes_)});
    removals_.back().removal.start(what.now, next_call_, what.out);
}

void administration::report(call& what, pending_report wanted)
{
    if (what.message.method != "GET")
    {
        what.refuse_method("GET");
        return;
    }
    if (reports_.size() >= max_reports)
    {
        what.refuse(result_code::queue_full, {}, "too many reports at once");
        return;
    }
    members_.want(what.now, next_call_, what.out);
    if (wanted.status)
    {
        partitions_.want(what.now, next_call_, what.out);
    }
    reports_.push_back(wanted);
}

void administration::begin_change(call& what, core::config::change change)
{
    if (!what.allow_query({"if-revision", "new"}))
    {
        return;
    }
    core::config::change_request request;
    auto const if_revision = what.target.query.find("if-revision");
    if (if_revision != what.target.query.end())
    {
        request.if_revision = parse_number(if_revision->second);
        if (!request.if_revision)
        {
            what.refuse(result_code::out_of_range,
                        "query.if-revision",
                        "a whole number is expected");
            return;
        }
    }
    // Refused at once rather than after the writer's patience: the operator
    // can then ask another planner, which may reach the store.
    auto const answered_at = what.view.configuration.store_answered_at();
    if (answered_at && what.now - *answered_at > store_silent_after)
    {
        what.refuse(result_code::store_unavailable,
                    "store",
                    "it has not answered this planner for " +
                        std::to_string(core::common::to_milliseconds(
                            what.now - *answered_at)) +
                        " ms; nothing was changed");
        return;
    }
    if (changes_.size() >= max_changes)
    {
        what.refuse(result_code::queue_full, {}, "too many changes at once");
        return;
    }
    auto const& current = what.view.configuration.current();
    auto const after =
        core::config::apply_change(current, change, current.revision + 1);
    if (after && to_json(*after).size() > max_accepted_bytes)
    {
        what.refuse(result_code::body_too_large,
                    "configuration",
                    "all contracts together would exceed 900 KiB");
        return;
    }
    request.requested_change = std::move(change);
    request.write_id = next_write_id();
    request.observed_data_centres = what.view.data_centres();
    request.observed_data_centres.insert(
        what.view.membership.self().data_centre);
    request.known_revision = current.revision;
    changes_.push_back(
        {what.request,
         what.message.remote_address,
         core::config::change_writer(settings_.writer, std::move(request))});
    changes_.back().writer.start(what.now, next_call_, what.out);
}

std::string administration::next_write_id()
{
    return core::membership::to_hexadecimal(self_.incarnation) + "." +
           std::to_string(++writes_);
}

} // namespace fuchsia::programs::planner
