#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>

namespace fuchsia::programs::ctl
{

/// Exit status of `fuchsiactl`, for scripts.
enum class exit_status : std::uint8_t
{
    done = 0,
    refused = 1, ///< Nothing was changed.
    usage = 2,   ///< Wrong command line or settings; no request was sent.
    unknown = 3, ///< The change may have been made.
    timeout = 4, ///< Accepted, but not in force everywhere within the time-out.
};

struct contract_put
{
    std::string file;
};

struct contract_show
{
    std::string customer;
};

struct contract_list
{
};

struct contract_withdraw
{
    std::string customer;
};

struct data_centre_set
{
    std::string name;
    bool out = false;
    bool is_new = false; ///< Allows a name that is not yet in use.
};

struct data_centre_list
{
};

struct job_submit
{
    std::string file;
};

struct job_show
{
    std::string id;
};

struct job_list
{
    std::string state; ///< State of the listed jobs; empty for all jobs.
};

struct job_cancel
{
    std::string id;
};

struct show_status
{
};

struct member_remove
{
    std::string role;
    std::string name;
};

enum class pool_subject : std::uint8_t
{
    instances,
    workers,
    jobs,
    job,
};

/// Query to the instances of a pool.
struct pool_query
{
    pool_subject subject = pool_subject::instances;
    std::string id; ///< Id of the job, for `pool_subject::job`.
};

struct settings_check
{
    std::string binary;
    std::string file;
};

using command = std::variant<contract_put,
                             contract_show,
                             contract_list,
                             contract_withdraw,
                             data_centre_set,
                             data_centre_list,
                             job_submit,
                             job_show,
                             job_list,
                             job_cancel,
                             show_status,
                             member_remove,
                             pool_query,
                             settings_check>;

struct command_line
{
    std::string settings; ///< Path of the settings file.
    bool json = false;
    bool wait = false; ///< Wait until the change is in force everywhere.
    core::common::duration timeout = std::chrono::seconds(14);
    std::optional<std::uint64_t> if_revision;
    command selected_command;
};

/// Parses the arguments. Empty if there is no command to run; help, the version
/// or an error message has then been printed, and `status` is the exit status.
std::optional<command_line> parse_command_line(int count,
                                               char const* const* arguments,
                                               std::ostream& out,
                                               std::ostream& error,
                                               exit_status& status);

} // namespace fuchsia::programs::ctl
