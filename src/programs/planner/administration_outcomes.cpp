#include "core/config/name_set.hpp"
#include "programs/planner/administration.hpp"
#include "programs/planner/administration_message.hpp"

#include <utility>

// Completion of changes, removals and reports begun in administration.cpp.
namespace fuchsia::programs::planner
{

using core::common::failure;
using core::common::result_code;

namespace
{

/// Describes a change for the log.
struct describe_change
{
    std::string operator()(core::config::put_contract const& put) const
    {
        return "put contract " + put.value.customer;
    }

    std::string
    operator()(core::config::withdraw_contract const& withdrawal) const
    {
        return "withdraw contract " + withdrawal.customer;
    }

    std::string operator()(core::config::set_data_centre const& set) const
    {
        return "data centre " + set.name +
               (set.out_of_service ? " out" : " in");
    }
};

ports::log_event event_of(std::string name,
                          std::string description,
                          std::string const& operator_address)
{
    return {ports::severity::info,
            std::move(name),
            {{"what", std::move(description)}, {"from", operator_address}}};
}

} // namespace

void administration::complete(core::common::time_point now,
                              administration_view const& view,
                              ports::actions& out,
                              administration_answers& answers)
{
    complete_changes(view, out, answers);
    complete_removals(out, answers);
    complete_reports(now, view, answers);
}

void administration::complete_changes(administration_view const& view,
                                      ports::actions& out,
                                      administration_answers& answers)
{
    for (auto& pending : changes_)
    {
        auto const& result = pending.writer.result();
        if (pending.answered || !result)
        {
            continue;
        }
        pending.answered = true;
        auto const& change = pending.writer.request().requested_change;
        auto event = event_of(result->accepted() ? "configuration_accepted"
                                                 : "configuration_not_changed",
                              std::visit(describe_change{}, change),
                              pending.operator_address);
        event.fields.push_back({"revision", std::to_string(result->revision)});
        if (result->accepted())
        {
            answers.push_back({pending.request,
                               json_answer({{"revision", result->revision}})});
            auto after = core::config::apply_change(
                view.configuration.current(), change, result->revision);
            if (after)
            {
                view.configuration.adopt(std::move(*after), out);
            }
        }
        else
        {
            event.fields.push_back({"why", to_string(result->reason)});
            answers.push_back(
                {pending.request,
                 result->reason.code == result_code::conflict
                     ? conflict_answer(result->reason, result->revision)
                     : adapters::http::failure_response(result->reason)});
        }
        out.emplace_back(std::move(event));
    }
    changes_.remove_if(
        [](pending_change const& pending)
        {
            return pending.answered && pending.writer.finished();
        });
}

void administration::complete_removals(ports::actions& out,
                                       administration_answers& answers)
{
    for (auto const& pending : removals_)
    {
        auto const& result = pending.removal.result();
        if (!result)
        {
            continue;
        }
        bool const done = result->code == result_code::ok;
        auto event = event_of(done ? "member_removed" : "member_not_removed",
                              pending.removal.key(),
                              pending.operator_address);
        event.level = ports::severity::warning;
        event.fields.push_back({"why", to_string(*result)});
        out.emplace_back(std::move(event));
        answers.push_back({pending.request,
                           done
                               ? json_answer({{"member", pending.removal.key()},
                                              {"buried", true}})
                               : adapters::http::failure_response(*result)});
    }
    removals_.remove_if(
        [](pending_removal const& pending)
        {
            return pending.removal.result().has_value();
        });
}

void administration::complete_reports(core::common::time_point now,
                                      administration_view const& view,
                                      administration_answers& answers)
{
    std::vector<pending_report> remaining;
    for (auto const& pending : reports_)
    {
        bool const failed =
            members_.failed() || (pending.status && partitions_.failed());
        bool const arrived = !members_.in_flight() &&
                             (!pending.status || !partitions_.in_flight());
        if (failed)
        {
            answers.push_back({pending.request,
                               adapters::http::failure_response(
                                   {result_code::store_unavailable,
                                    "members",
                                    "the members' records can't be read"})});
        }
        else if (!arrived)
        {
            remaining.push_back(pending);
        }
        else if (pending.status)
        {
            answers.push_back({pending.request, status_answer(now, view)});
        }
        else
        {
            answers.push_back(
                {pending.request, revision_answer(pending.revision)});
        }
    }
    reports_ = std::move(remaining);
}

adapters::http::response
administration::revision_answer(std::uint64_t revision) const
{
    auto waiting = not_reported(read_members(members_.entries()), revision);
    bool const in_force = waiting.empty();
    return json_answer({{"revision", revision},
                        {"in_force", in_force},
                        {"waiting_for", std::move(waiting)}});
}

adapters::http::response
administration::status_answer(core::common::time_point now,
                              administration_view const& view) const
{
    auto const& current = view.configuration.current();
    boost::json::array members;
    for (auto const& record : read_members(members_.entries()))
    {
        members.push_back(describe_member(record));
    }
    boost::json::object body{
        {"planner", self_.name},
        {"proof_age_ms",
         core::common::to_milliseconds(view.membership.proof_age(now))},
        {"proved_by_store", view.membership.proved_by_store()},
        {"revision", current.revision},
        {"confirmed_ms_ago", confirmed_ms_ago(now, view.configuration)},
        {"contracts", current.contracts.size()},
        {"data_centres_out",
         core::config::to_json_array(current.data_centres_out_of_service)},
        {"members", std::move(members)},
        {"claims", count_claims(partitions_.entries())},
    };
    for (auto& part : view.tasks())
    {
        body[part.key()] = part.value();
    }
    return json_answer(body);
}

} // namespace fuchsia::programs::planner
