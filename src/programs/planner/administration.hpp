#pragma once

#include "adapters/http/message.hpp"
#include "core/config/change_writer.hpp"
#include "core/config/follower.hpp"
#include "core/config/name_set.hpp"
#include "core/membership/member.hpp"
#include "ports/actions.hpp"
#include "programs/planner/administration_lists.hpp"
#include "programs/planner/administration_removal.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <vector>

// The administration API but for its jobs: contracts, data centres, revisions,
// members and status (docs/API.md). Pure: requests and store replies in,
// store calls and answers out.
namespace fuchsia::programs::planner
{

struct administration_settings
{
    core::config::change_writer_settings writer;
    /// How long a member's record must stand still before an operator may
    /// remove it; the membership's own `bury`.
    core::common::duration fence_after = std::chrono::seconds(3);
};

/// What the planner shows to its administration.
struct administration_view
{
    core::config::configuration_follower& configuration;
    core::membership::member const& membership;
    /// Data centres of the workers that are listed.
    std::function<core::config::name_set()> data_centres;
    /// Parts of the status that the planner adds: workers, tasks by state.
    std::function<boost::json::object()> tasks;
};

struct administration_answer
{
    std::uint64_t request = 0;
    adapters::http::response response;
};

using administration_answers = std::vector<administration_answer>;

/// Whether the value of an Authorization header bears `token`, compared in
/// constant time.
bool has_token(std::string_view authorization, std::string_view token) noexcept;

class administration
{
public:
    /// More changes, removals or reports at once are refused.
    static constexpr std::size_t max_changes = 32;
    static constexpr std::size_t max_removals = 8;
    static constexpr std::size_t max_reports = 256;

    administration(administration_settings settings,
                   ports::member_identity self);

    /// Whether this part answers for the path of `target`.
    static bool handles(std::string_view target) noexcept;

    /// `request` names the answer; its token has been checked.
    void on_request(core::common::time_point now,
                    std::uint64_t request,
                    adapters::http::request const& message,
                    administration_view const& view,
                    ports::actions& out,
                    administration_answers& answers);
    /// Only replies of `store_user::administration`.
    void on_store_reply(core::common::time_point now,
                        ports::store_reply const& reply,
                        administration_view const& view,
                        ports::actions& out,
                        administration_answers& answers);
    void tick(core::common::time_point now,
              administration_view const& view,
              ports::actions& out,
              administration_answers& answers);

private:
    struct pending_change
    {
        std::uint64_t request = 0;
        std::string operator_address; ///< Address of the operator's machine.
        core::config::change_writer writer;
        bool answered = false;
    };

    struct pending_removal
    {
        std::uint64_t request = 0;
        std::string operator_address;
        member_removal removal;
    };

    /// Waits for fresh lists of the store.
    struct pending_report
    {
        std::uint64_t request = 0;
        bool status = false; ///< Else whether `revision` is in force.
        std::uint64_t revision = 0;
    };

    /// One request on its way through the handlers.
    struct request_context;

    void route(request_context& context);
    void contracts(request_context& context);
    void contract(request_context& context, std::string const& customer);
    void data_centres(request_context& context);
    void data_centre(request_context& context, std::string const& name);
    void member(request_context& context, std::string const& role, std::string const& name);
    void report(request_context& context, pending_report pending);
    void begin_change(request_context& context, core::config::change change);
    void complete_changes(administration_view const& view,
                        ports::actions& out,
                        administration_answers& answers);
    void complete_removals(ports::actions& out, administration_answers& answers);
    void complete_reports(core::common::time_point now,
                        administration_view const& view,
                        administration_answers& answers);
    void complete(core::common::time_point now,
                administration_view const& view,
                ports::actions& out,
                administration_answers& answers);
    adapters::http::response revision_answer(std::uint64_t revision) const;
    adapters::http::response
    status_answer(core::common::time_point now,
                  administration_view const& view) const;
    std::string next_write_id();

    administration_settings settings_;
    ports::member_identity self_;
    std::uint64_t next_call_ = 1;
    std::uint64_t writes_ = 0;
    std::list<pending_change> changes_;
    std::list<pending_removal> removals_;
    std::vector<pending_report> reports_;
    cached_list members_{"members/"};
    cached_list partitions_{"partitions/"};
};

} // namespace fuchsia::programs::planner
