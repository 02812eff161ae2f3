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

/// Maximum size of a configuration that this planner accepts. It is below the
/// bound of the whole configuration, which leaves space for changes that other
/// planners accept concurrently.
constexpr std::size_t max_accepted_bytes =
    core::config::max_configuration_bytes * 9 / 10;

/// Time without an answer of the store after which changes are refused at once.
/// The follower polls the store twice a second, so a change would most likely
/// wait and then fail.
constexpr core::common::duration max_store_silence = std::chrono::seconds(3);

constexpr std::array<std::string_view, 5> handled_paths{
    "contracts", "data-centres", "revisions", "status", "members"};

} // namespace

struct administration::request_context
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

    /// Whether all query parameters are in `allowed`; refuses the request if
    /// not.
    bool allow_query(std::initializer_list<std::string_view> allowed) const
    {
        for (auto const& [name, value] : target.query)
        {
            if (std::find(allowed.begin(), allowed.end(), name) ==
                allowed.end())
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
    return std::find(handled_paths.begin(), handled_paths.end(), first) !=
           handled_paths.end();
}

void administration::on_request(core::common::time_point now,
                                std::uint64_t request,
                                adapters::http::request const& message,
                                administration_view const& view,
                                ports::actions& out,
                                administration_answers& answers)
{
    auto target = parse_target(message.target);
    request_context context{now,
                            request,
                            message,
                            target ? std::move(*target) : parsed_target{},
                            view,
                            out,
                            answers};
    route(context);
    complete(now, view, out, answers);
}

void administration::on_store_reply(core::common::time_point now,
                                    ports::store_reply const& reply,
                                    administration_view const& view,
                                    ports::actions& out,
                                    administration_answers& answers)
{
    bool consumed =
        members_.on_store_reply(reply) || partitions_.on_store_reply(reply);
    for (auto it = changes_.begin(); !consumed && it != changes_.end(); ++it)
    {
        consumed = it->writer.on_store_reply(now, reply, next_call_, out);
    }
    for (auto it = removals_.begin(); !consumed && it != removals_.end(); ++it)
    {
        consumed = it->removal.on_store_reply(now, reply, next_call_, out);
    }
    complete(now, view, out, answers);
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
    complete(now, view, out, answers);
}

void administration::route(request_context& context)
{
    auto const& path = context.target.path;
    auto const matches = [&path](std::string_view first, std::size_t size)
    {
        return path.size() == size && path[0] == first;
    };
    if (matches("contracts", 1))
    {
        contracts(context);
    }
    else if (matches("contracts", 2))
    {
        contract(context, path[1]);
    }
    else if (matches("data-centres", 1))
    {
        data_centres(context);
    }
    else if (matches("data-centres", 2))
    {
        data_centre(context, path[1]);
    }
    else if (matches("revisions", 2))
    {
        auto const revision = parse_number(path[1]);
        if (!revision)
        {
            context.refuse(result_code::out_of_range, path[1], "a revision");
            return;
        }
        report(context, {context.request, false, *revision});
    }
    else if (matches("status", 1))
    {
        report(context, {context.request, true, 0});
    }
    else if (matches("members", 3))
    {
        member(context, path[1], path[2]);
    }
    else
    {
        context.refuse(result_code::unknown_path, context.message.target, {});
    }
}

void administration::contracts(request_context& context)
{
    if (context.message.method != "GET")
    {
        context.refuse_method("GET");
        return;
    }
    if (!context.allow_query({}))
    {
        return;
    }
    auto const& current = context.view.configuration.current();
    boost::json::array contract_list;
    for (auto const& [customer, value] : current.contracts)
    {
        contract_list.push_back(boost::json::parse(to_json(value)));
    }
    boost::json::object changed_at;
    for (auto const& [customer, revision] : current.contract_revisions)
    {
        changed_at[customer] = revision;
    }
    context.answer(json_answer({
        {"revision", current.revision},
        {"confirmed_ms_ago",
         confirmed_ms_ago(context.now, context.view.configuration)},
        {"contracts", std::move(contract_list)},
        {"withdrawn", core::config::to_json_array(current.withdrawn)},
        {"changed_at", std::move(changed_at)},
    }));
}

void administration::contract(request_context& context,
                              std::string const& customer)
{
    auto const& method = context.message.method;
    if (method == "GET")
    {
        auto const& current = context.view.configuration.current();
        auto const found = current.contracts.find(customer);
        if (found == current.contracts.end())
        {
            context.refuse(result_code::not_found,
                           customer,
                           current.withdrawn.count(customer) != 0
                               ? "the contract was withdrawn"
                               : "no contract names this customer");
            return;
        }
        context.answer(json_answer({
            {"revision", current.revision},
            {"changed_at", core::config::contract_revision(current, customer)},
            {"contract", boost::json::parse(to_json(found->second))},
        }));
        return;
    }
    if (method == "DELETE")
    {
        begin_change(context, core::config::withdraw_contract{customer});
        return;
    }
    if (method != "PUT")
    {
        context.refuse_method("GET, PUT and DELETE");
        return;
    }
    failure reason;
    auto value = core::contracts::parse_contract(context.message.body, reason);
    if (!value)
    {
        context.answer(adapters::http::failure_response(reason));
        return;
    }
    if (value->customer != customer)
    {
        context.refuse(result_code::inconsistent,
                       "contract.customer",
                       "the path names " + customer);
        return;
    }
    begin_change(context, core::config::put_contract{std::move(*value)});
}

void administration::data_centres(request_context& context)
{
    if (context.message.method != "GET")
    {
        context.refuse_method("GET");
        return;
    }
    if (!context.allow_query({}))
    {
        return;
    }
    auto const& current = context.view.configuration.current();
    auto names = context.view.data_centres();
    names.insert(context.view.membership.self().data_centre);
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
    context.answer(json_answer({
        {"revision", current.revision},
        {"confirmed_ms_ago",
         confirmed_ms_ago(context.now, context.view.configuration)},
        {"data_centres", std::move(list)},
    }));
}

void administration::data_centre(request_context& context,
                                 std::string const& name)
{
    if (context.message.method != "PUT")
    {
        context.refuse_method("PUT");
        return;
    }
    failure reason;
    auto const out = parse_data_centre_state(context.message.body, reason);
    if (!out)
    {
        context.answer(adapters::http::failure_response(reason));
        return;
    }
    // Unknown names are refused. A misspelt name would be accepted and reported
    // as in force, while the intended data centre would stay in service.
    auto known_names = context.view.data_centres();
    known_names.insert(context.view.membership.self().data_centre);
    auto const& current = context.view.configuration.current();
    bool const is_known = known_names.count(name) != 0 ||
                          current.data_centre_revisions.count(name) != 0;
    bool const is_new = context.target.query.count("new") != 0 &&
                        core::config::is_valid_name(name);
    if (!is_known && !is_new)
    {
        context.refuse(result_code::not_found,
                       name,
                       "no such data centre is known; new=true adds it");
        return;
    }
    begin_change(context, core::config::set_data_centre{name, *out});
}

void administration::member(request_context& context,
                            std::string const& role,
                            std::string const& name)
{
    if (context.message.method != "DELETE")
    {
        context.refuse_method("DELETE");
        return;
    }
    if (role != "entry" && role != "planner")
    {
        context.refuse(
            result_code::out_of_range, role, "the role is entry or planner");
        return;
    }
    if (removals_.size() >= max_removals)
    {
        context.refuse(
            result_code::queue_full, {}, "too many removals at once");
        return;
    }
    removals_.push_back({context.request,
                         context.message.remote_address,
                         member_removal(settings_.fence_after,
                                        role,
                                        name,
                                        self_.incarnation + ++writes_)});
    removals_.back().removal.start(context.now, next_call_, context.out);
}

void administration::report(request_context& context, pending_report pending)
{
    if (context.message.method != "GET")
    {
        context.refuse_method("GET");
        return;
    }
    if (reports_.size() >= max_reports)
    {
        context.refuse(result_code::queue_full, {}, "too many reports at once");
        return;
    }
    members_.refresh(context.now, next_call_, context.out);
    if (pending.status)
    {
        partitions_.refresh(context.now, next_call_, context.out);
    }
    reports_.push_back(pending);
}

void administration::begin_change(request_context& context,
                                  core::config::change change)
{
    if (!context.allow_query({"if-revision", "new"}))
    {
        return;
    }
    core::config::change_request request;
    auto const if_revision = context.target.query.find("if-revision");
    if (if_revision != context.target.query.end())
    {
        request.if_revision = parse_number(if_revision->second);
        if (!request.if_revision)
        {
            context.refuse(result_code::out_of_range,
                           "query.if-revision",
                           "a whole number is expected");
            return;
        }
    }
    // The change is refused at once instead of after the time-out of the
    // writer, so that the operator can try another planner, which may reach the
    // store.
    auto const answered_at = context.view.configuration.store_answered_at();
    if (answered_at && context.now - *answered_at > max_store_silence)
    {
        context.refuse(result_code::store_unavailable,
                       "store",
                       "it has not answered this planner for " +
                           std::to_string(core::common::to_milliseconds(
                               context.now - *answered_at)) +
                           " ms; nothing was changed");
        return;
    }
    if (changes_.size() >= max_changes)
    {
        context.refuse(result_code::queue_full, {}, "too many changes at once");
        return;
    }
    auto const& current = context.view.configuration.current();
    auto const after =
        core::config::apply_change(current, change, current.revision + 1);
    if (after && to_json(*after).size() > max_accepted_bytes)
    {
        context.refuse(result_code::body_too_large,
                       "configuration",
                       "all contracts together would exceed 900 KiB");
        return;
    }
    request.requested_change = std::move(change);
    request.write_id = next_write_id();
    request.observed_data_centres = context.view.data_centres();
    request.observed_data_centres.insert(
        context.view.membership.self().data_centre);
    request.known_revision = current.revision;
    changes_.push_back(
        {context.request,
         context.message.remote_address,
         core::config::change_writer(settings_.writer, std::move(request))});
    changes_.back().writer.start(context.now, next_call_, context.out);
}

std::string administration::next_write_id()
{
    return core::membership::to_hexadecimal(self_.incarnation) + "." +
           std::to_string(++writes_);
}

} // namespace fuchsia::programs::planner
