#include "core/pool/progress.hpp"

#include "core/common/json.hpp"

#include <array>

namespace fuchsia::core::pool
{

namespace
{

namespace json = boost::json;

// A task is a row of these columns, in this order; it stands a hundred times
// in a large job's record.
constexpr std::size_t column_count = 7;

std::optional<progress::task> task_from(json::value const& row)
{
    if (!row.is_array() || row.as_array().size() != column_count)
    {
        return std::nullopt;
    }
    auto const& cells = row.as_array();
    std::array<std::uint32_t, column_count - 1> numbers{};
    for (std::size_t column = 0; column < numbers.size(); ++column)
    {
        auto const* const number = cells[column].if_int64();
        if (number == nullptr || *number < 0)
        {
            return std::nullopt;
        }
        numbers[column] = static_cast<std::uint32_t>(*number);
    }
    auto const* const checkpoint = cells[column_count - 1].if_string();
    if (checkpoint == nullptr)
    {
        return std::nullopt;
    }
    return progress::task{numbers[0],
                          numbers[1],
                          numbers[2],
                          numbers[3] != 0,
                          numbers[4],
                          numbers[5],
                          std::string(*checkpoint)};
}

} // namespace

std::string to_json(progress const& value)
{
    json::array rows;
    for (auto const& each : value.tasks)
    {
        rows.push_back(json::array{each.occurrence,
                                   each.step,
                                   each.index,
                                   each.done ? 1 : 0,
                                   each.failures,
                                   each.last_failed,
                                   each.checkpoint});
    }
    return json::serialize(
        json::object{{"job", value.job}, {"tasks", std::move(rows)}});
}

std::optional<progress> parse_progress(std::string_view text,
                                       common::failure& reason)
{
    auto const object = common::parse_json_object(text, "progress", reason);
    if (!object)
    {
        return std::nullopt;
    }
    common::json_reader in(*object, "progress");
    progress value;
    value.job = in.text("job");
    auto const* rows = in.array("tasks");
    for (std::size_t number = 0; rows != nullptr && number < rows->size();
         ++number)
    {
        auto row = task_from((*rows)[number]);
        if (!row)
        {
            in.fail(common::result_code::wrong_type,
                    "tasks",
                    "row " + std::to_string(number) + " is no task");
            break;
        }
        value.tasks.push_back(std::move(*row));
    }
    if (!in.ok())
    {
        reason = in.reason();
        return std::nullopt;
    }
    return value;
}

} // namespace fuchsia::core::pool
