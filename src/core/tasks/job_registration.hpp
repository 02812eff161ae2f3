#pragma once

#include "core/common/result_code.hpp"
#include "core/tasks/job.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::tasks
{

std::string job_registration_key(std::string const& job);

/// Value of the store key `jobs/<id>`.
struct job_registration
{
    std::string writer;
    std::string cell;
    job definition;
};

std::string to_json(job_registration const& value);
std::optional<job_registration> parse_registration(std::string_view text,
                                                   common::failure& reason);

} // namespace fuchsia::core::tasks
