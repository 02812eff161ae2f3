#include "programs/ctl/command_line.hpp"

#include "core/config/configuration.hpp"
#include "core/config/name_set.hpp"

#include <algorithm>
#include <CLI/CLI.hpp>
#include <utility>

namespace fuchsia::programs::ctl
{

namespace
{

constexpr auto* footer = R"(
Exit status: 0 done; 1 refused, nothing was changed; 2 wrong usage or settings;
3 unknown, the change may have been made; 4 accepted, but not in force in time.

Examples:
  fuchsiactl --settings ctl.toml contract put estate-owners.json --wait
  fuchsiactl --settings ctl.toml contract show estate-owners > estate-owners.json
  fuchsiactl --settings ctl.toml data-centre out kochi-a --wait --timeout 30
  fuchsiactl --settings ctl.toml job list --state running --json
  fuchsiactl --settings ctl.toml pool job 5c0e7a21d94b36f8
  fuchsiactl settings check fuchsia-entry entry.toml

FUCHSIACTL_SETTINGS may name the settings file in place of --settings.
Error numbers: docs/ERRORS.md.)";

constexpr std::int64_t max_wait_seconds = 3600;

/// Parser of the command line; each subcommand sets `line_.selected_command`.
class command_parser
{
public:
    command_parser()
    {
        app_.footer(footer);
        app_.set_version_flag("--version", FUCHSIA_VERSION);
        app_.require_subcommand(1);
        app_.fallthrough();
        app_.add_option("--settings", line_.settings, "Settings file (TOML)")
            ->envname("FUCHSIACTL_SETTINGS");
        app_.add_flag(
            "--json", line_.json, "Print the planner's JSON for scripts");
        add_contracts();
        add_data_centres();
        add_jobs();
        add_pool();
        add_rest();
    }

    CLI::App& app() noexcept
    {
        return app_;
    }

    command_line line()
    {
        line_.timeout = std::chrono::seconds(wait_seconds_);
        if (*if_revision_set_)
        {
            line_.if_revision = static_cast<std::uint64_t>(if_revision_);
        }
        return std::move(line_);
    }

private:
    static CLI::App& add_group(CLI::App& parent,
                               std::string const& name,
                               std::string const& about)
    {
        auto& group = *parent.add_subcommand(name, about);
        group.require_subcommand(1);
        group.fallthrough();
        return group;
    }

    /// Adds a command that sets `line_.selected_command` to the result of
    /// `make`.
    template<class Make>
    CLI::App& add_command(CLI::App& group,
                          std::string const& name,
                          std::string const& about,
                          Make make)
    {
        auto& added = *group.add_subcommand(name, about);
        added.fallthrough();
        added.callback(
            [this, make]
            {
                line_.selected_command = make();
            });
        return added;
    }

    void add_name(CLI::App& target, std::string const& label)
    {
        target.add_option(label, name_)
            ->required()
            ->check(
                [](std::string const& text)
                {
                    return core::config::is_valid_name(text)
                               ? std::string{}
                               : "a name has 1 to 64 lower-case letters, "
                                 "digits and hyphens";
                });
    }

    void add_change_options(CLI::App& target)
    {
        target.add_flag(
            "--wait",
            line_.wait,
            "Wait until the change is in force everywhere; list the members "
            "that have not reported it in time");
        target.add_option("--timeout", wait_seconds_, "Seconds to wait")
            ->check(CLI::Range(std::int64_t{1}, max_wait_seconds))
            ->capture_default_str();
        if_revision_set_.add(
            target
                .add_option("--if-revision",
                            if_revision_,
                            "Refuse the change if its target was changed after "
                            "this revision")
                ->check(
                    CLI::Range(std::int64_t{0}, core::config::max_revision)));
    }

    void add_contracts()
    {
        auto& group =
            add_group(app_, "contract", "Contracts: limits of each customer");
        auto& put = add_command(group,
                                "put",
                                "Create or replace a contract",
                                [this]
                                {
                                    return contract_put{file_};
                                });
        put.add_option("FILE", file_, "Contract (JSON)")->required();
        add_change_options(put);
        auto& show = add_command(group,
                                 "show",
                                 "Print a contract as JSON, ready to edit",
                                 [this]
                                 {
                                     return contract_show{name_};
                                 });
        add_name(show, "NAME");
        add_command(group,
                    "list",
                    "List all contracts",
                    []
                    {
                        return contract_list{};
                    });
        auto& withdraw = add_command(
            group,
            "withdraw",
            "Refuse new work of a customer; running work may finish",
            [this]
            {
                return contract_withdraw{name_};
            });
        add_name(withdraw, "NAME");
        add_change_options(withdraw);
    }

    void add_data_centres()
    {
        auto& group = add_group(
            app_, "data-centre", "Data centres in and out of service");
        for (bool const out : {true, false})
        {
            auto& set = add_command(
                group,
                out ? "out" : "in",
                out ? "Take a data centre out of service and evict its tasks"
                    : "Put a data centre back into service",
                [this, out]
                {
                    return data_centre_set{name_, out, is_new_};
                });
            add_name(set, "NAME");
            set.add_flag(
                "--new", is_new_, "Allow a name that is not yet in use");
            add_change_options(set);
        }
        add_command(group,
                    "list",
                    "List all known data centres",
                    []
                    {
                        return data_centre_list{};
                    });
    }

    void add_jobs()
    {
        auto& group = add_group(app_, "job", "Jobs: tasks on workers");
        auto& submit =
            add_command(group,
                        "submit",
                        "Submit a job; submitting it again has no effect",
                        [this]
                        {
                            return job_submit{file_};
                        });
        submit.add_option("FILE", file_, "Job (JSON)")->required();
        auto& show = add_command(group,
                                 "show",
                                 "Show a job and its tasks",
                                 [this]
                                 {
                                     return job_show{name_};
                                 });
        show.add_option("ID", name_)->required();
        auto& list = add_command(group,
                                 "list",
                                 "List jobs",
                                 [this]
                                 {
                                     return job_list{state_};
                                 });
        list.add_option("--state", state_, "Only jobs in this state");
        auto& cancel = add_command(group,
                                   "cancel",
                                   "Cancel a job",
                                   [this]
                                   {
                                       return job_cancel{name_};
                                   });
        cancel.add_option("ID", name_)->required();
    }

    void add_pool_query(CLI::App& group,
                        std::string const& name,
                        std::string const& about,
                        pool_subject subject)
    {
        add_command(group,
                    name,
                    about,
                    [subject]
                    {
                        return pool_query{subject, {}};
                    });
    }

    void add_pool()
    {
        auto& group = add_group(app_, "pool", "Jobs on a pool of workers");
        add_pool_query(group,
                       "status",
                       "State of each instance and for how long the owner has "
                       "owned the pool; lists instances without an answer",
                       pool_subject::instances);
        add_pool_query(group,
                       "workers",
                       "Workers, their load, leases and last signs of life",
                       pool_subject::workers);
        add_pool_query(group,
                       "jobs",
                       "Unfinished jobs in queue order",
                       pool_subject::jobs);
        auto& job = add_command(group,
                                "job",
                                "One job: its tasks and attempts, and why it "
                                "waits",
                                [this]
                                {
                                    return pool_query{pool_subject::job, name_};
                                });
        job.add_option("ID", name_)->required();
    }

    void add_rest()
    {
        add_command(app_,
                    "status",
                    "Show members, partitions, workers and tasks",
                    []
                    {
                        return show_status{};
                    });
        auto& members =
            add_group(app_, "member", "Members: entry and planner processes");
        auto& remove = add_command(
            members,
            "remove",
            "Fence a member that has ended together with its witnesses",
            [this]
            {
                return member_remove{role_, name_};
            });
        remove.add_option("ROLE", role_)
            ->required()
            ->check(CLI::IsMember({"entry", "planner"}));
        remove.add_option("NAME", name_)->required();
        remove
            .add_flag("--gone",
                      confirmed_gone_,
                      "Confirm that the process of the member has ended. If it "
                      "still runs, cut off from the store, it may continue "
                      "to act beside its successor")
            ->required();
        auto& settings = add_group(app_, "settings", "Settings files");
        auto& check = add_command(settings,
                                  "check",
                                  "Check a settings file without running it",
                                  [this]
                                  {
                                      return settings_check{binary_, file_};
                                  });
        check
            .add_option("BINARY",
                        binary_,
                        "fuchsia-entry, fuchsia-planner, fuchsia-pool, "
                        "fuchsiactl")
            ->required();
        check.add_option("FILE", file_)->required();
    }

    /// One option that several commands share.
    struct option_group
    {
        std::vector<CLI::Option*> options;

        void add(CLI::Option* option)
        {
            options.push_back(option);
        }

        bool operator*() const
        {
            return std::any_of(options.begin(),
                               options.end(),
                               [](CLI::Option const* option)
                               {
                                   return option->count() != 0;
                               });
        }
    };

    CLI::App app_{"Contracts, data centres, jobs and status of fuchsialanding.",
                  "fuchsiactl"};
    command_line line_;
    std::string file_;
    std::string name_;
    std::string state_;
    std::string role_;
    std::string binary_;
    bool is_new_ = false;
    bool confirmed_gone_ = false;
    std::int64_t wait_seconds_ = 14;
    std::int64_t if_revision_ = 0;
    option_group if_revision_set_;
};

} // namespace

std::optional<command_line> parse_command_line(int count,
                                               char const* const* arguments,
                                               std::ostream& out,
                                               std::ostream& error,
                                               exit_status& status)
{
    command_parser parser;
    try
    {
        parser.app().parse(count, arguments);
    }
    catch (CLI::ParseError const& parse_error)
    {
        status = parser.app().exit(parse_error, out, error) == 0
                     ? exit_status::done
                     : exit_status::usage;
        return std::nullopt;
    }
    return parser.line();
}

} // namespace fuchsia::programs::ctl
