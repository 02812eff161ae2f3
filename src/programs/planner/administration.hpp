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

// The administration API without its jobs: contracts, data centres, revisions,
// members and status (docs/API.md). It does no I/O: requests and store replies
// are passed in, store calls and answers are returned.
namespace fuchsia::programs::planner
{

struct administration_settings
{
    core::config::change_writer_settings writer;
    /// Time for which a member's record must stay unchanged before an operator
    /// may remove the member; the same as the fencing delay of the membership.
    core::common::duration fence_after = std::chrono::seconds(3);
};

/// State of the planner that the administration API reads.
struct administration_view
{
    core::config::configuration_follower& configuration;
    core::membership::member const& membership;
    /// Returns the data centres of the listed workers.
    std::function<core::config::name_set()> data_centres;
    /// Returns the planner's parts of the status: workers, and tasks by state.
    std::function<boost::json::object()> tasks;
};

struct administration_answer
{
    std::uint64_t request = 0; ///< Number passed to `on_request`.
    adapters::http::response response;
};

using administration_answers = std::vector<administration_answer>;

/// Whether the value of an Authorization header contains `token`; compares in
/// constant time.
bool has_token(std::string_view authorization, std::string_view token) noexcept;

/// Handles requests of the administration API.
class administration
{
public:
    /// Maximum numbers of concurrent changes, removals and reports; requests
    /// above them are refused.
    static constexpr std::size_t max_changes = 32;
    static constexpr std::size_t max_removals = 8;
    static constexpr std::size_t max_reports = 256;

    administration(administration_settings settings,
                   ports::member_identity self);

    /// Whether the path of `target` belongs to this part of the API.
    static bool handles(std::string_view target) noexcept;

    /// Handles a request whose token has been checked. `request` is the number
    /// that its answer will carry.
    void on_request(core::common::time_point now,
                    std::uint64_t request,
                    adapters::http::request const& message,
                    administration_view const& view,
                    ports::actions& out,
                    administration_answers& answers);
    /// Handles a reply to a call of `store_requester::administration`.
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
        std::string operator_address;
        core::config::change_writer writer;
        bool answered = false;
    };

    struct pending_removal
    {
        std::uint64_t request = 0;
        std::string operator_address;
        member_removal removal;
    };

    /// A report that waits for fresh lists from the store.
    struct pending_report
    {
        std::uint64_t request = 0;
        /// Whether the status is requested; otherwise whether `revision` is in
        /// force.
        bool status = false;
        std::uint64_t revision = 0;
    };

    /// Context of one request, passed to the handlers.
    struct request_context;

    void route(request_context& context);
    void contracts(request_context& context);
    void contract(request_context& context, std::string const& customer);
    void data_centres(request_context& context);
    void data_centre(request_context& context, std::string const& name);
    void member(request_context& context,
                std::string const& role,
                std::string const& name);
    void report(request_context& context, pending_report pending);
    void begin_change(request_context& context, core::config::change change);
    void complete_changes(administration_view const& view,
                          ports::actions& out,
                          administration_answers& answers);
    void complete_removals(ports::actions& out,
                           administration_answers& answers);
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
