#include "programs/ctl/runner.hpp"

#include "adapters/settings/toml_reader.hpp"
#include "core/contracts/contract.hpp"
#include "core/tasks/job.hpp"
#include "programs/ctl/answers.hpp"
#include "programs/ctl/planner_client.hpp"
#include "programs/ctl/pool_questions.hpp"
#include "programs/ctl/settings_checks.hpp"
#include "programs/ctl/table.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <ostream>
#include <thread>
#include <utility>

namespace fuchsia::programs::ctl
{

namespace
{

using namespace std::chrono_literals;
using boost::json::object;
using core::common::clock;
using core::common::failure;
using core::common::result_code;

constexpr auto poll_interval = 300ms;

/// `text` percent-encoded as one segment of a path.
std::string escaped(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (char const character : text)
    {
        auto const byte = static_cast<unsigned char>(character);
        bool const plain = std::isalnum(byte) != 0 || character == '-' ||
                           character == '_' || character == '.';
        if (plain)
        {
            result += character;
            continue;
        }
        result += '%';
        result += digits[byte / 16];
        result += digits[byte % 16];
    }
    return result;
}

/// Runs the commands that call a planner.
class planner_commands
{
public:
    planner_commands(command_line const& line,
                     ctl_settings settings,
                     std::ostream& out,
                     std::ostream& error)
        : line_(line), client_(std::move(settings)), out_(out), error_(error)
    {
    }

    exit_status operator()(contract_put const& arguments)
    {
        failure reason;
        auto const text = adapters::settings::read_file(arguments.file, reason);
        auto const contract =
            text ? core::contracts::parse_contract(*text, reason)
                 : std::nullopt;
        if (!contract)
        {
            return refuse(arguments.file, reason);
        }
        return change("PUT",
                      "/v1/contracts/" + escaped(contract->customer),
                      *text,
                      "contract " + contract->customer);
    }

    exit_status operator()(contract_show const& arguments)
    {
        return query("/v1/contracts/" + escaped(arguments.customer),
                     [this](object const& body)
                     {
                         out_ << body.at("contract") << '\n';
                         error_ << "changed at revision "
                                << text_of(body, "changed_at")
                                << "; newest revision "
                                << text_of(body, "revision") << '\n';
                     });
    }

    exit_status operator()(contract_list const&)
    {
        return query("/v1/contracts",
                     [this](object const& body)
                     {
                         print_contracts(out_, body);
                     });
    }

    exit_status operator()(contract_withdraw const& arguments)
    {
        return change("DELETE",
                      "/v1/contracts/" + escaped(arguments.customer),
                      "",
                      "withdrawal of " + arguments.customer);
    }

    exit_status operator()(data_centre_set const& arguments)
    {
        std::string const state = arguments.out ? "out" : "in";
        return change("PUT",
                      "/v1/data-centres/" + escaped(arguments.name) +
                          (arguments.is_new ? "?new=true" : ""),
                      boost::json::serialize(object{{"state", state}}),
                      "data centre " + arguments.name + " " + state);
    }

    exit_status operator()(data_centre_list const&)
    {
        return query("/v1/data-centres",
                     [this](object const& body)
                     {
                         print_table(out_,
                                     {{"NAME", "name"},
                                      {"STATE", "state"},
                                      {"CHANGED AT", "changed_at"}},
                                     array_of(body, "data_centres"));
                         print_revision(out_, body);
                     });
    }

    exit_status operator()(job_submit const& arguments)
    {
        failure reason;
        auto const text = adapters::settings::read_file(arguments.file, reason);
        auto const job =
            text ? core::tasks::parse_job(*text, reason) : std::nullopt;
        if (!job)
        {
            return refuse(arguments.file, reason);
        }
        return finish(client_.call("POST", "/v1/jobs", *text, repeat::change),
                      [this](object const& body)
                      {
                          out_ << "job " << text_of(body, "job")
                               << ": accepted\n";
                      });
    }

    exit_status operator()(job_show const& arguments)
    {
        return query("/v1/jobs/" + escaped(arguments.id),
                     [this](object const& body)
                     {
                         print_members(out_, body);
                         out_ << '\n';
                         print_table(out_,
                                     {{"TASK", "index"},
                                      {"STATE", "state"},
                                      {"ATTEMPT", "attempt"},
                                      {"WORKER", "worker"},
                                      {"CHECKPOINT", "checkpoint"},
                                      {"WHY", "why"}},
                                     array_of(body, "task_list"));
                     });
    }

    exit_status operator()(job_list const& arguments)
    {
        return query(arguments.state.empty()
                         ? "/v1/jobs"
                         : "/v1/jobs?state=" + escaped(arguments.state),
                     [this](object const& body)
                     {
                         print_table(out_,
                                     {{"JOB", "id"},
                                      {"CUSTOMER", "customer"},
                                      {"KIND", "kind"},
                                      {"STATE", "state"},
                                      {"TASKS", "tasks"},
                                      {"RUNNING", "running"},
                                      {"FINISHED", "finished"},
                                      {"WHY", "why"}},
                                     array_of(body, "jobs"));
                     });
    }

    exit_status operator()(job_cancel const& arguments)
    {
        return finish(client_.call("DELETE",
                                   "/v1/jobs/" + escaped(arguments.id),
                                   "",
                                   repeat::change),
                      [this](object const& body)
                      {
                          out_ << "job " << text_of(body, "job")
                               << ": cancelled\n";
                      });
    }

    exit_status operator()(show_status const&)
    {
        return query("/v1/status",
                     [this](object const& body)
                     {
                         print_status(out_, body);
                     });
    }

    exit_status operator()(member_remove const& arguments)
    {
        return finish(client_.call("DELETE",
                                   "/v1/members/" + arguments.role + "/" +
                                       escaped(arguments.name),
                                   "",
                                   repeat::change),
                      [this, &arguments](object const&)
                      {
                          out_ << arguments.role << " " << arguments.name
                               << ": removed\n";
                      });
    }

    // The commands below call no planner; `run` handles them before.
    exit_status operator()(pool_query const&)
    {
        return exit_status::usage;
    }

    exit_status operator()(settings_check const&)
    {
        return exit_status::usage;
    }

private:
    exit_status refuse(std::string const& where, failure const& reason)
    {
        error_ << "fuchsiactl: " << where << ": " << to_string(reason) << '\n';
        return exit_status::refused;
    }

    template<class Print>
    exit_status query(std::string const& target, Print print)
    {
        return finish(client_.call("GET", target, "", repeat::read), print);
    }

    /// Prints the result of a call, or the reason of its failure.
    template<class Print>
    exit_status finish(call_result const& result, Print print)
    {
        if (result.end != call_end::done)
        {
            return report_failure(result);
        }
        if (line_.json)
        {
            out_ << boost::json::serialize(result.body) << '\n';
        }
        else
        {
            print(result.body);
        }
        return exit_status::done;
    }

    exit_status report_failure(call_result const& result)
    {
        if (line_.json && !result.body.empty())
        {
            out_ << boost::json::serialize(result.body) << '\n';
        }
        error_ << "fuchsiactl: " << to_string(result.reason);
        if (result.newest_revision != 0)
        {
            error_ << " (newest revision: " << result.newest_revision << ')';
        }
        bool const unknown = result.end == call_end::unknown;
        error_ << (unknown ? "\nfuchsiactl: outcome unknown: it may have been "
                             "done; look before you repeat it\n"
                           : "\n");
        return unknown ? exit_status::unknown : exit_status::refused;
    }

    /// Changes the configuration and, with --wait, waits until it is in force.
    exit_status change(std::string const& method,
                       std::string target,
                       std::string const& body,
                       std::string const& description)
    {
        if (line_.if_revision)
        {
            target += target.find('?') == std::string::npos ? '?' : '&';
            target += "if-revision=" + std::to_string(*line_.if_revision);
        }
        // A change is not sent again after its answer was lost: it could undo a
        // later change by another operator, or conflict with its own first
        // execution.
        auto const result = client_.call(method, target, body, repeat::never);
        if (result.end != call_end::done)
        {
            return report_failure(result);
        }
        auto const revision = revision_of(result.body);
        if (!line_.json)
        {
            out_ << description << ": accepted as revision " << revision << '\n'
                 << std::flush;
        }
        if (line_.wait)
        {
            return wait_for(revision);
        }
        if (line_.json)
        {
            out_ << boost::json::serialize(result.body) << '\n';
        }
        return exit_status::done;
    }

    /// Polls until no member acts on an older revision, or the time-out
    /// expires.
    exit_status wait_for(std::uint64_t revision)
    {
        auto const started_at = clock::now();
        auto const deadline = started_at + line_.timeout;
        call_result last;
        bool in_force = false;
        for (;;)
        {
            last = client_.call("GET",
                                "/v1/revisions/" + std::to_string(revision),
                                "",
                                repeat::read);
            in_force = text_of(last.body, "in_force") == "yes";
            if (in_force || clock::now() + poll_interval >= deadline)
            {
                break;
            }
            std::this_thread::sleep_for(poll_interval);
        }
        if (line_.json)
        {
            out_ << boost::json::serialize(object{
                        {"revision", revision},
                        {"in_force", in_force},
                        {"waiting_for", array_of(last.body, "waiting_for")}})
                 << '\n';
        }
        else if (in_force)
        {
            out_ << "revision " << revision << ": in force everywhere after "
                 << core::common::to_milliseconds(clock::now() - started_at)
                 << " ms\n";
        }
        if (in_force)
        {
            return exit_status::done;
        }
        error_ << "fuchsiactl: revision " << revision
               << " is accepted, but not in force everywhere";
        if (last.end != call_end::done)
        {
            error_ << ": " << to_string(last.reason) << '\n';
            return exit_status::timeout;
        }
        error_ << "; not reported by:\n";
        print_table(error_,
                    {{"ROLE", "role"},
                     {"MEMBER", "name"},
                     {"DATA CENTRE", "data_centre"},
                     {"REVISION", "revision"}},
                    array_of(last.body, "waiting_for"));
        return exit_status::timeout;
    }

    command_line const& line_;
    planner_client client_;
    std::ostream& out_;
    std::ostream& error_;
};

exit_status check(command_line const& line,
                  settings_check const& arguments,
                  std::ostream& out,
                  std::ostream& error)
{
    auto const reason = check_settings(arguments.binary, arguments.file);
    if (!reason)
    {
        error << "fuchsiactl: no settings of " << arguments.binary
              << " are known; known:";
        for (auto const name : checked_binaries())
        {
            error << ' ' << name;
        }
        error << '\n';
        return exit_status::usage;
    }
    bool const valid = reason->code == result_code::ok;
    if (line.json)
    {
        out << boost::json::serialize(
                   object{{"valid", valid},
                          {"code", static_cast<unsigned>(reason->code)},
                          {"name", core::common::name_of(reason->code)},
                          {"where", reason->where},
                          {"why", reason->why}})
            << '\n';
    }
    else if (valid)
    {
        out << arguments.file << ": valid settings of " << arguments.binary
            << '\n';
    }
    if (!valid)
    {
        error << "fuchsiactl: " << to_string(*reason) << '\n';
    }
    return valid ? exit_status::done : exit_status::refused;
}

} // namespace

exit_status
run(command_line const& line, std::ostream& out, std::ostream& error)
{
    if (auto const* arguments =
            std::get_if<settings_check>(&line.selected_command))
    {
        return check(line, *arguments, out, error);
    }
    if (line.settings.empty())
    {
        error << "fuchsiactl: --settings or FUCHSIACTL_SETTINGS must name the "
                 "settings file\n";
        return exit_status::usage;
    }
    failure reason;
    auto settings = read_ctl_settings(line.settings, reason);
    if (!settings)
    {
        error << "fuchsiactl: " << to_string(reason) << '\n';
        return exit_status::usage;
    }
    if (auto const* pool_request =
            std::get_if<pool_query>(&line.selected_command))
    {
        return run_pool_query(line, *pool_request, *settings, out, error);
    }
    if (settings->planners.empty())
    {
        error << "fuchsiactl: the settings name no planner\n";
        return exit_status::usage;
    }
    return std::visit(planner_commands(line, std::move(*settings), out, error),
                      line.selected_command);
}

} // namespace fuchsia::programs::ctl
