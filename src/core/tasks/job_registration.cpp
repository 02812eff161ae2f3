#include "core/tasks/job_registration.hpp"

#include "core/common/json.hpp"

#include <utility>

namespace fuchsia::core::tasks
{

namespace json = boost::json;

std::string job_registration_key(std::string const& job)
{
    return "jobs/" + job;
}

std::string to_json(job_registration const& value)
{
    return json::serialize(
        json::object{{"w", value.writer},
                     {"cell", value.cell},
                     {"job", json::parse(to_json(value.definition))}});
}

std::optional<job_registration> parse_registration(std::string_view text,
                                                   common::failure& reason)
{
    auto const object = common::parse_json_object(text, "jobs", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "jobs");
    job_registration out;
    out.writer = reader.text("w");
    out.cell = reader.text("cell");
    auto const* inner = reader.object("job");
    if (inner == nullptr)
    {
        reader.fail(
            common::result_code::missing_key, "job", "an object is expected");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    auto definition = parse_job(json::serialize(*inner), reason);
    if (!definition)
    {
        return std::nullopt;
    }
    out.definition = std::move(*definition);
    return out;
}

} // namespace fuchsia::core::tasks
