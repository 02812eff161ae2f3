#include "core/pool/progress.hpp"

#include "core/common/json.hpp"

namespace fuchsia::core::pool
{

namespace
{

namespace json = boost::json;

// Columns of the row of a task, in this order. Rows are arrays without names,
// since a large job's record contains a hundred of them.
enum column : std::size_t
{
    occurrence_column,
    step_column,
    index_column,
    done_column,
    failures_column,
    checkpoint_column,
    column_count,
};

// Maximum number of an occurrence, a step, an index or an attempt.
constexpr std::int64_t max_number = 1'000'000'000;

std::optional<std::vector<std::uint32_t>> numbers_from(json::value const& list)
{
    auto const* const cells = list.if_array();
    if (cells == nullptr)
    {
        return std::nullopt;
    }
    std::vector<std::uint32_t> numbers;
    for (auto const& cell : *cells)
    {
        auto const* const number = cell.if_int64();
        if (number == nullptr || *number < 0 || *number > max_number)
        {
            return std::nullopt;
        }
        numbers.push_back(static_cast<std::uint32_t>(*number));
    }
    return numbers;
}

std::optional<progress::task> task_from(json::value const& row)
{
    auto const* const cells = row.if_array();
    if (cells == nullptr || cells->size() != column_count)
    {
        return std::nullopt;
    }
    auto const place = numbers_from(
        json::array(cells->begin(), cells->begin() + failures_column));
    auto const failures = numbers_from((*cells)[failures_column]);
    auto const* const checkpoint = (*cells)[checkpoint_column].if_string();
    if (!place || !failures || checkpoint == nullptr)
    {
        return std::nullopt;
    }
    return progress::task{(*place)[occurrence_column],
                          (*place)[step_column],
                          (*place)[index_column],
                          (*place)[done_column] != 0,
                          *failures,
                          std::string(*checkpoint)};
}

} // namespace

std::string to_json(progress const& value)
{
    json::array rows;
    for (auto const& t : value.tasks)
    {
        rows.push_back(json::array{t.occurrence,
                                   t.step,
                                   t.index,
                                   t.done ? 1 : 0,
                                   json::value_from(t.failures),
                                   t.checkpoint});
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
