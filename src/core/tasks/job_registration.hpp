#pragma once

#include "core/common/result_code.hpp"
#include "core/tasks/job.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::tasks
{

std::string registry_key(std::string const& job);

/// The value of `jobs/<id>`.
struct registration
{
    std::string writer;
    std::string cell;
    job what;
};

std::string to_json(registration const& value);
std::optional<registration> parse_registration(std::string_view text,
                                               common::failure& reason);

} // namespace fuchsia::core::tasks
