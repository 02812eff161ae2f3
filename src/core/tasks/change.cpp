#include "core/tasks/change.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 6> outcome_names{
    "finished", "failed", "refused", "stopped", "lost", "unsent"};
constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_int32 = std::numeric_limits<std::int32_t>::max();

json::array strings(std::vector<std::string> const& values)
{
    json::array out;
    for (auto const& item : values)
    {
        out.emplace_back(item);
    }
    return out;
}

json::object encoded(inbox_message const& value)
{
    json::array tasks;
    for (auto const& task : value.tasks)
    {
        tasks.emplace_back(json::object{{"i", task.index},
                                        {"a", task.attempt},
                                        {"c", task.checkpoint},
                                        {"f", strings(task.failed_workers)}});
    }
    return {{"name", value.name},
            {"job", json::parse(to_json(value.definition))},
            {"moves", value.moves},
            {"tasks", std::move(tasks)}};
}

json::object encoded(message_accepted const& value)
{
    return {{"k", "taken"}, {"p", encoded(value.message)}};
}

json::object encoded(attempt_started const& value)
{
    return {{"k", "started"},
            {"t", task_name(value.task)},
            {"a", value.attempt},
            {"w", value.worker},
            {"s", value.start_before_ms},
            {"l", value.lease_until_ms}};
}

json::object encoded(attempt_ended const& value)
{
    return {{"k", "ended"},
            {"t", task_name(value.task)},
            {"a", value.attempt},
            {"h", name_of(value.outcome)},
            {"y", value.why}};
}

json::object encoded(checkpoint_taken const& value)
{
    return {{"k", "checkpoint"},
            {"t", task_name(value.task)},
            {"a", value.attempt},
            {"c", value.checkpoint}};
}

json::object encoded(job_stopped const& value)
{
    return {{"k", "stopped"},
            {"j", value.job},
            {"n", static_cast<std::uint16_t>(value.code)},
            {"y", value.why}};
}

json::object encoded(transfer_started const& value)
{
    return {{"k", "left"},
            {"p", value.message_name},
            {"to", value.target_cell},
            {"j", value.job},
            {"m", value.moves},
            {"t", json::value_from(value.tasks)}};
}

json::object encoded(transfer_completed const& value)
{
    return {{"k", "arrived"}, {"p", value.message_name}};
}

json::object encoded(job_removed const& value)
{
    return {{"k", "forgotten"}, {"j", value.job}};
}

std::vector<std::string> read_strings(common::json_reader& reader,
                                      std::string_view key)
{
    std::vector<std::string> out;
    auto const* array = reader.array(key);
    if (array == nullptr)
    {
        return out;
    }
    for (auto const& item : *array)
    {
        if (!item.is_string())
        {
            reader.fail(common::result_code::wrong_type, key, "not a string");
            return out;
        }
        out.emplace_back(item.as_string());
    }
    return out;
}

std::uint64_t read_number(common::json_reader& reader, std::string_view key)
{
    return static_cast<std::uint64_t>(reader.integer(key, 0, max_int64));
}

std::uint32_t read_count(common::json_reader& reader, std::string_view key)
{
    return static_cast<std::uint32_t>(reader.integer(key, 0, max_int32));
}

std::optional<transferred_task> read_task(json::value const& item,
                                          common::failure& reason)
{
    if (!item.is_object())
    {
        reason = {common::result_code::wrong_type,
                  "inbox message.tasks",
                  "an object is expected"};
        return std::nullopt;
    }
    common::json_reader reader(item.as_object(), "inbox message.tasks");
    transferred_task task;
    task.index = read_count(reader, "i");
    task.attempt = read_count(reader, "a");
    task.checkpoint = reader.text("c");
    task.failed_workers = read_strings(reader, "f");
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return task;
}

std::optional<inbox_message> read_inbox_message(json::object const& object,
                                                common::failure& reason)
{
    common::json_reader reader(object, "inbox message");
    inbox_message value;
    value.name = reader.text("name");
    value.moves = read_count(reader, "moves");
    auto const* job_object = reader.object("job");
    auto const* tasks = reader.array("tasks");
    if (!reader.ok() || job_object == nullptr || tasks == nullptr)
    {
        reason = reader.ok() ? common::failure{common::result_code::missing_key,
                                               "inbox message",
                                               "job or tasks is missing"}
                             : reader.reason();
        return std::nullopt;
    }
    auto definition = parse_job(json::serialize(*job_object), reason);
    if (!definition)
    {
        return std::nullopt;
    }
    value.definition = std::move(*definition);
    for (auto const& item : *tasks)
    {
        auto task = read_task(item, reason);
        if (!task)
        {
            return std::nullopt;
        }
        value.tasks.push_back(std::move(*task));
    }
    return value;
}

task_key read_task_key(common::json_reader& reader)
{
    auto key = parse_task_name(reader.text("t"));
    if (!key)
    {
        reader.fail(common::result_code::malformed_job, "t", "not a task name");
        return {};
    }
    return *key;
}

attempt_outcome read_outcome(common::json_reader& reader)
{
    std::string const name = reader.text("h");
    auto const* const found =
        std::find(outcome_names.begin(), outcome_names.end(), name);
    if (found == outcome_names.end())
    {
        reader.fail(
            common::result_code::out_of_range, "h", "unknown attempt outcome");
        return attempt_outcome::lost; // Ignored: the reader has failed.
    }
    return static_cast<attempt_outcome>(found - outcome_names.begin());
}

common::result_code read_code(common::json_reader& reader)
{
    auto const number = reader.integer("n", 0, 65535);
    for (auto const& row : common::result_code_table)
    {
        if (static_cast<std::int64_t>(row.code) == number)
        {
            return row.code;
        }
    }
    reader.fail(common::result_code::out_of_range, "n", "unknown result code");
    return common::result_code::job_cancelled; // Ignored: the reader failed.
}

std::vector<std::uint32_t> read_indexes(common::json_reader& reader)
{
    std::vector<std::uint32_t> out;
    auto const* array = reader.array("t");
    if (array == nullptr)
    {
        return out;
    }
    for (auto const& item : *array)
    {
        boost::json::error_code error;
        out.push_back(item.to_number<std::uint32_t>(error));
        if (error)
        {
            reader.fail(common::result_code::wrong_type, "t", "not a number");
        }
    }
    return out;
}

std::optional<change> read_change(json::object const& object,
                                  common::failure& reason)
{
    common::json_reader reader(object, "change");
    std::string const kind = reader.text("k");
    std::optional<change> out;
    if (kind == "taken")
    {
        auto const* inner = reader.object("p");
        if (inner == nullptr)
        {
            reason = {common::result_code::missing_key,
                      "change.p",
                      "an object is expected"};
            return std::nullopt;
        }
        auto message = read_inbox_message(*inner, reason);
        if (!message)
        {
            return std::nullopt;
        }
        out = message_accepted{std::move(*message)};
    }
    else if (kind == "started")
    {
        out = attempt_started{read_task_key(reader),
                              read_count(reader, "a"),
                              reader.text("w"),
                              read_number(reader, "s"),
                              read_number(reader, "l")};
    }
    else if (kind == "ended")
    {
        out = attempt_ended{read_task_key(reader),
                            read_count(reader, "a"),
                            read_outcome(reader),
                            reader.text("y")};
    }
    else if (kind == "checkpoint")
    {
        out = checkpoint_taken{
            read_task_key(reader), read_count(reader, "a"), reader.text("c")};
    }
    else if (kind == "stopped")
    {
        out =
            job_stopped{reader.text("j"), read_code(reader), reader.text("y")};
    }
    else if (kind == "left")
    {
        out = transfer_started{reader.text("p"),
                               reader.text("to"),
                               reader.text("j"),
                               read_indexes(reader),
                               read_count(reader, "m")};
    }
    else if (kind == "arrived")
    {
        out = transfer_completed{reader.text("p")};
    }
    else if (kind == "forgotten")
    {
        out = job_removed{reader.text("j")};
    }
    else
    {
        reader.fail(common::result_code::out_of_range, "k", "unknown change");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    return out;
}

} // namespace

std::string task_name(task_key const& key)
{
    return key.job + "/" + std::to_string(key.index);
}

std::optional<task_key> parse_task_name(std::string_view name)
{
    auto const slash = name.rfind('/');
    if (slash == std::string_view::npos || slash == 0)
    {
        return std::nullopt;
    }
    task_key key{std::string(name.substr(0, slash)), 0};
    auto const digits = name.substr(slash + 1);
    auto const* const end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, key.index);
    if (parsed.ec != std::errc{} || parsed.ptr != end || digits.empty())
    {
        return std::nullopt;
    }
    return key;
}

std::string_view name_of(attempt_outcome value) noexcept
{
    return outcome_names[static_cast<std::size_t>(value)];
}

std::string to_json(inbox_message const& value)
{
    return json::serialize(encoded(value));
}

std::optional<inbox_message> parse_inbox_message(std::string_view json,
                                                 common::failure& reason)
{
    auto const object =
        common::parse_json_object(json, "inbox message", reason);
    return object ? read_inbox_message(*object, reason) : std::nullopt;
}

inbox_message make_submission_message(job const& definition)
{
    inbox_message out;
    out.name = definition.id;
    out.definition = definition;
    for (std::uint32_t index = 0; index < definition.tasks; ++index)
    {
        out.tasks.push_back({index, 0, {}, {}});
    }
    return out;
}

std::string to_json(log_record const& value)
{
    json::array changes;
    for (auto const& item : value.changes)
    {
        std::visit(
            [&changes](auto const& alternative)
            {
                changes.emplace_back(encoded(alternative));
            },
            item);
    }
    return json::serialize(json::object{{"n", value.number},
                                        {"e", value.epoch},
                                        {"w", value.writer},
                                        {"c", std::move(changes)}});
}

std::optional<log_record> parse_log_record(std::string_view json,
                                           common::failure& reason)
{
    auto const object = common::parse_json_object(json, "record", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader reader(*object, "record");
    log_record value;
    value.number = read_number(reader, "n");
    value.epoch = read_number(reader, "e");
    value.writer = reader.text("w");
    auto const* changes = reader.array("c");
    if (changes == nullptr)
    {
        reader.fail(
            common::result_code::missing_key, "c", "a list is expected");
    }
    if (!reader.ok())
    {
        reason = reader.reason();
        return std::nullopt;
    }
    for (auto const& item : *changes)
    {
        if (!item.is_object())
        {
            reason = {common::result_code::wrong_type,
                      "record.c",
                      "an object is expected"};
            return std::nullopt;
        }
        auto parsed = read_change(item.as_object(), reason);
        if (!parsed)
        {
            return std::nullopt;
        }
        value.changes.push_back(std::move(*parsed));
    }
    return value;
}

} // namespace fuchsia::core::tasks
