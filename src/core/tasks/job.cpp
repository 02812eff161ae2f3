#include "core/tasks/job.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

constexpr std::int64_t max_millicores = 10'000'000;
constexpr std::int64_t max_memory_mb = 100'000'000;
constexpr std::int64_t max_accelerators = 10'000;
constexpr std::int64_t max_tasks = 10'000;
constexpr std::int64_t max_work_ms = 30LL * 24 * 3'600'000;
constexpr std::size_t max_name_bytes = 96;

constexpr std::array<std::string_view, 2> kind_names{"service", "batch"};

// Whether `name` is allowed as an id. Ids become part of store keys and of task
// names, which are split at '/', so that they must not contain one.
bool is_name(std::string_view name) noexcept
{
    auto const allowed = [](char letter)
    {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '_' || letter == '.';
    };
    return !name.empty() && name.size() <= max_name_bytes &&
           std::all_of(name.begin(), name.end(), allowed);
}

void check(job const& value, std::string_view kind, common::json_reader& reader)
{
    using common::result_code;
    constexpr auto* name_rule = "1 to 96 letters, digits, '-', '_' or '.'";
    if (!is_name(value.id))
    {
        reader.fail(result_code::malformed_job, "id", name_rule);
    }
    if (!is_name(value.customer))
    {
        reader.fail(result_code::malformed_job, "customer", name_rule);
    }
    if (!is_name(value.task_class))
    {
        reader.fail(result_code::malformed_job, "class", name_rule);
    }
    if (!value.data_centre.empty() && !is_name(value.data_centre))
    {
        reader.fail(result_code::malformed_job, "data_centre", name_rule);
    }
    if (std::find(kind_names.begin(), kind_names.end(), kind) ==
        kind_names.end())
    {
        reader.fail(result_code::malformed_job, "kind", "service or batch");
    }
    if (value.kind == job_kind::batch && value.work_ms == 0)
    {
        reader.fail(
            result_code::malformed_job, "work_ms", "a batch job needs work");
    }
}

} // namespace

std::string_view name_of(job_kind value) noexcept
{
    return kind_names[static_cast<std::size_t>(value)];
}

std::optional<job> parse_job(std::string_view json, common::failure& reason)
{
    auto const object = common::parse_json_object(json, "job", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "job");
    reader.allow_only({"id",
                       "customer",
                       "kind",
                       "class",
                       "millicores",
                       "memory_mb",
                       "accelerators",
                       "tasks",
                       "work_ms",
                       "checkpointable",
                       "urgent",
                       "data_centre"});
    job value;
    value.id = reader.text("id");
    value.customer = reader.text("customer");
    std::string const kind = reader.text("kind");
    value.kind = kind == "service" ? job_kind::service : job_kind::batch;
    value.task_class = reader.text("class");
    value.declared.millicores = reader.integer("millicores", 1, max_millicores);
    value.declared.memory_mb = reader.integer("memory_mb", 0, max_memory_mb);
    value.declared.accelerators =
        reader.integer_or("accelerators", 0, 0, max_accelerators);
    value.tasks =
        static_cast<std::uint32_t>(reader.integer_or("tasks", 1, 1, max_tasks));
    value.work_ms = static_cast<std::uint64_t>(
        reader.integer_or("work_ms", 0, 0, max_work_ms));
    value.checkpointable = reader.flag_or("checkpointable", false);
    value.urgent = reader.flag_or("urgent", false);
    value.data_centre = reader.text_or("data_centre", "");
    check(value, kind, reader);
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return value;
}

std::string to_json(job const& value)
{
    boost::json::object const object{
        {"id", value.id},
        {"customer", value.customer},
        {"kind", name_of(value.kind)},
        {"class", value.task_class},
        {"millicores", value.declared.millicores},
        {"memory_mb", value.declared.memory_mb},
        {"accelerators", value.declared.accelerators},
        {"tasks", value.tasks},
        {"work_ms", value.work_ms},
        {"checkpointable", value.checkpointable},
        {"urgent", value.urgent},
        {"data_centre", value.data_centre},
    };
    return boost::json::serialize(object);
}

} // namespace fuchsia::core::tasks
