#include "core/pool/job.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

namespace json = boost::json;

// Maximum number of tasks in a limit of a step. The value is larger than the
// number of tasks of any step, so a higher limit would have no effect.
constexpr std::int64_t max_task_limit = 1'000'000;
constexpr std::size_t max_id_bytes = 64;
constexpr std::int64_t max_integer = std::int64_t{1} << 52;

json::object step_to_json(step const& value)
{
    json::object out{{"count", value.count},
                     {"cores", value.declared.millicores},
                     {"memory", value.declared.memory_mb},
                     {"accelerators", value.declared.accelerators},
                     {"estimate_ms", common::to_milliseconds(value.estimate)},
                     {"after", json::value_from(value.after)}};
    auto const flag = [&out](char const* key, bool enabled)
    {
        if (enabled)
        {
            out[key] = true;
        }
    };
    auto const text = [&out](char const* key, std::string const& content)
    {
        if (!content.empty())
        {
            out[key] = content;
        }
    };
    flag("checkpoints", value.checkpoints);
    flag("gang", value.gang);
    flag("same_rack", value.same_rack);
    flag("speculative", value.speculative);
    flag("lasting", value.long_running);
    flag("fills", value.best_effort);
    text("label", value.required_label);
    text("near_rack", value.near_rack);
    text("image", value.image);
    out["max_per_worker"] = value.max_per_worker;
    out["may_miss"] = value.max_unavailable;
    out["tail_target_ms"] = common::to_milliseconds(value.tail_target);
    return out;
}

step step_from_json(common::json_reader& in)
{
    auto const number = [&in](char const* key)
    {
        return in.integer_or(key, 0, 0, max_integer);
    };
    step value;
    value.count = static_cast<std::uint32_t>(
        in.integer_or("count", 1, 1, max_tasks_per_step));
    value.declared = {
        number("cores"), number("memory"), number("accelerators")};
    value.estimate = std::chrono::milliseconds(number("estimate_ms"));
    value.checkpoints = in.flag_or("checkpoints", false);
    value.gang = in.flag_or("gang", false);
    value.same_rack = in.flag_or("same_rack", false);
    value.speculative = in.flag_or("speculative", false);
    value.long_running = in.flag_or("lasting", false);
    value.best_effort = in.flag_or("fills", false);
    value.required_label = in.text_or("label", "");
    value.near_rack = in.text_or("near_rack", "");
    value.image = in.text_or("image", "");
    value.max_per_worker = static_cast<std::uint32_t>(
        in.integer_or("max_per_worker", 0, 0, max_task_limit));
    value.max_unavailable = static_cast<std::uint32_t>(
        in.integer_or("may_miss", 0, 0, max_task_limit));
    value.tail_target = std::chrono::milliseconds(number("tail_target_ms"));
    value.after = earlier_steps(in, "after");
    return value;
}

common::failure malformed(std::string location, std::string reason)
{
    return {common::result_code::malformed_job,
            std::move(location),
            std::move(reason)};
}

bool is_valid_resource(std::int64_t size)
{
    return 0 <= size && size <= max_resource_value;
}

std::optional<common::failure>
check_step(step const& value, std::size_t number, std::string const& location)
{
    if (value.count == 0 || value.count > max_tasks_per_step)
    {
        return malformed(location + ".count", "1 to 10000 tasks are allowed");
    }
    auto const& size = value.declared;
    if (!is_valid_resource(size.millicores) ||
        !is_valid_resource(size.memory_mb) ||
        !is_valid_resource(size.accelerators))
    {
        return malformed(location,
                         "a resource is not between 0 and 1000000000");
    }
    if (value.estimate > max_duration || value.tail_target > max_duration)
    {
        return malformed(location, "a duration is longer than 366 days");
    }
    if (value.required_label.size() > max_name_bytes ||
        value.near_rack.size() > max_name_bytes ||
        value.image.size() > max_name_bytes)
    {
        return malformed(location, "a name is longer than 256 bytes");
    }
    for (auto const earlier : value.after)
    {
        if (earlier >= number)
        {
            return malformed(location + ".after",
                             "only earlier steps are allowed");
        }
    }
    return std::nullopt;
}

} // namespace

common::duration job::longest_chain() const
{
    std::vector<common::duration> ends;
    common::duration longest{};
    for (auto const& current : steps)
    {
        common::duration begin{};
        for (auto const earlier : current.after)
        {
            begin = std::max(begin, ends[earlier]);
        }
        ends.push_back(begin + current.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::string to_json(job const& value)
{
    json::array steps;
    for (auto const& current : value.steps)
    {
        steps.push_back(step_to_json(current));
    }
    json::object out{{"id", value.id},
                     {"queue", value.queue},
                     {"spec", value.spec},
                     {"steps", std::move(steps)},
                     {"occurrences", value.occurrences},
                     {"first_unix_ms", value.first_unix_ms},
                     {"interval_ms", value.interval_ms},
                     {"accepted_unix_ms", value.accepted_unix_ms}};
    return json::serialize(out);
}

std::optional<job> parse_job(std::string_view text, common::failure& reason)
{
    auto const object = common::parse_json_object(text, "job", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader in(*object, "job");
    job value;
    value.id = in.text("id");
    value.queue = in.text("queue");
    value.spec = in.text_or("spec", "");
    value.occurrences = static_cast<std::uint32_t>(
        in.integer_or("occurrences", 1, 1, max_occurrences));
    value.first_unix_ms = in.integer_or("first_unix_ms", 0, 0, max_integer);
    value.interval_ms = in.integer_or("interval_ms", 0, 0, max_integer);
    value.accepted_unix_ms =
        in.integer_or("accepted_unix_ms", 0, 0, max_integer);
    auto const* steps = in.array("steps");
    for (std::size_t number = 0; steps != nullptr && number < steps->size();
         ++number)
    {
        if (!(*steps)[number].is_object())
        {
            reason = malformed("job.steps", "every step must be an object");
            return std::nullopt;
        }
        common::json_reader step_reader((*steps)[number].as_object(),
                                        "job.steps[" + std::to_string(number) +
                                            "]");
        value.steps.push_back(step_from_json(step_reader));
        if (!step_reader.ok())
        {
            reason = step_reader.reason();
            return std::nullopt;
        }
    }
    if (!in.ok())
    {
        reason = in.reason();
        return std::nullopt;
    }
    if (!is_job_id(value.id))
    {
        reason = malformed("job.id", "1 to 64 letters, digits, - and _");
        return std::nullopt;
    }
    if (auto problem = validate_job(value))
    {
        reason = std::move(*problem);
        return std::nullopt;
    }
    return value;
}

bool is_job_id(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= max_id_bytes &&
           std::all_of(text.begin(),
                       text.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '-' ||
                                  c == '_';
                       });
}

std::vector<std::uint32_t> earlier_steps(common::json_reader& in,
                                         std::string_view key)
{
    std::vector<std::uint32_t> numbers;
    auto const* const list = in.array(key);
    for (std::size_t index = 0; list != nullptr && index < list->size();
         ++index)
    {
        auto const* const number = (*list)[index].if_int64();
        if (number == nullptr || *number < 0 ||
            *number >= static_cast<std::int64_t>(max_steps))
        {
            in.fail(common::result_code::wrong_type,
                    key,
                    "the number of an earlier step is expected");
            return numbers;
        }
        numbers.push_back(static_cast<std::uint32_t>(*number));
    }
    return numbers;
}

std::optional<common::failure> validate_job(job const& value)
{
    if (value.steps.empty() || value.steps.size() > max_steps)
    {
        return malformed("job.steps", "1 to 256 steps are required");
    }
    if (value.spec.size() > max_spec_bytes)
    {
        return malformed("job.spec", "longer than 16 KiB");
    }
    if (value.occurrences > max_occurrences)
    {
        return malformed("job.occurrences", "more than 10000");
    }
    if (std::chrono::milliseconds(value.interval_ms) > max_duration)
    {
        return malformed("job.interval", "longer than 366 days");
    }
    std::uint64_t tasks = 0;
    for (std::size_t number = 0; number < value.steps.size(); ++number)
    {
        auto const location = "job.steps[" + std::to_string(number) + "]";
        if (auto problem = check_step(value.steps[number], number, location))
        {
            return problem;
        }
        tasks += std::uint64_t{value.steps[number].count} * value.occurrences;
    }
    if (tasks > max_tasks)
    {
        return malformed("job.steps",
                         std::to_string(tasks) + " tasks, 20000 are allowed");
    }
    return std::nullopt;
}

} // namespace fuchsia::core::pool
